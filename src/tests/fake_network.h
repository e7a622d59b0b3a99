/// @file fake_network.h Hand-written fakes around the state machines, in
/// virtual time.
#ifndef TESTS_FAKE_NETWORK_H_
#define TESTS_FAKE_NETWORK_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "agent_base.h"
#include "configuration_store.h"
#include "entry_base.h"
#include "network/store_client.h"
#include "rate_pacer_base.h"

namespace fuchsiafall::tests {

/// Store with compare-and-swap that can be down or lose answers.
class fake_store {
 public:
  store_client Client();

  bool is_down = false;
  double lose_share = 0;  ///< Of the answers to writes that took effect.
  std::map<std::string, std::pair<std::string, uint64_t>> values;
  uint64_t writes = 0;

 private:
  store_value Read(const std::string& key) const;
  store_write Write(const std::string& key,
                    const std::string* value,
                    uint64_t modify_index);

  std::mt19937_64 random_{7};
  uint64_t index_ = 0;
};

/// Weights as the origin has them.
struct fake_weights {
  std::map<digest, std::string> blobs;
  digest manifest;
};

/// Makes weights of pseudo-random bytes.
fake_weights MakeWeights(size_t bytes, uint32_t chunk_bytes, uint64_t seed);

/// Origin of weights with a rate.
struct fake_origin {
  std::map<digest, std::string> blobs;
  bool is_down = false;
  double corrupt_share = 0;
  uint64_t sent_bytes = 0;
  rate_pacer pacer{4e6};

  void Add(const fake_weights& weights) {
    blobs.insert(weights.blobs.begin(), weights.blobs.end());
  }
};

/// Backend server in virtual time; plain ones record their runs by key.
struct fake_engine {
  engine_report report;
  uint64_t starts = 1;
  int cold_limit = 2;
  int warm_after = 8;
  int running = 0;
  int answered = 0;
  int cold_exceeded = 0;
  int old_fences = 0;
  int orders = 0;
  bool checks_fencing = true;
  std::pair<uint64_t, uint64_t> last_fence{0, 0};
  milliseconds load_time{100};
  milliseconds call_time{50};
  std::function<bool(const proto::call_request&)>
      crashes_on;  ///< May be empty.
};

/// What a caller got.
struct caller_answer {
  bool is_done = false;
  bool is_refused = false;
  reason why = reason::kNone;
  bool may_have_run = false;
  std::string body;
};

struct fake_fleet_options {
  std::vector<std::string> domains{"western", "southern", "eastern"};
  size_t entries = 1;        ///< In each failure domain.
  size_t servers = 2;        ///< Of the model service, in each.
  size_t plain_servers = 1;  ///< Of the plain service, in each.
  double vm_rate = 1e6;
  uint64_t seed = 1;
};

/// Inventory with a model service "assistant" and a plain service "booking".
proto::inventory MakeInventory(const fake_fleet_options& options);

/// Delivers messages between entries and agents, and stands in for all outside
/// systems.
class fake_network {
 public:
  /// Whether a message is dropped.
  using drop_hook = std::function<bool(const std::string& from,
                                       const std::string& to,
                                       const proto::envelope&)>;

  explicit fake_network(fake_fleet_options options);

  /// Advances the time in control steps.
  void Run(duration span);
  /// Runs until a condition holds.
  /// @return Whether it came to hold in time.
  bool RunUntil(const std::function<bool()>& condition, duration longest);

  /// Puts an edit into the store and lets the watchers see it.
  publish_result Apply(
      const std::function<void(proto::edit*, const proto::configuration&)>&
          set);
  /// Makes weights known and the version intended.
  void SetVersion(const std::string& version, const fake_weights& weights);

  uint64_t Send(const std::string& entry, caller_request request);
  const caller_answer& Answer(uint64_t id) const { return answers_.at(id); }
  /// Request of the model service.
  static caller_request Completion(const std::string& prompt);
  /// Call of the plain service that may not be repeated.
  static caller_request Booking(const std::string& key);

  void Kill(const std::string& vm);
  void Restart(const std::string& vm);
  void Pause(const std::string& vm, duration span) {
    paused_until_[vm] = now + span;
  }
  void CrashEngine(const std::string& vm);

  agent* Agent(const std::string& vm);
  entry* Entry(const std::string& vm);
  std::vector<std::string> Servers(const std::string& service) const;
  std::vector<std::string> AllVms() const;
  bool AllServe(const std::string& version);
  uint64_t Counter(const std::string& name) const;
  std::string DomainOf(const std::string& vm) const;

  time_point now{std::chrono::hours(1)};
  fake_store store;
  fake_origin origin;
  std::map<std::string, fake_engine> engines;
  std::map<std::string, int> runs;  ///< Of the plain service, by key.
  std::set<std::string> no_store;   ///< Domains cut off from the store.
  drop_hook drop;
  std::vector<std::string> leaving;  ///< As the platform's VM list has it.

 private:
  struct node {
    proto::vm vm;
    std::unique_ptr<agent> server;
    std::unique_ptr<entry> front;
    std::shared_ptr<blob_store> blobs;
    incarnation own;
  };
  struct event {
    std::string vm;
    incarnation own;  ///< Events of an earlier process are dropped.
    std::function<void()> act;
  };

  void StartNode(node* item);
  void Step(node* item, const agent_input& input);
  void StepEntry(node* item, const entry_input& input);
  void Perform(node* item, std::vector<output>&& outputs);
  void Deliver(node* item, send_message&& message);
  void Later(const node& item, duration after, std::function<void()> act);
  void FetchBlob(node* item, const digest& wanted);
  void LoadEngine(node* item, const order_load& order);
  void RunCall(node* item, const start_call& call);
  void CreateRecord(node* item, const create_record& record);
  void WatchStore();
  node* ByAddress(const std::string& address, plane* where);

  fake_fleet_options options_;
  proto::inventory inventory_;
  std::map<std::string, node> nodes_;
  std::multimap<time_point, event> events_;
  std::map<std::string, time_point> paused_until_;
  std::map<uint64_t, caller_answer> answers_;
  std::map<std::string, uint64_t> counters_;
  std::mt19937_64 random_;
  uint64_t next_incarnation_ = 1;
  uint64_t next_request_ = 1;
  uint64_t next_edit_ = 1;
  time_point last_watch_{};
  uint64_t vm_list_index_ = 0;
  std::vector<std::string> seen_leaving_;
};

}  // namespace fuchsiafall::tests

#endif  // TESTS_FAKE_NETWORK_H_
