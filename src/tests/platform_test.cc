/// @file platform_test.cc Tests of the adapter to the hosting platform and of
/// HTTP framing: valid and malformed documents, request smuggling.
#include <boost/test/unit_test.hpp>

#include <fstream>

#include "mirror_relay_base.h"
#include "network/compression.h"
#include "network/http_message.h"
#include "platform/documents.h"
#include "platform/headers.h"

namespace fuchsiafall::tests {

namespace {

using status_type = store_answer::status_type;

store_mirror MirrorOf(const std::vector<store_item>& items) {
  store_mirror mirror{{}};
  const time_point now{std::chrono::hours(1)};
  mirror.NextCall(now);
  mirror.OnAnswer(now,
                  {.status = status_type::kOk, .items = items, .revision = 9});
  return mirror;
}

bool IsRequestRefused(const std::string& head) {
  auto read = ParseRequestHead(head);
  return !read || !FramingOf(*read);
}

/// Process that reads the store before and after it was restored.
struct restored_process {
  void List(std::vector<store_item> items, store_revision revision) {
    now = std::max(now, mirror.NextCallAt());
    if (mirror.IsLoaded()) {
      mirror.NextCall(now);
      mirror.OnAnswer(now, {.status = status_type::kHistoryCompacted,
                            .revision = {revision.era, 0}});
    }
    mirror.NextCall(now);
    mirror.OnAnswer(now, {.status = status_type::kOk,
                          .items = std::move(items),
                          .revision = revision});
    Build();
  }
  void Watch(std::vector<store_item> changes, store_revision revision) {
    now = std::max(now, mirror.NextCallAt());
    mirror.NextCall(now);
    mirror.OnAnswer(now, {.status = status_type::kOk,
                          .items = std::move(changes),
                          .revision = revision});
    Build();
  }
  void Wait(milliseconds span) {
    now += span;
    mirror.RunDue(now);
    Build();
  }
  void Build() { view = platform::BuildView(now, mirror, view, &problems); }

  time_point now{std::chrono::hours(1)};
  store_mirror mirror{{}};
  site_view view;
  std::vector<std::string> problems;
};

store_item ServerItem(const std::string& id,
                      const std::string& state,
                      uint64_t revision,
                      int64_t born = 100) {
  return {.key = "servers/" + id,
          .value = R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z",)"
                   R"("State":")" +
                   state + R"(","born":)" + std::to_string(born) + "}",
          .revision = revision};
}

store_item VersionItem(const std::string& key,
                       uint64_t version,
                       uint64_t revision) {
  return {
      .key = key,
      .value = R"({"Version":)" + std::to_string(version) + R"(,"Routes":[]})",
      .revision = revision};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_suite)

BOOST_AUTO_TEST_CASE(malformed_server_items_are_skipped) {
  const std::string good =
      R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","State":"ready",)"
      R"("Slots":6,"born":123})";
  std::vector<std::string> problems;
  const site_view view = platform::BuildView(
      time_point{},
      MirrorOf({{.key = "servers/good", .value = good, .revision = 1},
                {.key = "servers/bytes", .value = "\x01\x02", .revision = 2},
                {.key = "servers/type",
                 .value = R"({"Service":7,"Address":"a","Zone":"z",)"
                          R"("State":"ready"})",
                 .revision = 3},
                {.key = "servers/state",
                 .value = R"({"Service":"s","Address":"a","Zone":"z",)"
                          R"("State":"odd"})",
                 .revision = 4}}),
      {}, &problems);
  BOOST_TEST(view.servers.size() == 1u);
  BOOST_TEST(view.servers.at("good").slots == 6u);
  BOOST_TEST(view.servers.at("good").started_at_ms == 123);
  BOOST_TEST(problems.size() == 3u);
}

