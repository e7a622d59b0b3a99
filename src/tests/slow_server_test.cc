/// @file slow_server_test.cc Choice among servers of which some are slow for
/// tenths of a second, replayed against simulated servers.
#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "engine_model_func.h"
#include "place_table_base.h"
#include "server_board_base.h"
#include "tests/fake_site.h"

namespace fuchsiafall::tests {

namespace {

const time_point kStart{std::chrono::hours(1)};
constexpr milliseconds kSlowTime{600};
constexpr double kSlowdown = 2.5;
constexpr size_t kEntries = 17;

duration Scaled(duration span, double factor) {
  return std::chrono::duration_cast<duration>(span * factor);
}

/// Which servers are slow; others each 0.6 s.
class slow_set {
 public:
  slow_set(size_t servers, double share)
      : slow_(servers, false), share_(share) {}

  double At(time_point now, size_t server) {
    while (now >= next_at_) {
      next_at_ += kSlowTime;
      for (size_t i = 0; i < slow_.size(); ++i)
        slow_[i] = std::bernoulli_distribution(share_)(random_);
    }
    return slow_[server] ? kSlowdown : 1;
  }

 private:
  std::vector<bool> slow_;
  double share_;
  time_point next_at_ = kStart;
  std::mt19937_64 random_{11};
};

/// Entries that share the servers of one service; the ids of these are their
/// numbers.
struct entry_group {
  entry_group(size_t servers, uint32_t slots) {
    site_view view;
    view.configuration.services["s"] = {.name = "s"};
    for (size_t i = 0; i < servers; ++i) {
      const std::string id = std::to_string(i);
      view.servers[id] = {
          .id = id, .service = "s", .domain = "a", .slots = slots};
    }
    index =
        std::make_unique<site_index>(std::make_shared<const site_view>(view));
    for (size_t i = 0; i < kEntries; ++i) {
      entries.emplace_back(server_selector_options{.domain = "a", .seed = i});
      entries.back().SetIndex(index.get());
    }
  }

  std::unique_ptr<site_index> index;
  std::vector<server_selector> entries;
};

struct timed_event {
  time_point at;
  std::function<void()> run;
  bool operator<(const timed_event& other) const { return at > other.at; }
};

/// Runs events in the order of their times.
class event_queue {
 public:
  void Add(time_point at, std::function<void()> run) {
    events_.push({at, std::move(run)});
  }
  void RunUntil(time_point until) {
    while (!events_.empty() && events_.top().at <= until) {
      const timed_event event = events_.top();
      events_.pop();
      event.run();
    }
  }

 private:
  std::priority_queue<timed_event> events_;
};

struct replay_result {
  double on_time_share = 0;
  double slow_share = 0;  ///< Requests sent to servers that were slow.
  uint32_t max_load = 0;  ///< Of one server.
};

/// Replays requests to plain servers of which some are slow.
/// @param load Multiple of the capacity of the servers at their usual speed.
/// @param has_reports Whether they report their slowdown.
replay_result ReplayPlainServers(double load, bool has_reports) {
  constexpr size_t kServers = 3;
  constexpr uint32_t kSlots = 6;
  constexpr milliseconds kWork{30};
  constexpr milliseconds kTarget{150};
  entry_group group(kServers, kSlots);
  slow_set slow(kServers, 0.15);
  std::mt19937_64 random(3);
  std::exponential_distribution<> gap(load * kServers * kSlots /
                                      ToSeconds(kWork));
  std::vector<std::vector<time_point>> slot_free(
      kServers, std::vector<time_point>(kSlots, kStart));
  std::vector<uint32_t> open(kServers, 0);
  event_queue events;
  replay_result result;
  double sent = 0;
  for (time_point at = kStart; at < kStart + seconds(60); ++sent) {
    at += Scaled(seconds(1), gap(random));
    events.RunUntil(at);
    server_selector& entry = group.entries[random() % kEntries];
    const std::string id = entry.Rank(at, {.service = "s"}).front()->id;
    const size_t server = std::stoul(id);
    auto slot =
        std::min_element(slot_free[server].begin(), slot_free[server].end());
    const time_point begin = std::max(at, *slot);
    const time_point end = begin + Scaled(kWork, slow.At(at, server));
    *slot = end;
    result.max_load = std::max(result.max_load, ++open[server]);
    result.slow_share += slow.At(at, server) > 1 ? 1 : 0;
    result.on_time_share += end - at <= kTarget ? 1 : 0;
    entry.OnAttemptSent(id);
    events.Add(end, [&, id, server, end] {
      --open[server];
      entry.OnAttemptEnded(id);
      entry.OnLoad(end, id, open[server], kSlots);
      if (has_reports)
        entry.OnSlowdown(end, id, slow.At(end, server));
    });
  }
  result.on_time_share /= sent;
  result.slow_share /= sent;
  return result;
}

/// Agent and engine of one server.
struct simulated_engine {
  struct request {
    uint64_t call;
    size_t entry;
    uint32_t prompt_tokens;
    int passes;
    time_point due;
    bool has_token = false;
  };

