/// @file place_search_test.cc Number of place requests under steady overload,
/// replayed against simulated engines.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include "engine_model_func.h"
#include "load/place_search_base.h"
#include "place_table_base.h"

namespace fuchsiafall::tests {

namespace {

const time_point kStart{std::chrono::hours(1)};
constexpr milliseconds kFirstTokenLimit{500};
constexpr milliseconds kRoundTrip{4};

engine_profile MakeProfile() {
  return {.slots = 8,
          .stride = 6,
          .step_ms = 11.1,
          .per_sequence_ms = 0.058,
          .context_ms_per_k = 0.0305,
          .prefill_per_s = 21300,
          .pairs_ms_per_m = 1.1,
          .mean_prompt_tokens = 1000,
          .mean_answer_tokens = 88};
}

struct simulated_call {
  uint32_t prompt_tokens = 0;
  uint32_t answer_tokens = 0;
  double worth = 0;
};

/// Agent and engine of one server.
struct simulated_server {
  struct request {
    uint64_t call;
    uint32_t prompt_tokens;
    int passes;
  };

  simulated_server() : table({}) {
    table.SetProfile(MakeProfile(), 0);
    table.SetAccepting(true);
  }

  /// Runs one pass of the batch.
  void RunPass(time_point now) {
    const engine_profile engine = MakeProfile();
    duration time = PassTime(engine, static_cast<uint32_t>(running.size()));
    while (running.size() < engine.slots && !queue.empty()) {
      time += PrefillTime(engine, queue.front().prompt_tokens);
      running.push_back(queue.front());
      queue.pop_front();
    }
    std::erase_if(running, [&](request& item) {
      if (--item.passes > 0)
        return false;
      table.Release(now, "e:1", item.call);
      return true;
    });
    table.OnReport(now, {.waiting = static_cast<uint32_t>(queue.size()),
                         .running = static_cast<uint32_t>(running.size())});
    next_pass_at = now + time;
  }