BOOST_AUTO_TEST_CASE(an_odd_server_item_names_no_server_and_hides_no_other) {
  const std::string start = R"({"Service":"s","Zone":"z","State":"ready",)";
  const std::string good = start + R"("Address":"10.0.0.1:80"})";
  const std::string at = start + R"("Address":"10.0.0.2:80",)";
  std::string deep = at + R"("Models":)";
  for (int i = 0; i < 200000; ++i)
    deep += R"([{"a":)";
  const std::vector<std::string> odd_values = {
      deep,
      deep + std::string(200000, '}'),
      at + R"("Slots":1e400})",
      at + R"("Slots":99999999999999999999})",
      at + R"("Slots":1e18})",
      at + R"("Slots":4294967302})",
      at + R"("Slots":-1})",
      at + R"("Slots":1.5})",
      at + R"("Slots":"6"})",
      at + R"("Slots":NaN})",
      at + R"("ColdRemainingMs":1e300})",
      at + R"("ColdRemainingMs":-5})",
      at + R"("ColdRemainingMs":[]})",
      at + R"("born":1e19})",
      at + R"("born":"now"})",
      start + R"("Address":"10.0.0.2:99999"})",
      start + R"("Address":"10.0.0.2:0"})",
      start + R"("Address":"10.0.0.2:-1"})",
      start + R"("Address":"10.0.0.2:"})",
      start + R"("Address":"10.0.0.2"})",
      start + R"("Address":":80"})",
      start + R"("Address":""})",
      start + R"("Address":"server.example:80"})",
      start + R"("Address":"[::1]:80"})",
      start + R"("Address":"/tmp/socket"})",
      start + R"("Address":"10.0.0.2:80\r\nX: y"})",
      start + R"("Address":"10.0.0.2\u0000:80"})",
      "[]",
      "null",
      "",
      "\xff\xfe"};
  std::vector<store_item> items = {
      {.key = "servers/good", .value = good, .revision = 1},
      {.key = "servers/id\r\nTenant: forged", .value = good, .revision = 2}};
  for (const std::string& value : odd_values) {
    items.push_back({.key = "servers/odd" + std::to_string(items.size()),
                     .value = value,
                     .revision = 10 + items.size()});
  }
  std::vector<std::string> problems;
  const site_view view =
      platform::BuildView(time_point{}, MirrorOf(items), {}, &problems);
  BOOST_TEST(view.servers.contains("good"));
  for (const auto& [id, server] : view.servers)
    BOOST_TEST(id == "good", id + " at " + server.address);
  BOOST_TEST(problems.size() == items.size() - 1);
  for (const std::string& problem : problems) {
    BOOST_TEST(problem.find_first_of("\r\n") == std::string::npos);
    BOOST_TEST(problem.size() < 400u);
  }
}

BOOST_AUTO_TEST_CASE(an_unreadable_item_is_told_once_per_revision) {
  auto items_at = [](uint64_t revision) {
    return MirrorOf(
        {{.key = "servers/odd", .value = "{", .revision = revision},
         {.key = "op/version/m", .value = "{", .revision = revision}});
  };
  std::vector<std::string> problems;
  site_view view =
      platform::BuildView(time_point{}, items_at(3), {}, &problems);
  BOOST_TEST(problems.size() == 2u);
  view = platform::BuildView(time_point{}, items_at(3), view, &problems);
  BOOST_TEST(problems.size() == 2u);
  view = platform::BuildView(time_point{}, items_at(4), view, &problems);
  BOOST_TEST(problems.size() == 4u);
}

BOOST_AUTO_TEST_CASE(layers_with_odd_bounds_are_not_held) {
  auto served_by = [](const std::string& layers) {
    std::vector<std::string> problems;
    const std::string value =
        R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z",)"
        R"("State":"ready","Models":[{"Name":"m","Version":2}],"layers":)" +
        layers + "}";
    const site_view view = platform::BuildView(
        time_point{},
        MirrorOf({{.key = "servers/a", .value = value, .revision = 1}}), {},
        &problems);
    BOOST_REQUIRE(view.servers.contains("a"));
    return ServedVersion(view.servers.at("a").models, "m", 16);
  };
  BOOST_TEST(served_by(R"({"From":0,"To":16,"Version":2})") == 2u);
  for (const char* odd : {R"({"From":0,"To":4294967312,"Version":2})",
                          R"({"From":-1,"To":16,"Version":2})",
                          R"({"From":"0","To":16,"Version":2})",
                          R"({"From":4294967296,"To":16,"Version":2})",
                          R"({"From":0.5,"To":16,"Version":2})",
                          R"({"From":0,"To":1e300,"Version":2})",
                          R"({"From":0,"To":16,"Version":1e300})",
                          R"({"From":0,"To":16,"Version":1.5})"}) {
    BOOST_TEST(served_by(odd) == 0u, odd);
  }
}

BOOST_AUTO_TEST_CASE(an_odd_announcement_sets_no_version) {
  for (const char* odd :
       {R"({"Version":1e300})", R"({"Version":99999999999999999999})",
        R"({"Version":-3})", R"({"Version":2.5})", R"({"Version":"2"})",
        R"({})"}) {
    std::vector<std::string> problems;
    const site_view view = platform::BuildView(
        time_point{},
        MirrorOf({{.key = "op/version/m", .value = odd, .revision = 3}}), {},
        &problems);
    const auto weights = view.weights.find("m");
    BOOST_TEST((weights == view.weights.end() || weights->second.version == 0),
               odd);
    BOOST_TEST(problems.size() == 1u, odd);
  }
}

BOOST_AUTO_TEST_CASE(an_odd_report_of_an_engine_is_read_within_bounds) {
  const auto read = platform::DecodeEngineReport(
      R"({"QueuedRequests":1e18,"ActiveRequests":4294967297,"KvUsed":-1,)"
      R"("KvTotal":1e300,"ColdRemainingMs":1e300,"born":-1e300,"pace":-2})");
  BOOST_REQUIRE(read);
  BOOST_TEST(read->running == 0u);
  BOOST_TEST(read->waiting == 0u);
  BOOST_TEST(read->kv_tokens == 0u);
  BOOST_TEST(read->cold_remaining.count() == 0);
  BOOST_TEST(read->started_at_ms == 0);
}

