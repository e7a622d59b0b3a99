/// @file fake_network.h Simulated network, store, origin and backend servers
/// around agents and entries, in virtual time.
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

/// Store with compare-and-swap that can be down or lose answers to writes.
class fake_store {
 public:
  store_client Client();

  bool is_down = false;
  double lost_answer_share = 0;  ///< Of the answers to processed writes.
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

/// Manifest and chunks of one set of weights, by digest.
struct fake_weights {
  std::map<digest, std::string> blobs;
  digest manifest;  ///< Name of the manifest in `blobs`.
};

/// Creates weights of pseudo-random bytes.
fake_weights MakeWeights(size_t bytes, uint32_t chunk_bytes, uint64_t seed);

/// Rate-limited origin of weights.
struct fake_origin {
  std::map<digest, std::string> blobs;
  bool is_down = false;
  double corrupt_share = 0;  ///< Of the answers; one bit is flipped.
  uint64_t sent_bytes = 0;
  rate_pacer pacer{4e6};

  void Add(const fake_weights& weights) {
    blobs.insert(weights.blobs.begin(), weights.blobs.end());
  }
};

/// Backend server in virtual time. Runs of plain services are counted in
/// `fake_network::runs`.
struct fake_engine {
  engine_report report;
  uint64_t starts = 1;
  int cold_limit = 2;  ///< Concurrent calls that it handles while cold.
  int warm_after = 8;  ///< Answered calls after which it is warm.
  int running = 0;
  int answered = 0;
  int cold_limit_violations = 0;  ///< Calls started above the cold limit.
  int outdated_fences = 0;  ///< Load orders with an outdated fencing token.
  int load_orders = 0;      ///< Load orders received.
  bool checks_fencing = true;
  std::pair<uint64_t, uint64_t> highest_fence{0, 0};  ///< Highest one received.
  milliseconds load_time{100};
  milliseconds call_time{50};
  /// Whether a call crashes the engine; may be empty.
  std::function<bool(const proto::call_request&)> crashes_on;
};

/// Answer or refusal that a caller received.
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

/// Creates an inventory with the model service "assistant" and the plain
/// service "booking".
proto::inventory MakeInventory(const fake_fleet_options& options);

/// Runs agents and entries, delivers the messages between them, and simulates
/// the store, the origin and the backend servers.
class fake_network {
 public:
  /// Returns whether to drop a message.
  using drop_hook = std::function<bool(const std::string& from,
                                       const std::string& to,
                                       const proto::envelope&)>;

  explicit fake_network(fake_fleet_options options);

  /// Advances the virtual time in ticks and processes all due events.
  void Run(duration span);
  /// Runs until a condition holds or the timeout has passed.
  /// @return Whether the condition held in time.
  bool RunUntil(const std::function<bool()>& condition, duration timeout);

  /// Publishes an edit to the store, from where VMs read it at their next poll.
  /// @param set Fills in the edit, given the present configuration.
  publish_result Apply(
      const std::function<void(proto::edit*, const proto::configuration&)>&
          set);
  /// Adds weights to the origin and makes them the intended version of the
  /// model service.
  void SetVersion(const std::string& version, const fake_weights& weights);

  /// Sends a caller's request to an entry.
  /// @return Id of the request, for Answer().
  uint64_t Send(const std::string& entry, caller_request request);
  const caller_answer& Answer(uint64_t id) const { return answers_.at(id); }
  /// Creates a request to the model service.
  static caller_request MakeCompletion(const std::string& prompt);
  /// Creates a non-idempotent call to the plain service.
  static caller_request MakeBooking(const std::string& key);

  /// Ends a VM's process without a shutdown.
  void Kill(const std::string& vm);
  /// Replaces a VM's process by a new one that has lost all state.
  void Restart(const std::string& vm);
  /// Suspends a VM's process, which gets its pending events afterwards.
  void Pause(const std::string& vm, duration span) {
    paused_until_[vm] = now + span;
  }
  /// Ends a backend server, which restarts empty and cold.
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
  std::map<std::string, int> runs;  ///< Plain calls, by idempotency key.
  /// Failure domains cut off from the store.
  std::set<std::string> domains_without_store;
  drop_hook should_drop;
  std::vector<std::string> leaving_vms;  ///< VMs in the platform's list.

 private:
  struct node {
    proto::vm vm;
    std::unique_ptr<agent> agent_machine;
    std::unique_ptr<entry> entry_machine;
    std::shared_ptr<blob_store> blobs;
    incarnation own_incarnation;
  };
  struct event {
    std::string vm;
    /// Of the process; events for an earlier process are dropped.
    incarnation own_incarnation;
    std::function<void()> action;
  };

  void StartNode(node* item);
  /// Continues the processes whose pause has ended.
  void ResumePaused();
  /// Passes an input to the agent, if it runs, and performs its outputs.
  void RunAgent(node* item, const agent_input& input);
  /// Passes an input to the entry, if it runs, and performs its outputs.
  void RunEntry(node* item, const entry_input& input);
  void Perform(node* item, std::vector<output>&& outputs);
  void Deliver(node* item, send_message&& message);
  void Schedule(const node& item, duration after, std::function<void()> action);
  void FetchBlob(node* item, const digest& wanted);
  void LoadEngine(node* item, const order_load& order);
  void RunCall(node* item, const start_call& call);
  void CreateRecord(node* item, const create_record& record);
  /// Passes engine reports to all agents, and changes of the store and of the
  /// list of leaving VMs to the processes that watch the store.
  void PollStore();
  node* FindByAddress(const std::string& address, plane* where);

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
  time_point last_poll_{};
  uint64_t vm_list_index_ = 0;
  std::vector<std::string> seen_leaving_;
};

}  // namespace fuchsiafall::tests

#endif  // TESTS_FAKE_NETWORK_H_
