/// @file event_loop.h Event loop over epoll: sockets, timers and work from
/// other threads.
#ifndef NETWORK_EVENT_LOOP_H_
#define NETWORK_EVENT_LOOP_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "time_type.h"

namespace fuchsiafall {

/// Reads the boot-time clock, which all hosted processes use. It advances while
/// the machine is suspended, so that the age of replicated state includes that
/// time.
time_point BootNow();

using timer_id = uint64_t;

/// Readiness of a socket, as the loop reports it.
struct socket_events {
  bool readable = false;
  bool writable = false;
  bool failed = false;  ///< Error or hang-up.
};

/// What a socket is read for.
enum class read_interest {
  kNone,
  kPeerClose,  ///< Only that the peer has closed its side.
  kBytes,
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

  /// Registers a socket for read events and, if wanted, for write events.
  void Add(int fd, bool wants_write, socket_hook hook);
  /// Changes the events that a socket is registered for.
  void SetInterest(int fd, read_interest reads, bool wants_write);
  /// Unregisters a socket. Must be called before it is closed.
  void Remove(int fd);

  timer_id StartTimer(time_point at, timer_hook hook);
  void CancelTimer(timer_id id);

  /// Queues work from any thread; it runs in the loop's thread.
  void Post(std::function<void()> work);
  /// The same, but before the next socket of the same round, for work that
  /// frees memory which further sockets may need.
  void PostBeforeNextSocket(std::function<void()> work);
  /// Runs until Stop() is called. May be called again.
  void Run();
  void Stop();

 private:
  /// Polls once and runs the hooks of the sockets that are ready.
  /// @return Number of sockets reported.
  int RunSockets(int timeout_ms);
  void RunPosted(std::vector<std::function<void()>>* queue);
  void RunTimers();
  /// Whether a timer is so late that the process has paused.
  bool IsLate() const;
  int TimeoutMs() const;

  int epoll_fd_;
  int wake_fd_;
  /// Hooks are shared, so that a hook may remove itself while it runs.
  std::unordered_map<int, std::shared_ptr<socket_hook>> sockets_;
  std::map<std::pair<time_point, timer_id>, timer_hook> timers_;
  std::unordered_map<timer_id, time_point> timer_times_;
  timer_id next_timer_ = 1;
  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;
  std::vector<std::function<void()>> posted_first_;
  std::atomic<bool> has_posted_first_ = false;
  /// Time of the last poll. Only timers that were due by then run, so that a
  /// timeout never expires before bytes that arrived in time are handled.
  time_point polled_at_{};
  bool is_stopping_ = false;
};

}  // namespace fuchsiafall

#endif  // NETWORK_EVENT_LOOP_H_
