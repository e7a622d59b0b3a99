/// @file node_runtime.h Common parts of entries and agents: links, store watch,
/// signals and common outputs.
#ifndef NETWORK_NODE_RUNTIME_H_
#define NETWORK_NODE_RUNTIME_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "agent_base.h"
#include "metrics_base.h"
#include "network/message_link.h"
#include "network/store_client.h"
#include "settings_base.h"

namespace fuchsiafall {

/// Exit codes of all commands.
enum class exit_code : int {
  kOk = 0,
  kFailed = 1,
  kUsage = 2,
  kBadInput = 3,
  kConflict = 4,
  kUnreachable = 5,
  kUnknown = 6,
};

/// Hooks by which the threads of a process pass inputs to its control thread.
struct node_hooks {
  std::function<void(message_arrival)> on_message;
  std::function<void(blob_arrival)> on_blob;
  std::function<void(store_changes)> on_store;
  std::function<void(proto::vm_list)> on_vm_list;
  std::function<void()> on_shutdown;
};

/// Sockets and threads around the state machine of an entry or agent.
class node_runtime {
 public:
  node_runtime(const settings& from, node_hooks hooks);
  ~node_runtime();
  node_runtime(const node_runtime&) = delete;
  node_runtime& operator=(const node_runtime&) = delete;

  /// Opens the links and starts all threads.
  outcome<done> Start();
  void Stop();
  /// Performs an output that is common to all roles.
  /// @return False if the output is specific to a role.
  bool Perform(output* item);
  /// Updates the state that controls the store watch.
  /// @param own Revision in force.
  /// @param watches Whether this process watches the store.
  void UpdateStoreWatch(revision own, bool watches) {
    own_revision_ = own.value;
    watches_store_ = watches;
  }

  metrics& Metrics() { return metrics_; }
  const store_client& Store() const { return store_; }
  incarnation OwnIncarnation() const { return incarnation_; }
  /// Formats the metrics, with CPU time and memory of the process.
  std::string DescribeMetrics();

 private:
  void OnEnvelope(plane where, proto::envelope&& message);
  message_link* LinkOf(plane where);
  void WatchStore();
  void ReadVmList();
  void WaitForSignal();
  void Sleep(milliseconds span);

  settings settings_;
  node_hooks hooks_;
  metrics metrics_;
  incarnation incarnation_;
  store_client store_;
  std::unique_ptr<zmq::context_t> context_;
  std::unique_ptr<link_authenticator> authenticator_;
  std::unique_ptr<message_link> control_;
  std::unique_ptr<message_link> bulk_;
  std::unique_ptr<message_link> traffic_;
  std::atomic<bool> is_stopping_{false};
  std::atomic<uint64_t> own_revision_{0};
  std::atomic<bool> watches_store_{false};
  std::thread store_thread_;
  std::thread signal_thread_;
};

/// Creates an incarnation number from the current time, in microseconds since
/// the epoch.
incarnation NewIncarnation();

/// Blocks the signals that request a graceful shutdown or a reload. Must be
/// called before any thread starts.
void BlockSignals();

/// Creates the gossip options that are common to entries and agents.
gossip_options GossipOptionsOf(const settings& from, incarnation own);

}  // namespace fuchsiafall

#endif  // NETWORK_NODE_RUNTIME_H_
