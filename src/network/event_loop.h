/// @file event_loop.h Event loop over epoll: sockets, timers and work from
/// other threads.
#ifndef NETWORK_EVENT_LOOP_H_
#define NETWORK_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "time_type.h"

namespace fuchsiafall {

/// Reads the clock of all hosted processes. It goes on while the machine is
/// suspended, so that the age of what a process believes counts that time too.
time_point BootNow();

using timer_id = uint64_t;

/// Readiness of a socket, as the loop reports it.
struct socket_events {
  bool readable = false;
  bool writable = false;
  bool failed = false;  ///< Error or hang-up.
};

/// Runs the hooks of sockets and timers in one thread.
class event_loop {
 public:
  using socket_hook = std::function<void(time_point, socket_events)>;
  using timer_hook = std::function<void(time_point)>;

  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  /// Watches a socket for reading, and for writing when asked to.
  void Add(int fd, bool wants_write, socket_hook hook);
  void SetWants(int fd, bool wants_read, bool wants_write);
  /// Forgets a socket; to be called before it is closed.
  void Remove(int fd);

  timer_id StartTimer(time_point at, timer_hook hook);
  void CancelTimer(timer_id id);

  /// Queues work from any thread; it runs in the loop's thread.
  void Post(std::function<void()> work);
  /// Runs until Stop() is called.
  void Run();
  void Stop();

 private:
  void RunPosted();
  void RunTimers();
  int TimeoutMs() const;

  int epoll_fd_;
  int wake_fd_;
  /// Hooks are shared so that one may remove itself while it runs.
  std::unordered_map<int, std::shared_ptr<socket_hook>> sockets_;
  std::map<std::pair<time_point, timer_id>, timer_hook> timers_;
  std::unordered_map<timer_id, time_point> timer_times_;
  timer_id next_timer_ = 1;
  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;
  bool is_stopping_ = false;
};

}  // namespace fuchsiafall

#endif  // NETWORK_EVENT_LOOP_H_