BOOST_AUTO_TEST_CASE(a_deep_answer_of_the_store_is_read_or_given_up) {
  std::string deep;
  for (int i = 0; i < 500000; ++i)
    deep += R"([{"a":)";
  const auto list = store_call::kind_type::kList;
  BOOST_TEST((platform::DecodeStoreAnswer(list, 200, deep).status ==
              status_type::kNoAnswer));
  std::string closed = R"({"At":7,"x":)" + deep + "1";
  for (int i = 0; i < 500000; ++i)
    closed += "}]";
  const auto answer = platform::DecodeStoreAnswer(list, 200, closed + "}");
  BOOST_TEST(answer.revision == 7u);
}

BOOST_AUTO_TEST_CASE(a_configuration_that_cannot_be_read_changes_nothing) {
  std::vector<std::string> problems;
  site_view before;
  before.configuration.version = 5;
  before.configuration_revision = 1;
  const site_view view = platform::BuildView(
      time_point{},
      MirrorOf({{.key = "op/config", .value = "{", .revision = 8}}), before,
      &problems);
  BOOST_TEST(view.configuration.version == 5u);
  BOOST_TEST(problems.size() == 1u);
}

BOOST_AUTO_TEST_CASE(an_older_configuration_never_replaces_a_newer_one) {
  std::vector<std::string> problems;
  site_view before;
  before.configuration.version = 5;
  before.configuration_revision = 1;
  const site_view view =
      platform::BuildView(time_point{},
                          MirrorOf({{.key = "op/config",
                                     .value = R"({"Version":4,"Routes":[]})",
                                     .revision = 8}}),
                          before, &problems);
  BOOST_TEST(view.configuration.version == 5u);
}

BOOST_AUTO_TEST_CASE(an_announcement_counts_from_the_confirmed_read_before_it) {
  store_mirror mirror = MirrorOf({});
  std::vector<std::string> problems;
  time_point now{std::chrono::hours(1)};
  const site_view before = platform::BuildView(now, mirror, {}, &problems);
  auto announce = [&](uint64_t version, milliseconds held) {
    now = std::max(now, mirror.NextCallAt());
    mirror.NextCall(now);
    now += held;
    mirror.OnAnswer(
        now,
        {.status = status_type::kOk,
         .items = {{.key = "op/version/m",
                    .value = R"({"Version":)" + std::to_string(version) + "}",
                    .revision = 8 + version}},
         .revision = 8 + version,
         .held = held});
    return platform::BuildView(now, mirror, before, &problems)
        .weights.at("m")
        .announcements.at(version)
        .announced_after;
  };
  // The store may have accepted it right after the last confirmed read, the
  // listing.
  const time_point listed = mirror.ConfirmedAt();
  BOOST_TEST((announce(2, milliseconds(0)) == listed));
  // During an outage the time of the announcement is unknown; the deadline
  // counts from the end of the outage.
  const time_point confirmed = mirror.ConfirmedAt();
  now += seconds(20);
  mirror.NextCall(now);
  mirror.OnAnswer(now, {.status = status_type::kRefused});
  const time_point late = announce(3, milliseconds(0));
  BOOST_TEST((late > confirmed + seconds(18)));
  BOOST_TEST((late < now));
}

BOOST_AUTO_TEST_CASE(a_gap_without_an_outage_does_not_postpone_the_bound) {
  store_mirror mirror = MirrorOf({});
  std::vector<std::string> problems;
  time_point now{std::chrono::hours(1)};
  const site_view before = platform::BuildView(now, mirror, {}, &problems);
  const time_point confirmed = mirror.ConfirmedAt();
  // Two relays in a row do not answer.
  for (int i = 0; i < 2; ++i) {
    mirror.NextCall(now);
    now += milliseconds(800);
    mirror.CancelCall(now);
  }
  BOOST_REQUIRE(mirror.NextCall(now).has_value());
  mirror.OnAnswer(now, {.status = status_type::kOk,
                        .items = {{.key = "op/version/m",
                                   .value = R"({"Version":2})",
                                   .revision = 10}},
                        .revision = 10});
  const auto announced = platform::BuildView(now, mirror, before, &problems)
                             .weights.at("m")
                             .announcements.at(2);
  BOOST_TEST((announced.announced_after == confirmed));
  BOOST_TEST(announced.was_watched);
}