  simulated_engine() : table({}) {
    table.SetProfile(MakeEngineProfile(), 0);
    table.SetAccepting(true);
  }

  /// Runs one pass of the batch, which ends at next_pass_at.
  /// @param on_end Called for each request that is complete at its end.
  /// @return Number of first tokens at its end that are on time.
  size_t RunPass(double slowdown,
                 const std::function<void(const request&)>& on_end) {
    const time_point now = next_pass_at;
    const engine_profile engine = SlowedProfile(MakeEngineProfile(), slowdown);
    duration time = PassTime(engine, static_cast<uint32_t>(running.size()));
    while (running.size() < engine.slots && !queue.empty()) {
      time += PrefillTime(engine, queue.front().prompt_tokens);
      running.push_back(queue.front());
      queue.pop_front();
    }
    next_pass_at = now + time;
    size_t on_time = 0;
    for (request& item : running) {
      on_time += !item.has_token && next_pass_at <= item.due ? 1 : 0;
      item.has_token = true;
    }
    std::erase_if(running, [&](request& item) {
      if (--item.passes > 0)
        return false;
      table.Release(now, std::to_string(item.entry), item.call);
      on_end(item);
      return true;
    });
    return on_time;
  }

  place_table table;
  std::deque<request> queue;
  std::vector<request> running;
  time_point next_pass_at = kStart;
};

struct model_result {
  double on_time_share = 0;  ///< First tokens on time, of all requests.
  double late_share = 0;     ///< Requests that got a place, but a late token.
};

/// Replays requests to model servers of which some are slow.
/// @param load Multiple of the capacity of the servers at their usual speed.
/// @param has_reports Whether they report their slowdown.
model_result ReplayModelServers(double load, bool has_reports) {
  constexpr size_t kServers = 40;
  constexpr size_t kMaxAsks = 6;
  constexpr milliseconds kTarget{400};
  constexpr milliseconds kReportInterval{50};
  constexpr milliseconds kRoundTrip{4};
  entry_group group(kServers, MakeEngineProfile().slots);
  slow_set slow(kServers, 0.15);
  std::mt19937_64 random(3);
  std::exponential_distribution<> gap(
      load * kServers / ToSeconds(SlotInterval(MakeEngineProfile())));
  std::lognormal_distribution<> answers(4.3, 0.8);
  std::vector<simulated_engine> engines(kServers);
  time_point report_at = kStart;
  double on_time = 0;
  double placed = 0;
  uint64_t calls = 0;
  for (time_point at = kStart; at < kStart + seconds(20); ++calls) {
    at += Scaled(seconds(1), gap(random));
    for (size_t i = 0; i < kServers; ++i) {
      simulated_engine& engine = engines[i];
      const double slowdown = slow.At(at, i);
      while (engine.next_pass_at <= at) {
        on_time +=
            static_cast<double>(engine.RunPass(slowdown, [&](const auto& done) {
              group.entries[done.entry].OnAttemptEnded(std::to_string(i));
            }));
      }
      if (at >= report_at) {
        engine.table.OnReport(
            at, {.waiting = static_cast<uint32_t>(engine.queue.size()),
                 .running = static_cast<uint32_t>(engine.running.size()),
                 .slowdown = has_reports ? slowdown : 1});
      }
    }
    if (at >= report_at)
      report_at = at + kReportInterval;
    const size_t number = random() % kEntries;
    server_selector& entry = group.entries[number];
    const auto tokens = static_cast<uint32_t>(std::min(600.0, answers(random)));
    std::set<std::string> asked;
    time_point asked_at = at;
    while (asked.size() < kMaxAsks) {
      const std::string id =
          entry.Rank(asked_at, {.service = "s", .tried = &asked}).front()->id;
      asked.insert(id);
      simulated_engine& engine = engines[std::stoul(id)];
      const place_reply reply = engine.table.RequestPlace(
          asked_at,
          {.entry = std::to_string(number),
           .call = calls,
           .prompt_tokens = 970,
           .first_token_budget = std::chrono::duration_cast<milliseconds>(
               at + kTarget - asked_at),
           .time_left = milliseconds(6000)});
      entry.OnLoad(asked_at, id, reply.load, reply.slots);
      entry.OnSlowdown(asked_at, id, reply.slowdown.value_or(1));
      if (reply.is_granted) {
        ++placed;
        entry.OnAttemptSent(id);
        engine.queue.push_back({calls, number, 970,
                                1 + static_cast<int>(tokens / 6),
                                at + kTarget});
        break;
      }
      entry.OnFull(asked_at, id, reply.expected_free_in);
      asked_at += kRoundTrip;
    }
  }
  const auto all = static_cast<double>(calls);
  return {on_time / all, (placed - on_time) / all};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(slow_server_suite)

// Guards against requests that are late because an entry knows only the load of
// its servers, not how slowly they work.
BOOST_AUTO_TEST_CASE(fewer_plain_requests_are_late_with_the_slowdown_known) {
  for (double load : {0.5, 0.6, 0.7}) {
    const replay_result without = ReplayPlainServers(load, false);
    const replay_result with = ReplayPlainServers(load, true);
    BOOST_TEST_MESSAGE("load " << load << ": on time " << without.on_time_share
                               << ", with reports " << with.on_time_share);
    BOOST_TEST(1 - with.on_time_share < 0.85 * (1 - without.on_time_share));
    BOOST_TEST(with.slow_share < without.slow_share);
    // The share of a slow server is smaller, but it is used.
    BOOST_TEST(with.slow_share > 0.03);
  }
}

// Guards against an agent that accepts what its slow engine answers late.
BOOST_AUTO_TEST_CASE(fewer_first_tokens_are_late_with_the_slowdown_known) {
  for (double load : {0.6, 0.8, 1.0}) {
    const model_result without = ReplayModelServers(load, false);
    const model_result with = ReplayModelServers(load, true);
    BOOST_TEST_MESSAGE("load " << load << ": on time " << without.on_time_share
                               << ", with reports " << with.on_time_share);
    BOOST_TEST(with.on_time_share > without.on_time_share + 0.02);
    BOOST_TEST(with.late_share < 0.8 * without.late_share);
  }
}

// Guards against entries that read the same figure and all choose the server
// that is not slow.
BOOST_AUTO_TEST_CASE(entries_with_the_same_figures_choose_different_servers) {
  entry_group group(3, 6);
  std::vector<int> chosen(3, 0);
  for (int round = 0; round < 100; ++round) {
    const time_point now = kStart + seconds(10) * round;
    for (server_selector& entry : group.entries) {
      for (const char* id : {"0", "1"})
        entry.OnSlowdown(now, id, kSlowdown);
      ++chosen[std::stoul(entry.Rank(now, {.service = "s"}).front()->id)];
    }
  }
  const int all = 100 * static_cast<int>(kEntries);
  BOOST_TEST(chosen[2] > all * 7 / 10);
  BOOST_TEST(chosen[2] < all * 95 / 100);
  BOOST_TEST(std::min(chosen[0], chosen[1]) > all * 2 / 100);
}

// Guards against a server that is avoided for longer than it is slow.
BOOST_AUTO_TEST_CASE(a_slow_server_is_found_again_when_it_falls_silent) {
  entry_group group(2, 6);
  server_selector& entry = group.entries.front();
  entry.OnSlowdown(kStart, "0", kMaxSlowdown);
  auto share_at = [&](time_point now) {
    int chosen = 0;
    for (int i = 0; i < 400; ++i)
      chosen += entry.Rank(now, {.service = "s"}).front()->id == "0" ? 1 : 0;
    return chosen;
  };
  BOOST_TEST(share_at(kStart) < 40);
  BOOST_TEST(share_at(kStart + seconds(5)) > 160);
}

BOOST_AUTO_TEST_CASE(a_restarted_server_starts_at_the_usual_speed) {
  entry_group group(2, 6);
  server_selector& entry = group.entries.front();
  site_view view = group.index->View();
  view.servers["0"].started_at_ms = 1;
  const site_index first(std::make_shared<const site_view>(view));
  entry.OnSlowdown(kStart, "0", kSlowdown);
  entry.SetIndex(&first);
  BOOST_TEST(entry.Health("0").slowdown.At(kStart) == kSlowdown);
  view.servers["0"].started_at_ms = 2;
  const site_index restarted(std::make_shared<const site_view>(view));
  entry.SetIndex(&restarted);
  BOOST_TEST(entry.Health("0").slowdown.At(kStart) == 1);
}

// Deployments without slow servers are served as before.
BOOST_AUTO_TEST_CASE(the_ranking_is_unchanged_where_no_server_is_slow) {
  BOOST_TEST(rc::check([] {
    entry_group group(5, 6);
    entry_group reported(5, 6);
    for (int i = 0; i < 20; ++i) {
      const time_point now = kStart + milliseconds(50) * i;
      const auto id = std::to_string(*rc::gen::inRange(0, 5));
      const auto load = *rc::gen::inRange(0U, 20U);
      group.entries[0].OnLoad(now, id, load, 6);
      reported.entries[0].OnLoad(now, id, load, 6);
      reported.entries[0].OnSlowdown(now, id, 1);
      const auto before = group.entries[0].Rank(now, {.service = "s"});
      const auto after = reported.entries[0].Rank(now, {.service = "s"});
      for (size_t rank = 0; rank < before.size(); ++rank)
        RC_ASSERT(before[rank]->id == after[rank]->id);
    }
  }));
}

BOOST_AUTO_TEST_CASE(the_excess_of_a_slowdown_ages) {
  BOOST_TEST(rc::check([] {
    server_slowdown slowdown;
    RC_ASSERT(slowdown.At(kStart) == 1);
    const double reported = *rc::gen::inRange(1, 20000) / 100.0;
    slowdown.Set(kStart, reported);
    const double first = slowdown.At(kStart);
    RC_ASSERT(first >= kMinSlowdown && first <= kMaxSlowdown);
    const auto age = milliseconds(*rc::gen::inRange(0, 2000));
    const double aged = slowdown.At(kStart + age);
    const double later = slowdown.At(kStart + age + milliseconds(300));
    RC_ASSERT(later == 1 ||
              std::abs((later - 1) * 2 - (aged - 1)) < 1e-9 * kMaxSlowdown);
    RC_ASSERT(slowdown.At(kStart + seconds(10)) == 1);
    slowdown.Set(kStart, std::nan(""));
    slowdown.Set(kStart, -1);
    RC_ASSERT(slowdown.At(kStart) == first);
    slowdown.Reset();
    RC_ASSERT(slowdown.At(kStart) == 1);
  }));
}

// All work of a slow engine takes longer, and so all that is predicted of it.
BOOST_AUTO_TEST_CASE(predictions_scale_with_the_slowdown_of_the_engine) {
  const engine_profile usual = MakeEngineProfile();
  const engine_profile slowed = SlowedProfile(usual, 2.5);
  auto check = [](duration slow, duration fast) {
    BOOST_TEST(std::abs(ToSeconds(slow) / ToSeconds(fast) - 2.5) < 1e-6);
  };
  check(SlotInterval(slowed), SlotInterval(usual));
  check(RunTime(slowed, 9, 50), RunTime(usual, 9, 50));
  check(FirstTokenTime(slowed, 16, 2, 900, 500),
        FirstTokenTime(usual, 16, 2, 900, 500));
  BOOST_TEST(AnswerTokensWithin(slowed, 9, milliseconds(2500)) ==
             AnswerTokensWithin(usual, 9, milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(an_agent_tells_the_slowdown_of_its_engine) {
  simulated_engine engine;
  const place_request request{
      .entry = "e", .call = 1, .first_token_budget = milliseconds(150)};
  BOOST_TEST(!engine.table.RequestPlace(kStart, request).slowdown.has_value());
  engine.table.Release(kStart, "e", 1);
  engine.table.OnReport(kStart, {.slowdown = kSlowdown});
  const place_reply slow = engine.table.RequestPlace(kStart, request);
  BOOST_TEST(!slow.is_granted);
  BOOST_TEST(slow.slowdown.value_or(0) == kSlowdown);
  engine.table.OnEngineRestart(kStart);
  BOOST_TEST(engine.table.RequestPlace(kStart, request).is_granted);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
