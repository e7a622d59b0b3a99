/// @file ranked_load.cc Replay in virtual time of three kinds of calls that
/// share the model servers of one ranked service.
#include "tests/ranked_load.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>

#include "engine_model_func.h"

namespace fuchsiafall::tests {

namespace {

constexpr size_t kServers = 52;
constexpr milliseconds kHalfTrip{2};
constexpr milliseconds kPlaceTimeout{70};
constexpr milliseconds kTimeout{6000};
/// Calls that begin before this are not counted: the shares are still empty.
constexpr seconds kWarmUp{4};

/// Kind of calls, in the order of the ranks.
struct call_kind_load {
  double rate;  ///< Calls per second.
  milliseconds target;
  double worth;
  double worth_late;
};

constexpr std::array<call_kind_load, 3> kKinds{
    {{203, milliseconds(400), 3.6, 0.36},
     {246, milliseconds(400), 1.7, 0.42},
     {158, milliseconds(800), 0.55, 0.2}}};

struct simulated_call {
  uint32_t rank = 0;
  size_t organisation = 0;
  uint32_t prompt_tokens = 0;
  uint32_t answer_tokens = 0;
  time_point arrived_at{};
  size_t max_asks = 0;
  size_t asks = 0;
  size_t server = 0;     ///< Asked last.
  uint64_t request = 0;  ///< Id of the last place request.
  bool is_open = false;  ///< Whether a reply to it is awaited.
};

struct simulated_server {
  explicit simulated_server(const ranked_load_options& options)
      : table(options.table) {
    table.SetProfile(MakeRankedProfile(), 0);
    table.SetAccepting(true);
    table.SetRanked(options.is_ranked);
  }
  struct running_call {
    uint64_t call;
    int passes;
  };
  place_table table;
  std::vector<uint64_t> queue;  ///< Of the engine.
  std::vector<running_call> running;
  time_point next_report_at{};
};

class replay {
 public:
  explicit replay(const ranked_load_options& options)
      : options_(options), servers_(kServers, simulated_server(options)) {
    result_.organisations.resize(options.organisations);
  }

  ranked_load_result Run() {
    for (uint32_t rank = 0; rank < kKinds.size(); ++rank)
      Arrive(kStart, rank);
    for (size_t i = 0; i < kServers; ++i) {
      At(kStart + milliseconds(i), [this, i](time_point now) { Pass(now, i); });
    }
    while (!events_.empty() &&
           events_.begin()->first < kStart + options_.length) {
      auto event = events_.extract(events_.begin());
      event.mapped()(event.key());
    }
    double worth = 0;
    double all_worth = 0;
    for (size_t i = 0; i < kKinds.size(); ++i) {
      const served_calls& rank = result_.ranks[i];
      const double own =
          rank.in_time * kKinds[i].worth + rank.late * kKinds[i].worth_late;
      result_.rank_worth[i] = own / (rank.all * kKinds[i].worth);
      worth += own;
      all_worth += rank.all * kKinds[i].worth;
    }
    result_.worth_share = worth / all_worth;
    result_.busy_share = busy_ / all_time_;
    return result_;
  }

 private:
  static constexpr time_point kStart{std::chrono::hours(1)};
  using event_hook = std::function<void(time_point)>;

  void At(time_point at, event_hook hook) {
    events_.emplace(at, std::move(hook));
  }

  /// A tenth of the calls is from the last third of the organisations, and the
  /// first two send 30 and 20 in 100 of them.
  size_t ChooseOrganisation() {
    const double random = Random();
    if (random < 0.3)
      return 0;
    if (random < 0.5)
      return 1;
    return 2 + random_() % (options_.organisations - 2);
  }
  double Random() { return std::uniform_real_distribution<>()(random_); }

  void Arrive(time_point now, uint32_t rank) {
    simulated_call call{.rank = rank, .organisation = ChooseOrganisation()};
    call.prompt_tokens =
        static_cast<uint32_t>(std::min(3880.0, prompts_(random_)));
    call.answer_tokens =
        static_cast<uint32_t>(std::clamp(answers_(random_), 6.0, 400.0));
    call.arrived_at = now;
    call.max_asks = 2 + random_() % 9;
    const double copies = call.organisation == 5 ? options_.repeats : 1;
    for (int i = 0; i < copies; ++i) {
      const uint64_t id = next_call_++;
      calls_[id] = call;
      Ask(now + milliseconds(10 * i), id);
    }
    const double rate = kKinds[rank].rate * options_.load;
    At(now + FromSeconds(std::exponential_distribution<>(rate)(random_)),
       [this, rank](time_point at) { Arrive(at, rank); });
  }
  static duration FromSeconds(double value) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
  }

  void Ask(time_point now, uint64_t id) {
    simulated_call& call = calls_.at(id);
    if (call.asks >= call.max_asks ||
        (call.asks > 2 && now - call.arrived_at > kKinds[call.rank].target / 4))
      return End(now, id, false);
    ++call.asks;
    call.server = random_() % kServers;
    call.request = next_request_++;
    call.is_open = true;
    place_request request{
        .entry = "e:1",
        .call = call.request,
        .prompt_tokens = call.prompt_tokens,
        .answer_tokens = call.answer_tokens,
        .time_left = kTimeout,
        .rank = call.rank,
        .organisation = "organisation-" + std::to_string(call.organisation),
        .is_first = call.asks == 1,
        .may_wait = options_.may_wait && call.asks > options_.asks_at_once};
    open_[call.request] = id;
    At(now + kHalfTrip, [this, id, request](time_point at) mutable {
      const simulated_call& asking = calls_.at(id);
      request.first_token_budget = std::max(
          milliseconds(0),
          kKinds[asking.rank].target -
              std::chrono::duration_cast<milliseconds>(at - asking.arrived_at));
      simulated_server& server = servers_[asking.server];
      const place_reply reply = server.table.RequestPlace(at, request);
      Reply(at, request.call, reply);
      Decide(at, asking.server);
    });
  }