// Lets calls fail without an answer, and reads a version of the weights then.
// @return When the version counts as announced, from the read before it.
milliseconds AnnouncedAfterSilence(store_mirror mirror,
                                   int failures,
                                   bool is_paused) {
  std::vector<std::string> problems;
  time_point now{std::chrono::hours(1)};
  mirror.NextCall(now);
  mirror.OnAnswer(now, {.status = status_type::kOk, .revision = 9});
  const site_view before = platform::BuildView(now, mirror, {}, &problems);
  const time_point confirmed = mirror.ConfirmedAt();
  for (int i = 0; i < failures; ++i) {
    now = std::max(now, mirror.NextCallAt());
    mirror.NextCall(now);
    now += seconds(2);
    if (is_paused)
      mirror.OnPause(now);
    mirror.OnAnswer(now, {});
  }
  now = mirror.NextCallAt();
  BOOST_REQUIRE(mirror.NextCall(now).has_value());
  mirror.OnAnswer(now, {.status = status_type::kOk,
                        .items = {{.key = "op/version/m",
                                   .value = R"({"Version":2})",
                                   .revision = 10}},
                        .revision = 10});
  return std::chrono::duration_cast<milliseconds>(
      platform::BuildView(now, mirror, before, &problems)
          .weights.at("m")
          .announcements.at(2)
          .announced_after -
      confirmed);
}

BOOST_AUTO_TEST_CASE(a_dead_connection_does_not_postpone_the_bound) {
  BOOST_TEST(AnnouncedAfterSilence(store_mirror{{}}, 1, false).count() == 0);
}

BOOST_AUTO_TEST_CASE(a_pause_of_the_process_does_not_postpone_the_bound) {
  BOOST_TEST(AnnouncedAfterSilence(store_mirror{{}}, 3, true).count() == 0);
}

BOOST_AUTO_TEST_CASE(a_link_full_of_weights_does_not_postpone_the_bound) {
  store_mirror mirror{{.trusts_silence = false}};
  BOOST_TEST(AnnouncedAfterSilence(mirror, 3, false).count() == 0);
}

// The store serves the operator, who names versions, meanwhile.
BOOST_AUTO_TEST_CASE(a_limit_on_calls_does_not_postpone_the_bound) {
  const auto watch = store_call::kind_type::kWatch;
  time_point now{std::chrono::hours(1)};
  store_mirror mirror{{}};
  mirror.NextCall(now);
  mirror.OnAnswer(now, {.status = status_type::kOk, .revision = 9});
  const time_point confirmed = mirror.ConfirmedAt();
  for (int i = 0; i < 5; ++i) {
    now = std::max(now, mirror.NextCallAt());
    mirror.NextCall(now);
    mirror.OnAnswer(now, platform::DecodeStoreAnswer(watch, 429, ""));
  }
  now = mirror.NextCallAt();
  mirror.NextCall(now);
  mirror.OnAnswer(now, {.status = status_type::kOk, .revision = 10});
  BOOST_TEST((mirror.ChangedAfter() == confirmed));
}

BOOST_AUTO_TEST_CASE(a_silent_store_suspends_the_bound) {
  // Until the third call, which was sent after two of 2 s and their pauses.
  const auto after = AnnouncedAfterSilence(store_mirror{{}}, 3, false);
  BOOST_TEST(after.count() >= 4000);
  BOOST_TEST(after.count() <= 5200);
}

// Reads an item of a relay's answer.
store_item ReadRelayedItem(const proto::mirror_item& from,
                           time_point confirmed_at) {
  return {.key = from.key(),
          .value = from.value(),
          .revision = from.revision(),
          .max_age =
              std::chrono::ceil<milliseconds>(confirmed_at.time_since_epoch()) -
              milliseconds(from.changed_after_ms()),
          .replaced_revision = from.replaced_revision()};
}

// A process that starts, or learns of a version late, has read nothing that
// tells when it was announced.
BOOST_AUTO_TEST_CASE(a_relay_tells_when_a_version_was_announced) {
  std::vector<std::string> problems;
  time_point now{std::chrono::hours(1)};
  store_mirror mirror{{}};
  mirror.NextCall(now);
  now += milliseconds(50);
  mirror.OnAnswer(now, {.status = status_type::kOk,
                        .items = {{.key = "op/version/m",
                                   .value = R"({"Version":2})",
                                   .revision = 10,
                                   .max_age = milliseconds(3000)}},
                        .revision = 10,
                        .confirmed_age = milliseconds(200)});
  const auto announced = platform::BuildView(now, mirror, {}, &problems)
                             .weights.at("m")
                             .announcements.at(2);
  BOOST_TEST(announced.was_watched);
  BOOST_TEST((announced.announced_after == now - milliseconds(3250)));
}

