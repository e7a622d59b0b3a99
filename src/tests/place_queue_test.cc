/// @file place_queue_test.cc Places of a ranked service: precedence, waiting
/// requests, and failures while requests wait.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <set>

#include <rapidcheck.h>

#include "engine_model_func.h"
#include "place_table_base.h"
#include "tests/ranked_load.h"

namespace fuchsiafall::tests {

namespace {

const time_point kStart{std::chrono::hours(1)};

place_table MakeTable(place_table_options options = {}) {
  place_table table{options};
  table.SetProfile(MakeRankedProfile(), 0);
  table.SetAccepting(true);
  table.SetRanked(true);
  return table;
}

place_request MakeRequest(uint64_t call, uint32_t rank) {
  return {.entry = "e:1",
          .call = call,
          .prompt_tokens = 900,
          .answer_tokens = 112,
          .first_token_budget = milliseconds(800),
          .time_left = milliseconds(6000),
          .rank = rank,
          .organisation = "organisation",
          .may_wait = true};
}

/// Takes all places that requests of rank 0 may have, over some seconds.
time_point Fill(place_table* table) {
  time_point now = kStart;
  for (uint64_t call = 1000; table->GrantedCount() < 13; ++call) {
    now += milliseconds(150);
    table->RequestPlace(now, MakeRequest(call, 0));
  }
  return now + milliseconds(150);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(place_queue_suite)

BOOST_AUTO_TEST_CASE(a_free_place_goes_to_the_highest_rank) {
  place_table table = MakeTable();
  const time_point now = Fill(&table);
  BOOST_TEST(table.RequestPlace(now, MakeRequest(1, 2)).is_queued);
  const place_reply reply = table.RequestPlace(now, MakeRequest(2, 1));
  BOOST_TEST(reply.is_queued);
  BOOST_TEST(reply.expected_free_in.count() > 0);
  BOOST_TEST(table.DecideWaiting(now).empty());
  table.Release(now, "e:1", 1000);
  const auto decided = table.DecideWaiting(now);
  BOOST_REQUIRE(decided.size() == 1u);
  BOOST_TEST(decided[0].request.call == 2u);
  BOOST_TEST(decided[0].reply.is_granted);
  BOOST_TEST(table.Waiting().size() == 1u);
}

BOOST_AUTO_TEST_CASE(an_overtaken_request_is_denied_at_once) {
  place_table table = MakeTable();
  const time_point now = Fill(&table);
  for (uint64_t call = 1; call <= 4; ++call)
    table.RequestPlace(now, MakeRequest(call, 2));
  const size_t waiting = table.Waiting().size();
  BOOST_TEST(waiting > 1u);
  std::vector<place_decision> decided;
  for (uint64_t call = 11; call <= 14; ++call) {
    table.RequestPlace(now, MakeRequest(call, 0));
    for (place_decision& item : table.DecideWaiting(now))
      decided.push_back(std::move(item));
  }
  BOOST_REQUIRE(!decided.empty());
  BOOST_TEST(decided[0].request.rank == 2u);
  BOOST_TEST((decided[0].reply.cause == place_cause::kOvertaken));
  BOOST_TEST(decided[0].reply.rank_free_in.count() > 0);
}

BOOST_AUTO_TEST_CASE(requests_that_may_not_wait_or_are_late_are_not_queued) {
  place_table table = MakeTable();
  const time_point now = Fill(&table);
  place_request request = MakeRequest(1, 0);
  request.may_wait = false;
  BOOST_TEST(!table.RequestPlace(now, request).is_queued);
  request = MakeRequest(2, 0);
  request.first_token_budget = milliseconds(0);
  BOOST_TEST(!table.RequestPlace(now, request).is_queued);
  request = MakeRequest(3, 0);
  request.first_token_budget = milliseconds(300);
  const place_reply reply = table.RequestPlace(now, request);
  BOOST_TEST((reply.cause == place_cause::kLate));
  BOOST_TEST(table.Waiting().empty());
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_goes_ahead_of_those_that_wait) {
  place_table table = MakeTable();
  const time_point now = Fill(&table);
  BOOST_TEST(table.RequestPlace(now, MakeRequest(1, 0)).is_queued);
  place_request resumed = MakeRequest(2, 9);
  resumed.is_resumed = true;
  BOOST_TEST(table.RequestPlace(now, resumed).is_granted);
}

// The datagram with the first reply was lost, or it was duplicated.
BOOST_AUTO_TEST_CASE(a_repeated_request_waits_once) {
  place_table table = MakeTable();
  const time_point now = Fill(&table);
  for (int i = 0; i < 3; ++i)
    BOOST_TEST(table.RequestPlace(now, MakeRequest(1, 0)).is_queued);
  BOOST_TEST(table.Waiting().size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_repeated_request_finds_the_grant_that_was_lost) {
  place_table table = MakeTable();
  const time_point now = Fill(&table);
  table.RequestPlace(now, MakeRequest(1, 0));
  table.Release(now, "e:1", 1000);
  BOOST_TEST(table.DecideWaiting(now).size() == 1u);
  BOOST_TEST(table.RequestPlace(now, MakeRequest(1, 0)).is_granted);
  BOOST_TEST(table.GrantedCount() == 13u);
}

BOOST_AUTO_TEST_CASE(a_released_request_waits_no_longer) {
  place_table table = MakeTable();
  const time_point now = Fill(&table);
  table.RequestPlace(now, MakeRequest(1, 0));
  BOOST_TEST(!table.Release(now, "e:1", 1));
  const auto decided = table.DecideWaiting(now);
  BOOST_REQUIRE(decided.size() == 1u);
  BOOST_TEST((decided[0].reply.cause == place_cause::kReleased));
  table.Release(now, "e:1", 1000);
  BOOST_TEST(table.DecideWaiting(now).empty());
  BOOST_TEST(table.GrantedCount() == 12u);
}

BOOST_AUTO_TEST_CASE(an_agent_that_stops_accepting_denies_all_that_wait) {
  for (const bool is_end : {false, true}) {
    place_table table = MakeTable();
    const time_point now = Fill(&table);
    table.RequestPlace(now, MakeRequest(1, 0));
    table.RequestPlace(now, MakeRequest(2, 2));
    if (is_end) {
      table.SetGrantsEnd(now - milliseconds(1), now - milliseconds(1));
    } else {
      table.SetAccepting(false);
    }
    const auto decided = table.DecideWaiting(now);
    BOOST_REQUIRE(decided.size() == 2u);
    for (const place_decision& item : decided) {
      BOOST_TEST(!item.reply.is_granted);
      BOOST_TEST(item.reply.slots == 0u);
      BOOST_TEST((item.reply.cause == place_cause::kNotAccepting));
    }
  }
}

// The configuration gives all requests one rank while some wait.
BOOST_AUTO_TEST_CASE(a_service_that_is_no_longer_ranked_lets_nothing_wait) {
  place_table table = MakeTable();
  const time_point now = Fill(&table);
  table.RequestPlace(now, MakeRequest(1, 0));
  table.SetRanked(false);
  BOOST_TEST(table.DecideWaiting(now).size() == 1u);
  BOOST_TEST(!table.RequestPlace(now, MakeRequest(2, 0)).is_queued);
}

// The new agent knows neither places nor shares.
BOOST_AUTO_TEST_CASE(a_restarted_agent_takes_a_repeated_request_as_new) {
  place_table before = MakeTable();
  const time_point now = Fill(&before);
  for (uint64_t call = 1; call <= 5; ++call)
    before.RequestPlace(now, MakeRequest(call, 0));
  BOOST_TEST(!before.Waiting().empty());
  place_table after = MakeTable();
  after.OnReport(now, {.waiting = 1, .running = 12});
  BOOST_TEST(!after.Release(now, "e:1", 4));
  BOOST_TEST(after.RequestPlace(now, MakeRequest(1, 0)).is_queued);
  after.OnReport(now + milliseconds(60), {.running = 12});
  const auto decided = after.DecideWaiting(now + milliseconds(60));
  BOOST_REQUIRE(decided.size() == 1u);
  BOOST_TEST(decided[0].reply.is_granted);
}

BOOST_AUTO_TEST_CASE(nothing_is_left_of_an_entry_that_died) {
  place_table table = MakeTable();
  time_point now = Fill(&table);
  for (uint64_t call = 1; call <= 4; ++call)
    table.RequestPlace(now, MakeRequest(call, 0));
  const time_point end = now + seconds(7);
  while (now < end) {
    now = std::min(end, table.NextDue().value_or(end));
    table.OnReport(now, {.running = 12});
    table.DecideWaiting(now);
  }
  BOOST_TEST(table.Waiting().empty());
  BOOST_TEST(table.GrantedCount() == 0u);
  BOOST_TEST(!table.NextDue().has_value());
}

// An entry with another range of ranks than this version.
BOOST_AUTO_TEST_CASE(a_rank_out_of_range_counts_as_the_lowest) {
  place_table table = MakeTable();
  BOOST_TEST(table.RequestPlace(kStart, MakeRequest(1, 4711)).is_granted);
  const time_point now = Fill(&table);
  table.RequestPlace(now, MakeRequest(2, 4711));
  BOOST_REQUIRE(table.Waiting().size() == 1u);
  BOOST_TEST(table.Waiting().Items()[0].rank == kMaxRank);
}

BOOST_AUTO_TEST_CASE(shares_have_floors_and_bounded_memory) {
  grant_shares shares({});
  for (int i = 0; i < 10000; ++i) {
    const uint32_t rank = i % 2;
    shares.OnFirstRequest(kStart, rank, "o" + std::to_string(i));
    if (rank == 0)
      shares.OnGrant(kStart, rank, "o" + std::to_string(i));
  }
  BOOST_TEST(shares.OrganisationCount() <= 64u);
  BOOST_TEST(shares.IsRankBelowFloor(1));
  BOOST_TEST(!shares.IsRankBelowFloor(0));
  shares.Advance(kStart + seconds(60));
  BOOST_TEST(shares.OrganisationCount() == 0u);
}

// Whatever is requested, released, reported or repeated, no place is kept that
// a waiting request may have, a lower rank is not granted before a higher one
// except below its floor, and nothing is left at the end.
BOOST_AUTO_TEST_CASE(no_order_of_events_leaks_or_inverts) {
  const bool holds = rc::check([] {
    place_table table = MakeTable();
    time_point now = kStart;
    std::set<uint64_t> granted;
    const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 60)));
    for (const auto& [event, value] : events) {
      const auto call = static_cast<uint64_t>(value);
      place_reply reply;
      switch (event) {
        case 0:
          now += milliseconds(5 * value);
          break;
        case 1:
          table.Release(now, "e:1", call);
          granted.erase(call);
          break;
        case 2:
          table.OnReport(now, {.waiting = value % 14 == 13 ? 1U : 0U,
                               .running = std::min(
                                   12U, static_cast<uint32_t>(value) % 14)});
          break;
        default:
          place_request request = MakeRequest(call, call % 3);
          request.is_first = value % 2 == 0;
          reply = table.RequestPlace(now, request);
          RC_ASSERT(!(reply.is_granted && reply.is_queued));
      }
      std::set<uint32_t> waiting_ranks;
      const auto decided = table.DecideWaiting(now);
      for (const waiting_place& item : table.Waiting().Items())
        waiting_ranks.insert(item.rank);
      for (const place_decision& item : decided) {
        if (item.reply.cause == place_cause::kPrecedence)
          RC_ASSERT(waiting_ranks.empty() ||
                    *waiting_ranks.begin() >= item.request.rank);
      }
      RC_ASSERT(table.Waiting().size() <= 16u);
      RC_ASSERT(table.Waiting().empty() || table.Load() >= 12u);
    }
    for (int i = 0; i < 80; ++i) {
      now += milliseconds(100);
      table.OnReport(now, {});
      table.DecideWaiting(now);
    }
    RC_ASSERT(table.Waiting().empty());
    RC_ASSERT(table.GrantedCount() == 0u);
  });
  BOOST_TEST(holds);
}

// Two overloaded ranks, whichever of them asks more often.
BOOST_AUTO_TEST_CASE(no_rank_starves) {
  const bool holds = rc::check([] {
    const int first_in_ten = *rc::gen::inRange(1, 10);
    place_table table = MakeTable();
    time_point now = Fill(&table);
    std::array<double, 2> asked{};
    std::array<double, 2> granted{};
    std::deque<uint64_t> places;
    for (uint64_t call = 1000; call < 1040; ++call)
      places.push_back(call);
    for (uint64_t call = 5000; call < 7000; ++call) {
      now += milliseconds(40);
      const uint32_t rank = *rc::gen::inRange(0, 10) < first_in_ten ? 0 : 1;
      place_request request = MakeRequest(call, rank);
      request.is_first = true;
      const bool is_counted = call > 5200;
      asked[rank] += is_counted ? 1 : 0;
      if (table.RequestPlace(now, request).is_granted) {
        places.push_back(call);
        granted[rank] += is_counted ? 1 : 0;
      }
      if (call % 3 == 0 && !places.empty()) {
        table.Release(now, "e:1", places.front());
        places.pop_front();
      }
      for (const place_decision& item : table.DecideWaiting(now)) {
        if (!item.reply.is_granted)
          continue;
        places.push_back(item.request.call);
        granted[item.request.rank] += is_counted ? 1 : 0;
      }
    }
    const double share = (granted[0] + granted[1]) / (asked[0] + asked[1]);
    for (uint32_t rank = 0; rank < 2; ++rank)
      RC_ASSERT(granted[rank] >= 0.25 * share * asked[rank]);
  });
  BOOST_TEST(holds);
}

// Three kinds of calls with up to 2.3 times the servers' capacity. Without
// ranks, the lowest is served most, since it can wait longest.
BOOST_AUTO_TEST_CASE(higher_ranks_are_served_first_and_none_starves) {
  for (const double load : {1.0, 1.3, 1.9}) {
    const auto before = ReplayRankedLoad({.load = load, .is_ranked = false});
    const auto after = ReplayRankedLoad({.load = load});
    const auto print = [load](const char* name, const ranked_load_result& r) {
      BOOST_TEST_MESSAGE(
          "load " << load << name << " worth " << r.worth_share << ", served "
                  << r.ranks[0].Share() << " " << r.ranks[1].Share() << " "
                  << r.ranks[2].Share() << ", waiting " << r.max_waiting);
    };
    print(" without ranks:", before);
    print(" with ranks:", after);
    BOOST_TEST(after.worth_share > before.worth_share + 0.05, load);
    served_calls all;
    for (const served_calls& rank : after.ranks) {
      all.all += rank.all;
      all.in_time += rank.in_time;
      all.late += rank.late;
    }
    for (size_t i = 0; i < after.ranks.size(); ++i) {
      const served_calls& rank = after.ranks[i];
      BOOST_TEST(rank.Share() > 0.25 * all.Share(), load);
      BOOST_TEST(rank.LargestShare() > 0.5 * rank.Share(), load);
      if (i == 0)
        continue;
      BOOST_TEST(after.ranks[i - 1].Share() > rank.Share() - 0.05, load);
      BOOST_TEST(after.rank_worth[i - 1] > after.rank_worth[i] - 0.15, load);
    }
    // Two of the organisations send half of the calls.
    for (const served_calls& organisation : after.organisations)
      BOOST_TEST(organisation.Share() > 0.25 * all.Share(), load);
    BOOST_TEST(after.max_waiting <= 16u);
  }
}

// Without a request in the engine's queue, a slot stays empty until a grant
// arrives; more of them hold back those of higher rank.
BOOST_AUTO_TEST_CASE(one_request_waits_in_the_engine) {
  const auto chosen = ReplayRankedLoad({.load = 1.9});
  const auto none =
      ReplayRankedLoad({.load = 1.9, .table = {.ranked_max_ahead = 0}});
  BOOST_TEST(chosen.worth_share > none.worth_share + 0.03);
  BOOST_TEST(chosen.busy_share > none.busy_share + 0.01);
}

// A caller that sends each call three times gets less for each of them, and the
// other organisations get what they got before.
BOOST_AUTO_TEST_CASE(asking_repeatedly_takes_little_from_others) {
  const auto replay = [](bool is_ranked, double repeats) {
    const auto result = ReplayRankedLoad({.load = 1.9,
                                          .is_ranked = is_ranked,
                                          .organisations = 8,
                                          .repeats = repeats});
    const served_calls& own = result.organisations[5];
    return std::pair(static_cast<double>(own.in_time + own.late),
                     result.organisations[4].Share());
  };
  const auto [unranked_once, unranked_others_once] = replay(false, 1);
  const auto [unranked, unranked_others] = replay(false, 3);
  const auto [once, others_once] = replay(true, 1);
  const auto [repeated, others] = replay(true, 3);
  BOOST_TEST_MESSAGE("gain " << unranked / unranked_once << " -> "
                             << repeated / once << ", others "
                             << unranked_others << " -> " << others);
  BOOST_TEST(repeated / once < unranked / unranked_once - 0.3);
  BOOST_TEST(others > 0.9 * others_once);
  BOOST_TEST(unranked_others < 0.9 * unranked_others_once);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
