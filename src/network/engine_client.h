/// @file engine_client.h Client of the backend server: model engines and plain
/// services.
#ifndef NETWORK_ENGINE_CLIENT_H_
#define NETWORK_ENGINE_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "call_table_base.h"
#include "output_type.h"
#include "server_control_base.h"

namespace Poco {
class ThreadPool;
}

namespace fuchsiafall {

struct engine_client_options {
  std::string address;  ///< ip:port of the backend server.
  std::string
      weights_address;  ///< ip:port where it fetches weights from the agent.
  bool is_plain = false;
  milliseconds report_timeout{1000};
  /// Maximum time of a call beyond the time that its caller waits, so that the
  /// answer can be saved.
  milliseconds call_timeout{15000};
  milliseconds max_order_age{1000};  ///< Older load orders are dropped unsent.
  int max_threads = 256;
};

/// Calls one backend server, with a thread for each running call.
class engine_client {
 public:
  using part_hook = std::function<void(engine_part)>;

  engine_client(engine_client_options options, part_hook on_part);
  ~engine_client();
  engine_client(const engine_client&) = delete;
  engine_client& operator=(const engine_client&) = delete;

  /// Queries the state of the backend server. Blocking.
  engine_report Report() const;
  /// Sends a load order. Blocking. An order older than max_order_age is dropped
  /// as stale.
  load_answer Load(const order_load& order, time_point issued_at) const;
  /// Runs a call in a thread of the pool; the parts of its answer go to the
  /// hook.
  void Start(const start_call& call);
  /// Cancels a running call.
  void Cancel(const call_id& id);
  /// Cancels the running calls and blocks until they have ended.
  void Stop();

 private:
  void RunCall(const start_call& call,
               const std::shared_ptr<std::atomic<bool>>& is_cancelled);
  void RemoveCall(const call_id& id);

  engine_client_options options_;
  part_hook on_part_;
  std::unique_ptr<Poco::ThreadPool> pool_;
  std::mutex mutex_;
  std::map<call_id, std::shared_ptr<std::atomic<bool>>>
      running_;  ///< With their cancellation flags.
};

}  // namespace fuchsiafall

#endif  // NETWORK_ENGINE_CLIENT_H_