// Version 1 ended with version 2, which this process never read; the relay
// tells only when version 3 replaced that.
BOOST_AUTO_TEST_CASE(a_version_missed_in_between_does_not_postpone_the_bound) {
  time_point now{std::chrono::hours(1)};
  const auto read = [&](store_mirror* mirror, std::vector<store_item> items,
                        uint64_t revision) {
    now = std::max(now, mirror->NextCallAt());
    mirror->NextCall(now);
    mirror->OnAnswer(now, {.status = status_type::kOk,
                           .items = std::move(items),
                           .revision = revision});
  };
  const auto version = [](uint64_t number, uint64_t revision) {
    return store_item{.key = "op/version/m",
                      .value = "{\"Version\":" + std::to_string(number) + "}",
                      .revision = revision};
  };
  const auto announced = [](const store_mirror& mirror, time_point at) {
    std::vector<std::string> problems;
    return platform::BuildView(at, mirror, {}, &problems)
        .weights.at("m")
        .announcements.at(3);
  };
  store_mirror relayed{{}};
  store_mirror reader{{}};
  read(&relayed, {}, 9);
  read(&reader, {}, 9);
  const time_point last_read = reader.ConfirmedAt();
  mirror_relay relay;
  relay.Update(relayed);
  now += seconds(1);
  read(&relayed, {version(2, 10)}, 10);
  now += seconds(2);
  read(&relayed, {}, 10);
  read(&relayed, {version(3, 11)}, 11);
  relay.Update(relayed);
  const auto relay_reads = [&](store_mirror* mirror, uint64_t after) {
    const auto answer = relay.Answer(now, after);
    BOOST_REQUIRE(answer.items_size() == 1);
    read(mirror, {ReadRelayedItem(answer.items(0), relayed.ConfirmedAt())}, 11);
  };
  relay_reads(&reader, 9);
  BOOST_TEST((announced(reader, now).announced_after == last_read));
  store_mirror started{{}};
  relay_reads(&started, 0);
  BOOST_TEST(!announced(started, now).was_watched);
}

BOOST_AUTO_TEST_CASE(a_relay_does_not_tell_what_it_has_not_watched) {
  store_mirror mirror{{}};
  time_point now{std::chrono::hours(1)};
  auto read = [&](std::vector<store_item> items, uint64_t revision) {
    now = std::max(now, mirror.NextCallAt());
    mirror.NextCall(now);
    mirror.OnAnswer(now, {.status = status_type::kOk,
                          .items = std::move(items),
                          .revision = revision});
  };
  read({{.key = "a", .value = "1", .revision = 3}}, 3);
  const time_point listed = mirror.ConfirmedAt();
  read({{.key = "b", .value = "1", .revision = 4}}, 4);
  mirror_relay relay;
  relay.Update(mirror);
  const auto answer = relay.Answer(now, 0);
  BOOST_REQUIRE(answer.items_size() == 2);
  BOOST_TEST(answer.items(0).changed_after_ms() == 0);
  BOOST_TEST((milliseconds(answer.items(1).changed_after_ms()) ==
              std::chrono::floor<milliseconds>(listed.time_since_epoch())));
}

BOOST_AUTO_TEST_CASE(answers_of_the_store_are_distinguished) {
  const auto list = store_call::kind_type::kList;
  const auto watch = store_call::kind_type::kWatch;
  BOOST_TEST((platform::DecodeStoreAnswer(watch, 410, "").status ==
              status_type::kHistoryCompacted));
  BOOST_TEST((platform::DecodeStoreAnswer(watch, 503, "").status ==
              status_type::kRefused));
  BOOST_TEST((platform::DecodeStoreAnswer(watch, 200, "garbage").status ==
              status_type::kNoAnswer));
  const store_answer answer = platform::DecodeStoreAnswer(
      list, 200,
      R"({"Items":[{"Key":"a","Value":"aGk=","Revision":4}],)"
      R"("HasMore":true,"At":7})");
  BOOST_TEST((answer.status == status_type::kOk));
  BOOST_TEST(answer.has_more);
  BOOST_TEST(answer.revision == 7u);
  BOOST_REQUIRE(answer.items.size() == 1u);
  BOOST_TEST(answer.items[0].value == "hi");
}

BOOST_AUTO_TEST_CASE(a_copy_never_takes_a_configuration_back) {
  restored_process it;
  it.List({VersionItem("op/config", 12, 37)}, {1, 37});
  it.List({VersionItem("op/config", 3, 20)}, {2, 31});
  BOOST_TEST(it.view.configuration.version == 12u);
  // Written after the return, with the revision of the lost one.
  it.Watch({VersionItem("op/config", 15, 37)}, {2, 37});
  BOOST_TEST(it.view.configuration.version == 15u);
}

BOOST_AUTO_TEST_CASE(a_copy_never_takes_versions_of_weights_back) {
  restored_process it;
  it.List(
      {VersionItem("op/version/m", 3, 37), VersionItem("op/version/n", 2, 36)},
      {1, 37});
  const auto announced =
      it.view.weights.at("m").announcements.at(3).announced_after;
  it.List({VersionItem("op/version/m", 2, 20)}, {2, 31});
  it.Wait(seconds(10));
  BOOST_TEST(it.view.weights.at("m").version == 3u);
  BOOST_TEST(it.view.weights.at("n").version == 2u);
  it.Watch({VersionItem("op/version/m", 3, 32)}, {2, 32});
  BOOST_TEST((it.view.weights.at("m").announcements.at(3).announced_after ==
              announced));
}

