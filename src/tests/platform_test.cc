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
  relay.Update(now, relayed);
  now += seconds(1);
  read(&relayed, {version(2, 10)}, 10);
  now += seconds(2);
  read(&relayed, {}, 10);
  read(&relayed, {version(3, 11)}, 11);
  relay.Update(now, relayed);
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
  relay.Update(now, mirror);
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