  void Decide(time_point now, size_t index) {
    simulated_server& server = servers_[index];
    for (const place_decision& decision : server.table.DecideWaiting(now))
      Reply(now, decision.request.call, decision.reply);
    result_.max_waiting =
        std::max(result_.max_waiting, server.table.Waiting().size());
    if (const auto due = server.table.NextDue(); due && *due > now) {
      At(*due, [this, index, due](time_point at) {
        if (servers_[index].table.NextDue() == due)
          Decide(at, index);
      });
    }
  }

  void Reply(time_point now, uint64_t request, const place_reply& reply) {
    At(now + kHalfTrip, [this, request, reply](time_point at) {
      auto open = open_.find(request);
      if (open == open_.end())
        return;
      const uint64_t id = open->second;
      if (reply.is_queued) {
        At(at + reply.expected_free_in + kPlaceTimeout,
           [this, request](time_point timeout) { GiveUp(timeout, request); });
        return;
      }
      open_.erase(open);
      if (!reply.is_granted)
        return Ask(at, id);
      At(at + kHalfTrip, [this, id](time_point sent) {
        servers_[calls_.at(id).server].queue.push_back(id);
        static_cast<void>(sent);
      });
    });
  }

  /// Releases a request that waits, and asks elsewhere.
  void GiveUp(time_point now, uint64_t request) {
    auto open = open_.find(request);
    if (open == open_.end())
      return;
    const uint64_t id = open->second;
    open_.erase(open);
    Release(now, calls_.at(id).server, request);
    Ask(now, id);
  }

  void Release(time_point now, size_t server, uint64_t request) {
    At(now + kHalfTrip, [this, server, request](time_point at) {
      servers_[server].table.Release(at, "e:1", request);
      Decide(at, server);
    });
  }

  void Pass(time_point now, size_t index) {
    simulated_server& server = servers_[index];
    const engine_profile engine = MakeRankedProfile();
    std::vector<uint64_t> begun;
    duration time = duration(0);
    while (server.running.size() < engine.slots && !server.queue.empty()) {
      const uint64_t id = server.queue.front();
      server.queue.erase(server.queue.begin());
      const simulated_call& call = calls_.at(id);
      time += PrefillTime(engine, call.prompt_tokens);
      server.running.push_back(
          {id, 1 + static_cast<int>(call.answer_tokens / engine.stride)});
      begun.push_back(id);
    }
    // An idle engine looks for requests each millisecond.
    time +=
        server.running.empty()
            ? duration(milliseconds(1))
            : PassTime(engine, static_cast<uint32_t>(server.running.size()));
    busy_ += ToSeconds(time) * static_cast<double>(server.running.size()) /
             engine.slots;
    all_time_ += ToSeconds(time);
    At(now + time, [this, index, begun](time_point end) {
      for (const uint64_t id : begun)
        End(end, id, true);
      simulated_server& finished = servers_[index];
      std::erase_if(finished.running, [&](auto& item) {
        if (--item.passes > 0)
          return false;
        Release(end + kHalfTrip, index, calls_.at(item.call).request);
        return true;
      });
      if (end >= finished.next_report_at) {
        finished.next_report_at = end + milliseconds(100);
        finished.table.OnReport(
            end, {.waiting = static_cast<uint32_t>(finished.queue.size()),
                  .running = static_cast<uint32_t>(finished.running.size())});
        Decide(end, index);
      }
      Pass(end, index);
    });
  }

  /// Counts a call at its first token or its refusal.
  void End(time_point now, uint64_t id, bool is_served) {
    const simulated_call& call = calls_.at(id);
    if (call.arrived_at - kStart < kWarmUp)
      return;
    const bool is_largest = call.prompt_tokens + 10 * call.answer_tokens > 3900;
    for (served_calls* item : {&result_.ranks[call.rank],
                               &result_.organisations[call.organisation]}) {
      ++item->all;
      item->largest += is_largest ? 1 : 0;
      item->largest_served += is_largest && is_served ? 1 : 0;
      if (!is_served) {
        item->held += now - call.arrived_at;
      } else if (now - call.arrived_at <= kKinds[call.rank].target) {
        ++item->in_time;
      } else {
        ++item->late;
      }
    }
  }

  ranked_load_options options_;
  std::vector<simulated_server> servers_;
  std::multimap<time_point, event_hook> events_;
  std::map<uint64_t, simulated_call> calls_;
  std::map<uint64_t, uint64_t> open_;  ///< Calls by awaited place request.
  std::mt19937_64 random_{11};
  std::lognormal_distribution<> prompts_{6.55, 0.8};
  std::lognormal_distribution<> answers_{4.42, 0.78};
  uint64_t next_call_ = 1;
  uint64_t next_request_ = 1;
  ranked_load_result result_;
  double busy_ = 0;
  double all_time_ = 0;
};

}  // namespace

engine_profile MakeRankedProfile() {
  engine_profile engine{.slots = 12, .stride = 7, .step_ms = 7.4};
  engine.per_sequence_ms = 0.0387;
  engine.context_ms_per_k = 0.0203;
  engine.prefill_per_s = 31900;
  engine.pairs_ms_per_m = 0.733;
  engine.mean_prompt_tokens = 948;
  engine.mean_answer_tokens = 112;
  return engine;
}

ranked_load_result ReplayRankedLoad(const ranked_load_options& options) {
  return replay(options).Run();
}

}  // namespace fuchsiafall::tests