BOOST_AUTO_TEST_CASE(a_server_known_to_drain_is_not_ready_again_by_a_copy) {
  restored_process it;
  it.List({ServerItem("a", "draining", 37), ServerItem("b", "draining", 36)},
          {1, 37});
  it.List({ServerItem("a", "ready", 20), ServerItem("b", "ready", 21, 200)},
          {2, 31});
  BOOST_TEST(it.view.servers.at("a").is_draining);
  // The other one is a new lifetime.
  BOOST_TEST(!it.view.servers.at("b").is_draining);
  it.Wait(seconds(10));
  BOOST_TEST(it.view.servers.at("a").is_draining);
  it.Watch({ServerItem("a", "ready", 37)}, {2, 37});
  BOOST_TEST(!it.view.servers.at("a").is_draining);
}

BOOST_AUTO_TEST_CASE(a_copy_never_takes_a_server_back_to_an_older_lifetime) {
  restored_process it;
  it.List({ServerItem("a", "ready", 37, 200)}, {1, 37});
  it.List({ServerItem("a", "draining", 20, 100)}, {2, 31});
  BOOST_TEST(it.view.servers.at("a").started_at_ms == 200);
  BOOST_TEST(!it.view.servers.at("a").is_draining);
}

BOOST_AUTO_TEST_CASE(a_server_known_to_be_gone_is_not_back_by_a_copy) {
  restored_process it;
  it.List({ServerItem("a", "ready", 20), ServerItem("b", "ready", 21)},
          {1, 30});
  it.Watch({{.key = "servers/a", .revision = 32, .is_deleted = true},
            {.key = "servers/b", .revision = 33, .is_deleted = true}},
           {1, 33});
  it.List({ServerItem("a", "ready", 20), ServerItem("b", "ready", 21)},
          {2, 30});
  BOOST_TEST(it.view.servers.empty());
  // One writes its item again, the other's stands while silent ones expire.
  it.Watch({ServerItem("a", "ready", 31)}, {2, 31});
  BOOST_TEST(it.view.servers.contains("a"));
  BOOST_TEST(!it.view.servers.contains("b"));
  it.Wait(seconds(6));
  BOOST_TEST(it.view.servers.contains("b"));
}

BOOST_AUTO_TEST_CASE(a_server_that_the_copy_lacks_stays_for_the_grace) {
  restored_process it;
  it.List({ServerItem("new", "ready", 37)}, {1, 37});
  it.List({}, {2, 31});
  BOOST_TEST(it.view.servers.contains("new"));
  it.Wait(seconds(2));
  BOOST_TEST(!it.view.servers.contains("new"));
  it.Watch({ServerItem("new", "ready", 32)}, {2, 32});
  BOOST_TEST(it.view.servers.contains("new"));
}

BOOST_AUTO_TEST_CASE(an_evacuation_stays_until_it_can_be_written_again) {
  restored_process it;
  it.List({{.key = "op/evacuate/z", .revision = 37}}, {1, 37});
  it.List({}, {2, 31});
  it.Wait(seconds(3));
  BOOST_TEST(it.view.evacuated.contains("z"));
  it.Wait(seconds(3));
  BOOST_TEST(!it.view.evacuated.contains("z"));
}

BOOST_AUTO_TEST_CASE(every_answer_of_the_store_states_its_era) {
  for (const int status : {200, 410, 412, 503}) {
    BOOST_TEST(platform::DecodeStoreAnswer(store_call::kind_type::kWatch,
                                           status, "garbage", 4)
                   .revision.era == 4u);
  }
  Poco::Net::HTTPResponse head;
  BOOST_TEST(platform::DecodeStoreEra(head) == 0u);
  for (const char* malformed :
       {"", "x", "-1", "2,3", "99999999999999999999", "4x"}) {
    head.set("Store-Era", malformed);
    BOOST_TEST(platform::DecodeStoreEra(head) == 0u, malformed);
  }
  head.set("Store-Era", "12");
  BOOST_TEST(platform::DecodeStoreEra(head) == 12u);
}

