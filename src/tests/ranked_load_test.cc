/// @file ranked_load_test.cc Replay of an overload of three ranks: an entry and
/// agents with and without a queue.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <random>

#include "tests/ranked_entry.h"

namespace fuchsiafall::tests {

namespace {

constexpr int kServers = 8;
constexpr size_t kSlots = 4;
constexpr size_t kMaxQueued = 16;
constexpr milliseconds kRunTime{60};
/// Time to the first token at a server with a free slot.
constexpr milliseconds kFirstToken{110};

/// Agent that serves its queue by rank.
struct simulated_agent {
  std::map<uint64_t, time_point> running;  ///< End by place request.
  std::map<std::pair<uint32_t, uint64_t>, time_point> queue;  ///< Latest start.
};

/// Replays a load that is a multiple of the servers' capacity.
struct ranked_replay {
  ranked_replay(double load, bool has_queue)
      : has_queue_(has_queue), entry_({}, kServers) {
    constexpr double kCapacityPerMs =
        kServers * kSlots / static_cast<double>(kRunTime.count());
    std::bernoulli_distribution arrives(load * kCapacityPerMs / 2);
    for (int ms = 0; ms < 8000; ++ms) {
      for (int i = 0; i < 2; ++i) {
        if (arrives(random_))
          Send(static_cast<int>(random_() % 3));
      }
      Tick();
      entry_.now += milliseconds(1);
      entry_.dispatch.SetConfirmedAt(entry_.now);
      entry_.dispatch.RunDue(entry_.now);
    }
  }

  double ServedShare(size_t rank) const {
    return static_cast<double>(started_.at(rank)) /
           static_cast<double>(sent_.at(rank));
  }

  double ServedShare() const {
    double started = 0;
    for (int count : started_)
      started += count;
    return started / (sent_[0] + sent_[1] + sent_[2]);
  }

 private:
  void Send(int rank) {
    ++sent_.at(static_cast<size_t>(rank));
    entry_.SendOfRank(++last_call_, rank);
  }

  void Tick() {
    while (handled_releases_ < entry_.released_requests.size()) {
      const uint64_t id = entry_.released_requests[handled_releases_++];
      for (auto& [name, agent] : agents_) {
        std::erase_if(agent.queue, [id](const auto& item) {
          return item.first.second == id;
        });
      }
    }
    for (auto& [name, agent] : agents_)
      Advance(&agent);
    // Requests that these replies cause are handled in the next round.
    const size_t end = entry_.place_requests.size();
    for (; handled_requests_ < end; ++handled_requests_) {
      Handle(&agents_[entry_.requested_servers[handled_requests_]],
             entry_.place_requests[handled_requests_]);
    }
    while (handled_attempts_ < entry_.attempts.size())
      Answer(entry_.attempts[handled_attempts_++]);
  }

  /// Answers an attempt at once, since the agent alone limits the load. Its
  /// slot stays in use for the time that it would run.
  void Answer(const started_attempt& attempt) {
    ++started_.at(static_cast<size_t>(attempt.headers.urgency.value()));
    entry_.dispatch.OnAnswerHead(entry_.now, attempt.call, attempt.number,
                                 {.status = 200,
                                  .call_id = "r" + std::to_string(attempt.call),
                                  .is_sealed = true},
                                 true);
    entry_.dispatch.OnAnswerBody(entry_.now, attempt.call, attempt.number,
                                 "id:1\ndata\n\n");
    entry_.dispatch.OnExchangeEnd(entry_.now, attempt.call, attempt.number,
                                  exchange_end::kComplete);
  }

  void Advance(simulated_agent* agent) {
    std::erase_if(agent->running, [this](const auto& item) {
      return item.second <= entry_.now;
    });
    while (!agent->queue.empty()) {
      const auto [key, latest_start] = *agent->queue.begin();
      const bool is_late = entry_.now > latest_start;
      if (!is_late && agent->running.size() >= kSlots)
        return;
      agent->queue.erase(agent->queue.begin());
      if (!is_late)
        agent->running[key.second] = entry_.now + kRunTime;
      entry_.Reply(key.second, {.is_granted = !is_late, .slots = kSlots});
    }
  }

  void Handle(simulated_agent* agent, const place_request& request) {
    place_reply reply{.slots = kSlots};
    const auto before = std::count_if(
        agent->queue.begin(), agent->queue.end(),
        [&](const auto& item) { return item.first.first <= request.rank; });
    const milliseconds wait =
        kRunTime / static_cast<int>(kSlots) * static_cast<int>(before + 1);
    if (agent->running.size() < kSlots) {
      reply.is_granted = true;
      agent->running[request.call] = entry_.now + kRunTime;
    } else if (has_queue_ && request.may_wait &&
               agent->queue.size() < kMaxQueued &&
               wait + kFirstToken < request.first_token_budget) {
      reply.is_queued = true;
      agent->queue[{request.rank, request.call}] =
          entry_.now + request.first_token_budget - kFirstToken;
    }
    reply.expected_free_in = wait;
    entry_.Reply(request.call, reply);
  }

  bool has_queue_;
  std::mt19937_64 random_{7};
  ranked_entry entry_;
  std::map<std::string, simulated_agent> agents_;
  size_t handled_requests_ = 0;
  size_t handled_releases_ = 0;
  size_t handled_attempts_ = 0;
  uint64_t last_call_ = 0;
  std::array<int, 3> sent_{};
  std::array<int, 3> started_{};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(ranked_load_suite)

// Without waits, the rank decides only how many servers a call asks.
BOOST_AUTO_TEST_CASE(calls_that_wait_are_served_by_rank) {
  for (const double load : {1.4, 1.9}) {
    const ranked_replay without(load, false);
    const ranked_replay with(load, true);
    for (const ranked_replay* replay : {&without, &with}) {
      BOOST_TEST_MESSAGE("load " << load << ", served of ranks 0 to 2: "
                                 << replay->ServedShare(0) << " "
                                 << replay->ServedShare(1) << " "
                                 << replay->ServedShare(2) << ", of all "
                                 << replay->ServedShare());
    }
    BOOST_TEST(with.ServedShare(0) > without.ServedShare(0) + 0.05);
    BOOST_TEST(with.ServedShare(0) > with.ServedShare(2));
    BOOST_TEST(with.ServedShare() >= without.ServedShare() - 0.01);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
