/// @file engine_client.h Adapter of the backend server: model engines and plain
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
      weights_address;  ///< ip:port at which it fetches weights from the agent.
  bool is_plain = false;
  milliseconds report_timeout{1000};
  milliseconds call_timeout{15000};  ///< Longest silence of a call.
  milliseconds order_freshness{
      1000};  ///< Age above which an order is dropped unsent.
  int most_threads = 256;
};

/// Speaks to one backend server from threads of its own.
class engine_client {
 public:
  using part_hook = std::function<void(engine_part)>;

  engine_client(engine_client_options options, part_hook on_part);
  ~engine_client();
  engine_client(const engine_client&) = delete;
  engine_client& operator=(const engine_client&) = delete;

  /// Asks the backend server for its state; blocks.
  engine_report Report() const;
  /// Orders a load; blocks. An order that lay too long is dropped as stale.
  load_answer Load(const order_load& order, time_point issued_at) const;
  /// Runs a call in a thread of the pool; its parts go to the hook.
  void Start(const start_call& call);
  /// Ends a running call at its next part.
  void Cancel(const call_id& id);
  /// Waits for the running calls to end.
  void JoinAll();

 private:
  void RunCall(const start_call& call,
               const std::shared_ptr<std::atomic<bool>>& is_cancelled);
  void Forget(const call_id& id);

  engine_client_options options_;
  part_hook on_part_;
  std::unique_ptr<Poco::ThreadPool> pool_;
  std::mutex mutex_;
  std::map<call_id, std::shared_ptr<std::atomic<bool>>>
      running_;  ///< With whether cancelled.
};

}  // namespace fuchsiafall

#endif  // NETWORK_ENGINE_CLIENT_H_