  place_table table;
  std::deque<request> queue;
  std::vector<request> running;
  time_point next_pass_at = kStart;
};

struct overload_result {
  double worth_share = 0;    ///< Worth of the calls that got a place.
  double served_share = 0;   ///< Calls that got a place.
  double largest_share = 0;  ///< Of the largest tenth of the calls.
};

/// Replays a steady load against servers that are asked at random.
/// @param load Multiple of the servers' capacity.
/// @param chooses_by_yield Whether place_search limits the place requests, or
/// each call asks six servers.
overload_result ReplayLoad(double load, bool chooses_by_yield) {
  constexpr size_t kServers = 24;
  constexpr uint32_t kFixedRequests = 6;
  std::mt19937_64 random(5);
  std::vector<simulated_server> servers(kServers);
  std::lognormal_distribution<> prompts(6.56, 0.83);
  std::lognormal_distribution<> answers(4.18, 0.76);
  std::lognormal_distribution<> hint_error(0, 0.5);
  const double rate = load * kServers / ToSeconds(SlotInterval(MakeProfile()));
  std::exponential_distribution<> gap(rate);
  place_search search({});
  std::vector<std::pair<double, bool>> sizes;
  double worth = 0;
  double all_worth = 0;
  size_t served = 0;
  time_point at = kStart;
  for (uint64_t id = 1; at < kStart + seconds(60); ++id) {
    at += std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(gap(random)));
    for (simulated_server& server : servers) {
      while (server.next_pass_at <= at)
        server.RunPass(server.next_pass_at);
    }
    const auto prompt =
        static_cast<uint32_t>(std::min(3880.0, prompts(random)));
    const auto answer =
        static_cast<uint32_t>(std::clamp(answers(random), 6.0, 219.0));
    const auto hint =
        static_cast<uint32_t>(std::max(1.0, answer * hint_error(random)));
    const call_cost cost = EstimateCost(MakeProfile(), prompt, hint);
    const double rank = search.Rank("route", cost);
    const double size = prompt + 10.0 * answer;
    const double call_worth = std::min(4.0, 0.3 + 0.7 * size / 1850);
    bool is_granted = false;
    time_point asked_at = at;
    for (uint32_t tries = 0; !is_granted; ++tries) {
      const uint32_t limit = chooses_by_yield
                                 ? search.MaxRequests(asked_at, rank)
                                 : kFixedRequests;
      if (tries >= limit)
        break;
      simulated_server& server = servers[random() % kServers];
      place_request request{.entry = "e:1",
                            .call = id,
                            .prompt_tokens = prompt,
                            .answer_tokens = hint,
                            .time_left = milliseconds(6000)};
      request.first_token_budget = std::chrono::duration_cast<milliseconds>(
          kFirstTokenLimit - (asked_at - at));
      is_granted = server.table.RequestPlace(asked_at, request).is_granted;
      search.OnReply(asked_at, is_granted);
      if (is_granted) {
        server.queue.push_back(
            {id, prompt, 1 + static_cast<int>(answer / MakeProfile().stride)});
      }
      asked_at += kRoundTrip;
    }
    all_worth += call_worth;
    worth += is_granted ? call_worth : 0;
    served += is_granted ? 1 : 0;
    sizes.emplace_back(size, is_granted);
  }
  std::sort(sizes.rbegin(), sizes.rend());
  const size_t tenth = sizes.size() / 10;
  const auto largest = std::count_if(
      sizes.begin(), sizes.begin() + static_cast<ptrdiff_t>(tenth),
      [](const auto& item) { return item.second; });
  return {.worth_share = worth / all_worth,
          .served_share =
              static_cast<double>(served) / static_cast<double>(sizes.size()),
          .largest_share =
              static_cast<double>(largest) / static_cast<double>(tenth)};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(place_search_suite)

BOOST_AUTO_TEST_CASE(under_overload_the_same_engines_answer_more_callers) {
  for (const double load : {1.4, 1.7}) {
    const overload_result fixed = ReplayLoad(load, false);
    const overload_result chosen = ReplayLoad(load, true);
    BOOST_TEST_MESSAGE(
        "load " << load << ": worth " << fixed.worth_share << " -> "
                << chosen.worth_share << ", served " << fixed.served_share
                << " -> " << chosen.served_share << ", largest tenth "
                << fixed.largest_share << " -> " << chosen.largest_share);
    BOOST_TEST(chosen.worth_share > fixed.worth_share + 0.01, load);
    BOOST_TEST(chosen.served_share > fixed.served_share + 0.02, load);
    // The largest may be served half as often as all at the least.
    BOOST_TEST(chosen.largest_share > 0.5 * chosen.served_share, load);
  }
}

BOOST_AUTO_TEST_CASE(a_slight_overload_costs_no_caller_its_place) {
  const overload_result fixed = ReplayLoad(1.1, false);
  const overload_result chosen = ReplayLoad(1.1, true);
  BOOST_TEST(chosen.worth_share >= fixed.worth_share);
  BOOST_TEST(chosen.served_share >= fixed.served_share);
  BOOST_TEST(chosen.largest_share >= fixed.largest_share);
}

BOOST_AUTO_TEST_CASE(below_the_capacity_every_call_gets_a_place) {
  const overload_result fixed = ReplayLoad(0.8, false);
  const overload_result chosen = ReplayLoad(0.8, true);
  BOOST_TEST(chosen.served_share > 0.99);
  BOOST_TEST(chosen.served_share >= fixed.served_share - 0.002);
}

BOOST_AUTO_TEST_CASE(the_limit_follows_the_share_of_granted_requests) {
  place_search search({});
  BOOST_TEST(search.MaxRequests(kStart, 0) == 6u);
  for (int i = 0; i < 400; ++i)
    search.OnReply(kStart, i % 5 == 0);
  BOOST_TEST(search.MaxRequests(kStart, 0) == 2u);
  BOOST_TEST(search.MaxRequests(kStart, 0.5) == 6u);
  BOOST_TEST(search.MaxRequests(kStart, 1) == 10u);
  BOOST_TEST(search.MaxRequests(kStart + seconds(3), 0) == 6u);
}

BOOST_AUTO_TEST_CASE(limits_follow_the_rank_and_then_the_yield) {
  place_search search({});
  const auto requests = [&](uint32_t rank, double yield) {
    return search.RankedLimits(kStart, rank, yield, milliseconds(400)).requests;
  };
  BOOST_TEST(requests(2, 0) == 6u);
  for (int i = 0; i < 400; ++i) {
    for (const uint32_t rank : {0U, 1U, 2U})
      search.OnRankedReply(kStart, rank, i % 5 == 0);
  }
  BOOST_TEST(requests(0, 1) == 10u);
  BOOST_TEST(requests(0, 0) >= requests(1, 1));
  BOOST_TEST(requests(1, 0) >= requests(2, 1));
  // The first two requests of a call may not wait.
  BOOST_TEST(requests(2, 0) >= 3u);
  const search_limits high =
      search.RankedLimits(kStart, 0, 0.5, milliseconds(400));
  const search_limits low =
      search.RankedLimits(kStart, 2, 0.5, milliseconds(400));
  BOOST_TEST(ToMs(high.search_time) == 100);
  BOOST_TEST(ToMs(low.search_time) < ToMs(high.search_time));
  BOOST_TEST(low.untimed_requests < high.untimed_requests);
}

// Denials of a rank that only gets what others leave would shorten the search
// of the others, which are granted most of what they ask for.
BOOST_AUTO_TEST_CASE(denials_of_a_lower_rank_do_not_limit_higher_ones) {
  place_search search({});
  place_search one_history({});
  for (int i = 0; i < 400; ++i) {
    for (const uint32_t rank : {0U, 2U, 2U, 2U}) {
      const bool is_granted = rank == 0;
      search.OnRankedReply(kStart, rank, is_granted);
      one_history.OnReply(kStart, is_granted);
    }
  }
  const milliseconds target(400);
  BOOST_TEST(search.RankedLimits(kStart, 0, 0, target).requests == 6u);
  BOOST_TEST(search.RankedLimits(kStart, 2, 0, target).requests < 6u);
  BOOST_TEST(one_history.Limits(kStart, 0, target).requests == 2u);
}

BOOST_AUTO_TEST_CASE(calls_are_compared_within_their_route) {
  place_search search({});
  const call_cost small = EstimateCost(MakeProfile(), 100, 12);
  const call_cost large = EstimateCost(MakeProfile(), 100, 600);
  for (int i = 0; i < 64; ++i) {
    search.Rank("short", small);
    search.Rank("mixed", i % 2 == 0 ? small : large);
  }
  BOOST_TEST(search.Rank("mixed", large) == 0.0);
  BOOST_TEST(search.Rank("mixed", small) >= 0.4);
  BOOST_TEST(search.Rank("new", large) == 0.5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
