/// @file store_mirror_test.cc Tests of the mirror of the platform's store:
/// listings, watches, compacted history, mass expiry.
#include <boost/test/unit_test.hpp>

#include "store_mirror_base.h"

namespace fuchsiafall::tests {

namespace {

using status_type = store_answer::status_type;

const time_point kStart{std::chrono::hours(1)};

store_answer Ok(std::vector<store_item> items, store_revision revision) {
  return {.status = status_type::kOk,
          .items = std::move(items),
          .revision = revision};
}

/// Mirror that has read one listing.
struct listed_mirror {
  explicit listed_mirror(std::vector<store_item> items,
                         store_revision revision) {
    BOOST_REQUIRE(mirror.NextCall(now).has_value());
    now += milliseconds(5);
    mirror.OnAnswer(now, Ok(std::move(items), revision));
  }
  store_call Next() {
    now = std::max(now, mirror.NextCallAt());
    auto call = mirror.NextCall(now);
    BOOST_REQUIRE(call.has_value());
    return *call;
  }
  void Answer(const store_answer& answer) {
    now += milliseconds(5);
    mirror.OnAnswer(now, answer);
  }

  time_point now = kStart;
  store_mirror mirror{{}};
};

std::vector<store_item> Servers(int count) {
  std::vector<store_item> items;
  for (int i = 0; i < count; ++i)
    items.push_back({.key = "servers/s" + std::to_string(i),
                     .value = "x",
                     .revision = static_cast<uint64_t>(i + 1)});
  return items;
}

store_item Configuration(const std::string& value, uint64_t number) {
  return {.key = "op/config", .value = value, .revision = number};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(store_mirror_suite)

BOOST_AUTO_TEST_CASE(listing_of_pages_goes_on_from_its_first_revision) {
  store_mirror mirror{{}};
  time_point now = kStart;
  auto call = mirror.NextCall(now);
  BOOST_REQUIRE(call.has_value());
  BOOST_TEST((call->kind == store_call::kind_type::kList));
  store_answer page = Ok({{.key = "a", .value = "1", .revision = 3}}, 10);
  page.has_more = true;
  mirror.OnAnswer(now + milliseconds(5), page);
  BOOST_TEST(!mirror.IsLoaded());
  call = mirror.NextCall(now + milliseconds(5));
  BOOST_REQUIRE(call.has_value());
  BOOST_TEST(call->after_key == "a");
  mirror.OnAnswer(now + milliseconds(9),
                  Ok({{.key = "b", .value = "2", .revision = 14}}, 15));
  BOOST_TEST(mirror.IsLoaded());
  call = mirror.NextCall(now + seconds(1));
  BOOST_REQUIRE(call.has_value());
  BOOST_TEST((call->kind == store_call::kind_type::kWatch));
  BOOST_TEST(call->after_revision == 10u);
  BOOST_TEST((mirror.ConfirmedAt() == now));
}

// Regression: an entry that started beside a slow store joined the first page
// of the store with the older content of a relay, went on from the revision of
// the page, and never learned what had changed between the two.
BOOST_AUTO_TEST_CASE(a_page_of_the_store_is_not_joined_with_a_relays_content) {
  store_mirror mirror{{}};
  time_point now = kStart;
  mirror.NextCall(now);
  store_answer page = Ok({Configuration("new", 9)}, 10);
  page.has_more = true;
  mirror.OnAnswer(now, page);
  const auto call = mirror.NextCall(now, true, true);
  BOOST_REQUIRE(call.has_value());
  BOOST_TEST(call->after_key.empty());
  mirror.OnAnswer(now, Ok({Configuration("old", 4),
                           {.key = "servers/s0", .value = "x", .revision = 2}},
                          7));
  BOOST_TEST(mirror.IsLoaded());
  now = mirror.NextCallAt();
  const auto next = mirror.NextCall(now, true);
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST((next->kind == store_call::kind_type::kWatch));
  BOOST_TEST(next->after_revision == 7u);
}

// A listing that began anew with each relay that fails would not end while the
// store is slow and relays come and go.
BOOST_AUTO_TEST_CASE(a_listing_of_the_store_goes_on_after_a_relay_failed) {
  store_mirror mirror{{}};
  time_point now = kStart;
  for (const char* key : {"a", "b", "c"}) {
    BOOST_REQUIRE(mirror.NextCall(now, true, true).has_value());
    mirror.CancelCall(now);
    const auto call = mirror.NextCall(now, false, true);
    BOOST_REQUIRE(call.has_value());
    BOOST_TEST(call->after_key < key);
    store_answer page = Ok({{.key = key, .value = "1", .revision = 3}}, 10);
    page.has_more = key[0] < 'c';
    mirror.OnAnswer(now, page);
  }
  BOOST_TEST(mirror.IsLoaded());
  BOOST_TEST(mirror.Items().size() == 3u);
}

BOOST_AUTO_TEST_CASE(a_listing_counts_as_of_its_oldest_page) {
  store_mirror mirror{{}};
  time_point now = kStart;
  mirror.NextCall(now);
  store_answer page = Ok({{.key = "a", .value = "1", .revision = 3}}, 10);
  page.has_more = true;
  mirror.OnAnswer(now, page);
  mirror.NextCall(now);
  mirror.OnAnswer(now, Ok({{.key = "b", .value = "2", .revision = 4}}, 8));
  BOOST_TEST(mirror.IsLoaded());
  now = mirror.NextCallAt();
  const auto call = mirror.NextCall(now);
  BOOST_REQUIRE(call.has_value());
  BOOST_TEST(call->after_revision == 8u);
}

BOOST_AUTO_TEST_CASE(a_page_without_items_does_not_end_a_listing) {
  listed_mirror it(Servers(2), 5);
  it.Next();
  it.Answer({.status = status_type::kHistoryCompacted});
  it.Next();
  store_answer page = Ok({}, 9);
  page.has_more = true;
  it.Answer(page);
  BOOST_TEST(it.mirror.Items().size() == 2u);
  const store_call call = it.Next();
  BOOST_TEST((call.kind == store_call::kind_type::kList));
  BOOST_TEST(call.after_key.empty());
}

BOOST_AUTO_TEST_CASE(one_call_is_in_flight_at_a_time) {
  listed_mirror it({}, 1);
  it.Next();
  BOOST_TEST(!it.mirror.NextCall(it.now + seconds(10)).has_value());
}

BOOST_AUTO_TEST_CASE(lost_history_leads_to_a_new_listing) {
  listed_mirror it(Servers(2), 5);
  it.Next();
  it.Answer({.status = status_type::kHistoryCompacted});
  BOOST_TEST((it.Next().kind == store_call::kind_type::kList));
  it.Answer(Ok({Servers(2)[1]}, 30));
  BOOST_TEST(it.mirror.Items().size() == 1u);
  BOOST_TEST(it.Next().after_revision == 30u);
}

BOOST_AUTO_TEST_CASE(older_revisions_never_replace_newer_ones) {
  listed_mirror it({{.key = "op/config", .value = "new", .revision = 9}}, 9);
  it.Next();
  it.Answer(Ok({{.key = "op/config", .value = "old", .revision = 7}}, 9));
  BOOST_TEST(it.mirror.Items().at("op/config").value == "new");
}

BOOST_AUTO_TEST_CASE(one_removed_server_is_dropped_at_once_after_an_outage) {
  listed_mirror it(Servers(6), 6);
  it.Next();
  it.Answer({.status = status_type::kNoAnswer});
  it.Next();
  std::vector<store_item> rest = Servers(6);
  rest.erase(rest.begin() + 2);
  it.Answer(Ok(rest, 8));
  BOOST_TEST(!it.mirror.Items().contains("servers/s2"));
  it.Next();
  it.Answer(Ok({{.key = "servers/s3", .revision = 9, .is_deleted = true}}, 9));
  BOOST_TEST(!it.mirror.Items().contains("servers/s3"));
  BOOST_TEST(it.mirror.Items().size() == 4u);
}

BOOST_AUTO_TEST_CASE(a_cancelled_call_is_repeated_elsewhere_at_once) {
  listed_mirror it(Servers(2), 5);
  it.Next();
  it.mirror.CancelCall(it.now);
  const auto call = it.mirror.NextCall(it.now);
  BOOST_REQUIRE(call.has_value());
  BOOST_TEST((call->kind == store_call::kind_type::kWatch));
  BOOST_TEST(it.mirror.IsReachable());
}

// A source that hung cost its wait again at each source asked after it.
BOOST_AUTO_TEST_CASE(the_first_watch_at_another_source_does_not_wait) {
  listed_mirror it(Servers(2), 5);
  it.now = it.mirror.NextCallAt();
  auto call = it.mirror.NextCall(it.now, true, false);
  BOOST_REQUIRE(call.has_value());
  BOOST_TEST(call->wait.count() > 0);
  it.mirror.CancelCall(it.now);
  call = it.mirror.NextCall(it.now, true, true);
  BOOST_REQUIRE(call.has_value());
  BOOST_TEST((call->kind == store_call::kind_type::kWatch));
  BOOST_TEST(call->wait.count() == 0);
}

// The configuration changed so often that the answer to a watch exceeded its
// timeout, and each retry had more changes to send.
BOOST_AUTO_TEST_CASE(a_watch_without_an_answer_is_followed_by_a_listing) {
  listed_mirror it(Servers(2), 5);
  BOOST_TEST((it.Next().kind == store_call::kind_type::kWatch));
  it.Answer({.status = status_type::kNoAnswer});
  BOOST_TEST((it.Next().kind == store_call::kind_type::kList));
  it.Answer({.status = status_type::kNoAnswer});
  BOOST_TEST((it.Next().kind == store_call::kind_type::kList));
  it.Answer(Ok(Servers(2), 70));
  const store_call call = it.Next();
  BOOST_TEST((call.kind == store_call::kind_type::kWatch));
  BOOST_TEST(call.after_revision == 70u);
  // A refusal does not mean that there are too many changes.
  it.Answer({.status = status_type::kRefused});
  BOOST_TEST((it.Next().kind == store_call::kind_type::kWatch));
}

BOOST_AUTO_TEST_CASE(
    servers_that_expired_together_are_kept_until_they_are_back) {
  for (bool is_listed : {true, false}) {
    listed_mirror it(Servers(4), 4);
    it.Next();
    it.Answer(
        {.status = is_listed ? status_type::kNoAnswer : status_type::kRefused});
    it.Next();
    std::vector<store_item> deleted;
    for (const store_item& item : Servers(4))
      deleted.push_back({.key = item.key, .revision = 9, .is_deleted = true});
    // A listing omits the items; a watch reports their deletions.
    it.Answer(is_listed ? Ok({}, 9) : Ok(deleted, 9));
    BOOST_TEST(it.mirror.Items().size() == 4u);
    const time_point back = it.now;
    it.Next();
    it.Answer(Ok({{.key = "servers/s0", .value = "y", .revision = 11}}, 11));
    BOOST_TEST(!it.mirror.RunDue(back + milliseconds(1500)));
    BOOST_TEST(it.mirror.RunDue(back + seconds(2)));
    BOOST_TEST(it.mirror.Items().size() == 1u);
    BOOST_TEST(it.mirror.Items().contains("servers/s0"));
  }
}

BOOST_AUTO_TEST_CASE(a_burst_of_changes_is_read_in_batches) {
  listed_mirror it({}, 1);
  int calls = 0;
  const time_point end = it.now + seconds(2);
  for (uint64_t revision = 2; it.now < end; ++revision) {
    it.Next();
    ++calls;
    it.Answer(Ok({{.key = "op/config", .value = "v", .revision = revision}},
                 revision));
  }
  BOOST_TEST(calls <= 9);
}

// A burst of configurations: one of 55 KB every 60 ms for 4 s. A watch that
// reported each of them would saturate the links between regions.
BOOST_AUTO_TEST_CASE(a_burst_of_large_changes_is_read_by_listings) {
  const store_mirror_options options;
  const std::string document(55000, 'x');
  listed_mirror it({{.key = "op/config", .value = document, .revision = 1},
                    {.key = "servers/s0", .value = "y", .revision = 1}},
                   1);
  const time_point begin = it.now;
  const time_point end = begin + seconds(4);
  uint64_t bytes = 0;
  duration max_gap{};
  time_point read_at = begin;
  while (it.now < end) {
    const store_call call = it.Next();
    const auto at = static_cast<uint64_t>((it.now - begin) / milliseconds(60));
    std::vector<store_item> reported;
    const uint64_t newest = 1 + at;
    if (call.kind == store_call::kind_type::kList) {
      reported = {{.key = "op/config", .value = document, .revision = newest},
                  {.key = "servers/s0", .value = "y", .revision = 1}};
    } else {
      for (uint64_t i = call.after_revision.number + 1; i <= newest; ++i)
        reported.push_back(
            {.key = "op/config", .value = document, .revision = i});
    }
    for (const store_item& item : reported)
      bytes += item.value.size();
    it.Answer(Ok(reported, newest));
    max_gap = std::max<duration>(max_gap, it.now - read_at);
    read_at = it.now;
  }
  BOOST_TEST(static_cast<double>(bytes) < 4 * options.burst_rate);
  BOOST_TEST((max_gap < milliseconds(500)));
  // A listing without changes ends the burst.
  it.Next();
  const uint64_t last = it.mirror.Items().at("op/config").revision.number;
  it.Answer(Ok({{.key = "op/config", .value = document, .revision = last},
                {.key = "servers/s0", .value = "y", .revision = 1}},
               last));
  BOOST_TEST((it.Next().kind == store_call::kind_type::kWatch));
  BOOST_TEST(it.mirror.Items().size() == 2u);
}

BOOST_AUTO_TEST_CASE(confirmed_time_is_the_earliest_time_of_the_answer) {
  listed_mirror it({}, 1);
  it.Next();
  time_point sent = it.now;
  it.now += milliseconds(1400);
  it.Answer(Ok({}, 1));
  BOOST_TEST((it.mirror.ConfirmedAt() == sent));
  // Held for 500 ms, then delayed on the way: confirmed only as of 500 ms after
  // the call was sent.
  it.Next();
  sent = it.now;
  it.now += milliseconds(1400);
  store_answer held = Ok({}, 1);
  held.held = milliseconds(500);
  it.Answer(held);
  BOOST_TEST((it.mirror.ConfirmedAt() == sent + milliseconds(500)));
  // The confirmed age of the relay is subtracted.
  it.Next();
  it.now += milliseconds(1400);
  held.confirmed_age = milliseconds(2000);
  it.Answer(held);
  BOOST_TEST((it.mirror.ConfirmedAt() == sent + milliseconds(500)));
  sent += milliseconds(500);
  it.Next();
  it.Answer({.status = status_type::kRefused});
  BOOST_TEST((it.mirror.ConfirmedAt() == sent));
}

// Regression: a server whose removal an entry had read from the store came back
// with the listing of a relay that was behind, and no watch told of the removal
// again.
BOOST_AUTO_TEST_CASE(an_older_listing_does_not_bring_back_what_was_removed) {
  for (const bool is_relayed : {true, false}) {
    listed_mirror it(Servers(6), 6);
    it.Next();
    it.Answer(
        Ok({{.key = "servers/s2", .revision = 9, .is_deleted = true}}, 9));
    it.Next();
    it.Answer({.status = status_type::kHistoryCompacted});
    it.now = it.mirror.NextCallAt();
    const auto call = it.mirror.NextCall(it.now, is_relayed, is_relayed);
    BOOST_REQUIRE(call.has_value());
    BOOST_TEST((call->kind == store_call::kind_type::kList));
    it.Answer(Ok(Servers(6), 7));
    BOOST_TEST(!it.mirror.Items().contains("servers/s2"));
    // Another source is to be listed.
    BOOST_TEST((it.Next().kind == store_call::kind_type::kList));
    std::vector<store_item> rest = Servers(6);
    rest.erase(rest.begin() + 2);
    it.Answer(Ok(rest, 9));
    BOOST_TEST((it.Next().kind == store_call::kind_type::kWatch));
    BOOST_TEST(it.mirror.Items().size() == 5u);
  }
}

// A relay has one version of each item, so that listings from it during a burst
// would be no smaller than a watch, and could be of an older revision.
BOOST_AUTO_TEST_CASE(a_relay_is_watched_during_a_burst_of_large_changes) {
  const std::string large(10000, 'x');
  listed_mirror it({Configuration(large, 1)}, 1);
  it.Next();
  it.Answer(Ok({Configuration(large, 2), Configuration(large, 3)}, 3));
  it.now = it.mirror.NextCallAt();
  const auto call = it.mirror.NextCall(it.now, true, true);
  BOOST_REQUIRE(call.has_value());
  BOOST_TEST((call->kind == store_call::kind_type::kWatch));
  BOOST_TEST(call->after_revision == 3u);
  it.Answer(Ok({Configuration(large, 4)}, 4));
  BOOST_TEST((it.Next().kind == store_call::kind_type::kWatch));
}

BOOST_AUTO_TEST_CASE(what_a_restored_store_takes_wins_with_a_lower_revision) {
  listed_mirror it({Configuration("lost", 37)}, {1, 37});
  it.Next();
  it.Answer({.status = status_type::kHistoryCompacted, .revision = {2, 0}});
  BOOST_TEST((it.Next().kind == store_call::kind_type::kList));
  it.Answer(Ok({Configuration("copy", 20)}, {2, 31}));
  BOOST_TEST(it.mirror.Items().at("op/config").value == "copy");
  BOOST_TEST(it.Next().after_revision == store_revision(2, 31));
  it.Answer(Ok({Configuration("after the return", 32)}, {2, 32}));
  BOOST_TEST(it.mirror.Items().at("op/config").value == "after the return");
}

BOOST_AUTO_TEST_CASE(equal_revisions_of_two_eras_are_different_content) {
  listed_mirror it({Configuration("old era", 5)}, {1, 5});
  it.Next();
  // The watch is answered as if nothing were lost, but for the era.
  it.Answer(Ok({Configuration("ignored", 6)}, {2, 6}));
  BOOST_TEST(it.mirror.Items().at("op/config").value == "old era");
  BOOST_TEST((it.Next().kind == store_call::kind_type::kList));
  it.Answer(Ok({Configuration("new era", 5)}, {2, 6}));
  BOOST_TEST(it.mirror.Items().at("op/config").value == "new era");
}

BOOST_AUTO_TEST_CASE(a_refusal_tells_that_the_store_was_restored) {
  for (const status_type status :
       {status_type::kRefused, status_type::kNoAnswer}) {
    listed_mirror it({}, {1, 2});
    it.Next();
    it.Answer({.status = status, .revision = {2, 0}});
    BOOST_TEST((it.Next().kind == store_call::kind_type::kList));
  }
}

BOOST_AUTO_TEST_CASE(an_answer_of_an_older_era_changes_and_confirms_nothing) {
  listed_mirror it({Configuration("old", 30)}, {1, 30});
  it.Next();
  it.Answer({.status = status_type::kHistoryCompacted, .revision = {2, 0}});
  it.Next();
  it.Answer(Ok({Configuration("new", 20)}, {2, 21}));
  const time_point confirmed = it.mirror.ConfirmedAt();
  it.now += seconds(1);
  it.Next();
  it.Answer(Ok({Configuration("old", 40)}, {1, 40}));
  BOOST_TEST(it.mirror.Items().at("op/config").value == "new");
  BOOST_TEST((it.mirror.ConfirmedAt() == confirmed));
  BOOST_TEST(it.Next().after_revision == store_revision(2, 21));
}

BOOST_AUTO_TEST_CASE(pages_of_two_eras_are_never_joined) {
  store_mirror mirror{{}};
  time_point now = kStart;
  mirror.NextCall(now);
  store_answer page = Ok({Configuration("old", 3)}, {1, 10});
  page.has_more = true;
  mirror.OnAnswer(now, page);
  mirror.NextCall(now);
  mirror.OnAnswer(now, Ok({{.key = "z", .revision = 4}}, {2, 5}));
  BOOST_TEST(!mirror.IsLoaded());
  const auto call = mirror.NextCall(mirror.NextCallAt());
  BOOST_REQUIRE(call.has_value());
  BOOST_TEST((call->kind == store_call::kind_type::kList));
  BOOST_TEST(call->after_key.empty());
}

BOOST_AUTO_TEST_CASE(a_call_sent_before_a_new_era_was_known_is_not_used) {
  listed_mirror it({Configuration("old", 5)}, {1, 5});
  it.Next();
  // Another call of this process was answered meanwhile.
  BOOST_TEST(it.mirror.OnEra(it.now, 2));
  it.Answer(Ok({}, {2, 6}));
  BOOST_TEST((it.Next().kind == store_call::kind_type::kList));
  BOOST_TEST(!it.mirror.OnEra(it.now, 2));
}

BOOST_AUTO_TEST_CASE(what_the_copy_lacks_is_kept_until_it_is_written_again) {
  listed_mirror it(Servers(6), {1, 9});
  it.Next();
  it.Answer(Ok({{.key = "servers/new", .revision = 10},
                {.key = "servers/gone", .revision = 11}},
               {1, 11}));
  it.Next();
  it.Answer({.status = status_type::kHistoryCompacted, .revision = {2, 0}});
  it.Next();
  it.Answer(Ok(Servers(6), {2, 6}));
  BOOST_TEST(it.mirror.Items().contains("servers/new"));
  BOOST_TEST(it.mirror.Items().contains("servers/gone"));
  it.Next();
  it.Answer(Ok({{.key = "servers/new", .revision = 7}}, {2, 7}));
  it.now += seconds(2);
  BOOST_TEST(it.mirror.RunDue(it.now));
  BOOST_TEST(it.mirror.Items().contains("servers/new"));
  BOOST_TEST(!it.mirror.Items().contains("servers/gone"));
}

BOOST_AUTO_TEST_CASE(a_second_restoration_within_the_grace_keeps_items_too) {
  listed_mirror it({{.key = "servers/new", .revision = 9}}, {1, 9});
  for (uint64_t era = 2; era <= 3; ++era) {
    it.now += milliseconds(1500);
    it.Next();
    it.Answer({.status = status_type::kHistoryCompacted, .revision = {era, 0}});
    it.Next();
    it.Answer(Ok({}, {era, 5}));
    it.mirror.RunDue(it.now);
  }
  BOOST_TEST(it.mirror.Items().contains("servers/new"));
}

BOOST_AUTO_TEST_CASE(an_answer_without_an_era_counts_as_of_the_known_one) {
  listed_mirror it({}, 1);
  it.Next();
  it.Answer(Ok({}, {3, 5}));
  it.Next();
  it.Answer(Ok({}, {3, 5}));
  it.Next();
  it.Answer(Ok({Configuration("new", 6)}, 6));
  BOOST_TEST(it.mirror.Items().at("op/config").value == "new");
  BOOST_TEST(it.Next().after_revision == store_revision(3, 6));
}

// The operators write a version again that the store has lost; its bound goes
// on from the first time.
BOOST_AUTO_TEST_CASE(a_value_written_again_keeps_the_time_of_its_change) {
  listed_mirror it(Servers(2), 5);
  it.Next();
  it.Answer(Ok({{.key = "op/version/m", .value = "2", .revision = 6}}, 6));
  const time_point changed = it.mirror.Items().at("op/version/m").changed_after;
  BOOST_TEST((changed > time_point{}));
  it.now += seconds(3);
  it.Next();
  it.Answer(Ok({{.key = "op/version/m", .value = "2", .revision = 7}}, 7));
  const store_item& again = it.mirror.Items().at("op/version/m");
  BOOST_TEST((again.revision == store_revision(7)));
  BOOST_TEST((again.changed_after == changed));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