BOOST_AUTO_TEST_CASE(the_callers_key_and_claims_do_not_reach_the_server) {
  auto head = ParseRequestHead(
      "POST /p HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nDeadline-Ms: 700\r\n"
      "Authorization: Bearer secret\r\nTenant: forged\r\n"
      "Expect-Instance: forged\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n"
      "X-Kept: yes\r\n\r\n");
  BOOST_REQUIRE(head);
  const caller_call call = platform::DecodeCall(*head);
  BOOST_TEST(call.key == "secret");
  BOOST_TEST((call.time_left == milliseconds(700)));
  const std::string sent = WriteHead(platform::EncodeAttempt(
      *head,
      {.instance = "i", .tenant = "acme", .time_left = milliseconds(650)}));
  BOOST_TEST(sent.find("secret") == std::string::npos);
  BOOST_TEST(sent.find("forged") == std::string::npos);
  BOOST_TEST(sent.find("X-Hop") == std::string::npos);
  BOOST_TEST(sent.find("X-Kept: yes") != std::string::npos);
  BOOST_TEST(sent.find("Tenant: acme") != std::string::npos);
  BOOST_TEST(sent.find("Deadline-Ms: 650") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(numbers_of_a_request_out_of_range_are_bounded) {
  const time_point now{std::chrono::hours(1)};
  for (const char* limit : {"9223372036854775807", "18446744073709551615"}) {
    auto head = ParseRequestHead(
        "POST /p HTTP/1.1\r\nHost: h\r\nDeadline-Ms: " + std::string(limit) +
        "\r\nToken-Counts: 4294967297,4294967298\r\n"
        "Length-Hint: 4294967299\r\n\r\n");
    BOOST_REQUIRE(head);
    const caller_call call = platform::DecodeCall(*head);
    BOOST_REQUIRE(call.time_left);
    BOOST_TEST((now + *call.time_left > now), limit);
    BOOST_TEST(call.prompt_tokens == UINT32_MAX);
    BOOST_TEST(call.answer_tokens == UINT32_MAX);
    BOOST_TEST(call.hinted_tokens == UINT32_MAX);
  }
  auto answer = ParseResponseHead(
      "HTTP/1.1 200 OK\r\nServer-Load: 4294967297,0,4294967298\r\n\r\n");
  BOOST_REQUIRE(answer);
  BOOST_TEST(platform::DecodeAnswer(*answer).running == UINT32_MAX);
  BOOST_TEST(platform::DecodeAnswer(*answer).slots == UINT32_MAX);
}

// Guards against a load report that is read in part, or an answer that is lost
// with it.
BOOST_AUTO_TEST_CASE(a_load_report_has_three_or_four_whole_numbers) {
  struct load_case {
    const char* value;
    bool is_report;
    double slowdown;  ///< 0 for none.
  };
  for (const load_case& item :
       std::vector<load_case>{{"1,2,6", true, 0},
                              {" 1, 2, 6 ", true, 0},
                              {"1,2,6,250", true, 2.5},
                              {"1,2,6,10", true, 0.1},
                              {"1,2,6,10000", true, 100},
                              {"1,2,6,9", false, 0},
                              {"1,2,6,10001", false, 0},
                              {"1,2,6,0", false, 0},
                              {"1,2,6,-250", false, 0},
                              {"1,2,6,2.5", false, 0},
                              {"1,2,6,250%", false, 0},
                              {"1,2,6,", false, 0},
                              {"1,2,6,250,1", false, 0},
                              {"1,2", false, 0},
                              {"1,,6", false, 0},
                              {"1,2,6x", false, 0},
                              {"+1,2,6", false, 0},
                              {"99999999999999999999,2,6", false, 0},
                              {"1,2,6,99999999999999999999", false, 0},
                              {"1;2;6", false, 0},
                              {"", false, 0},
                              {",,,,,,,,,,,,,,", false, 0},
                              {"load", false, 0}}) {
    Poco::Net::HTTPResponse head;
    BOOST_TEST(!platform::DecodeAnswer(head).has_malformed_load);
    head.set("Server-Load", item.value);
    head.set("Request-Id", "r");
    const server_answer answer = platform::DecodeAnswer(head);
    BOOST_TEST(answer.has_load == item.is_report, item.value);
    BOOST_TEST(answer.has_malformed_load == !item.is_report, item.value);
    BOOST_TEST(answer.slowdown.value_or(0) == item.slowdown, item.value);
    BOOST_TEST(answer.slots == (item.is_report ? 6U : 0U), item.value);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.call_id == "r");
  }
}

BOOST_AUTO_TEST_CASE(an_unload_order_names_an_empty_range_of_layers) {
  const engine_order unload{
      .model = "m", .version = 3, .is_unload = true, .reported_orders = 5};
  const std::string call = platform::EncodeEngineOrder("10.0.0.1:80", unload);
  BOOST_TEST(call.find(R"("From":0)") != std::string::npos);
  BOOST_TEST(call.find(R"("To":0)") != std::string::npos);
  BOOST_TEST(call.find(R"("Version":3)") != std::string::npos);
  BOOST_TEST(call.find(R"("Precondition":5)") != std::string::npos);
  BOOST_TEST(
      platform::EncodeEngineOrder("10.0.0.1:80", {.model = "m"}).find("From") ==
      std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_last_part_of_a_prompt_is_not_shared) {
  auto parts_of = [](const std::string& prompt) {
    const auto head = ParseRequestHead(
        "POST /p HTTP/1.1\r\nHost: h\r\nPrompt-Prefix: " + prompt + "\r\n\r\n");
    BOOST_REQUIRE(head);
    return platform::DecodeCall(*head).traits.parts;
  };
  const auto parts = parts_of("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  BOOST_REQUIRE(parts.size() == 2u);
  BOOST_TEST((parts[0] != parts[1]));
  BOOST_TEST((parts_of("91BD3F06:7, 0a:1") == std::vector{parts[1]}));
  BOOST_TEST(parts_of("e4402b7d:250").empty());
  BOOST_TEST(parts_of("").empty());
  BOOST_TEST(parts_of(",,:1,").empty());
  std::string many;
  for (int i = 0; i < 1000; ++i)
    many += std::to_string(i) + ":1,";
  BOOST_TEST(parts_of(many + "0:1").size() == 32u);
}

BOOST_AUTO_TEST_CASE(heads_that_could_be_framed_in_two_ways_are_refused) {
  const std::string start = "POST /p HTTP/1.1\r\nHost: h\r\n";
  BOOST_TEST(!IsRequestRefused(start + "Content-Length: 3\r\n\r\n"));
  BOOST_TEST(!IsRequestRefused(start + "Transfer-Encoding: chunked\r\n\r\n"));
  for (const char* fields :
       {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n\r\n",
        "Content-Length: +3\r\n\r\n", "Content-Length: 3, 3\r\n\r\n",
        "Transfer-Encoding: gzip, chunked\r\n\r\n",
        "Transfer-Encoding : chunked\r\n\r\n", "A: b\r\n c: d\r\n\r\n",
        "A: b\nContent-Length: 3\r\n\r\n", "Host: other\r\n\r\n"}) {
    BOOST_TEST(IsRequestRefused(start + fields), fields);
  }
}

BOOST_AUTO_TEST_CASE(a_success_does_not_state_that_a_call_did_not_run) {
  auto is_not_run = [](const std::string& status) {
    auto head = ParseResponseHead("HTTP/1.1 " + status +
                                  " x\r\nNot-Executed: 1\r\n\r\n");
    return platform::DecodeAnswer(*head).did_not_run;
  };
  BOOST_TEST(is_not_run("503"));
  BOOST_TEST(is_not_run("400"));
  BOOST_TEST(!is_not_run("200"));
}

BOOST_AUTO_TEST_CASE(chunked_bodies_are_read_in_any_pieces) {
  const std::string text =
      "5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nTrailer: t\r\n\r\nnext";
  for (size_t step = 1; step < text.size(); ++step) {
    body_reader reader;
    reader.Start(body_framing::kChunked, 0);
    std::string input;
    std::string body;
    auto progress = read_progress::kNeedsMore;
    for (size_t at = 0;
         at < text.size() && progress == read_progress::kNeedsMore;
         at += step) {
      input += text.substr(at, step);
      progress = reader.Read(&input, &body);
    }
    BOOST_TEST((progress == read_progress::kDone));
    BOOST_TEST(body == "hello world");
  }
  body_reader reader;
  reader.Start(body_framing::kChunked, 0);
  std::string input = "5\r\nhelloXX";
  std::string body;
  BOOST_TEST((reader.Read(&input, &body) == read_progress::kNeedsMore));
  input += "\r\n";
  BOOST_TEST((reader.Read(&input, &body) == read_progress::kMalformed));
}

BOOST_AUTO_TEST_CASE(settings_are_checked) {
  const std::string path = "/tmp/fuchsiafall-settings-test.conf";
  std::ofstream(path) << "Node=n\nIp=10.0.0.1\nZone=z\n"
                         "Platform.Address=10.0.0.9:1\n"
                         "InternalPorts=7700,7715\nBounds.RevokeMs=4000\n"
                         "Zones.z=east\nUnknown.Field=1\n";
  auto read = platform::ReadSiteSettings(path);
  BOOST_REQUIRE(read);
  BOOST_TEST(read->first_port == 7700);
  BOOST_TEST((read->revoke_bound == milliseconds(4000)));
  BOOST_TEST(read->regions.at("z") == "east");
  std::ofstream(path) << "Node=n\nIp=10.0.0.1\nZone=z\n"
                         "Platform.Address=a:1\nBounds.RevokeMs=soon\n";
  read = platform::ReadSiteSettings(path);
  BOOST_TEST(!read);
  BOOST_TEST(read.LastReason().find("Bounds.RevokeMs") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(compressed_bodies_are_restored_or_refused) {
  const std::string text(100000, 'x');
  const std::string packed = Deflate(text);
  BOOST_TEST(packed.size() < text.size() / 10);
  BOOST_TEST((*Inflate(packed, 1U << 20) == text));
  BOOST_TEST(!Inflate(packed, 1000));
  BOOST_TEST(!Inflate("not packed", 1000));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
