/// @file event_loop.cc Event loop over epoll.
#include "network/event_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <ctime>

namespace fuchsiafall {

namespace {

constexpr int kMaxEvents = 64;    // Of one call of epoll_wait().
constexpr int kMaxPolls = 32;     // In a row, before timers run.
constexpr int kMaxWaitMs = 1000;  // Longest wait for events.
constexpr milliseconds kPauseThreshold{20};

uint32_t MaskOf(read_interest reads, bool wants_write) {
  uint32_t mask = wants_write ? static_cast<uint32_t>(EPOLLOUT) : 0U;
  if (reads == read_interest::kBytes)
    mask |= EPOLLIN;
  if (reads != read_interest::kNone)
    mask |= EPOLLRDHUP;
  return mask;
}

}  // namespace

time_point BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::duration_cast<duration>(
      seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

event_loop::event_loop()
    : epoll_fd_(epoll_create1(EPOLL_CLOEXEC)),
      wake_fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  Add(wake_fd_, false, [this](time_point, socket_events) {
    eventfd_t count = 0;
    eventfd_read(wake_fd_, &count);
  });
}

event_loop::~event_loop() {
  close(wake_fd_);
  close(epoll_fd_);
}

void event_loop::Add(int fd, bool wants_write, socket_hook hook) {
  sockets_[fd] = std::make_shared<socket_hook>(std::move(hook));
  epoll_event event{};
  event.events = MaskOf(read_interest::kBytes, wants_write);
  event.data.fd = fd;
  epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event);
}

void event_loop::SetInterest(int fd, read_interest reads, bool wants_write) {
  epoll_event event{};
  event.events = MaskOf(reads, wants_write);
  event.data.fd = fd;
  epoll_ctl(epoll_fd_, EPOLL_CTL_MOD, fd, &event);
}

void event_loop::Remove(int fd) {
  if (sockets_.erase(fd) > 0)
    epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
}

timer_id event_loop::StartTimer(time_point at, timer_hook hook) {
  const timer_id id = next_timer_++;
  timers_.emplace(std::pair(at, id), std::move(hook));
  timer_times_[id] = at;
  return id;
}

void event_loop::CancelTimer(timer_id id) {
  auto it = timer_times_.find(id);
  if (it == timer_times_.end())
    return;
  timers_.erase({it->second, id});
  timer_times_.erase(it);
}

void event_loop::Post(std::function<void()> work) {
  {
    std::lock_guard lock(mutex_);
    posted_.push_back(std::move(work));
  }
  eventfd_write(wake_fd_, 1);
}

void event_loop::PostBeforeNextSocket(std::function<void()> work) {
  {
    std::lock_guard lock(mutex_);
    posted_first_.push_back(std::move(work));
    has_posted_first_ = true;
  }
  eventfd_write(wake_fd_, 1);
}

void event_loop::Stop() {
  Post([this] { is_stopping_ = true; });
}

void event_loop::Run() {
  is_stopping_ = false;
  while (!is_stopping_) {
    int count = RunSockets(TimeoutMs());
    // One poll reports a part of many ready sockets, and bytes may have arrived
    // between a poll and the end of a pause.
    bool polls_again = count == kMaxEvents || IsLate();
    for (int polls = 1; polls < kMaxPolls && polls_again; ++polls) {
      count = RunSockets(0);
      polls_again = count == kMaxEvents;
    }
    RunPosted(&posted_first_);
    RunPosted(&posted_);
    RunTimers();
  }
}

int event_loop::RunSockets(int timeout_ms) {
  std::array<epoll_event, kMaxEvents> events{};
  const int count =
      epoll_wait(epoll_fd_, events.data(), kMaxEvents, timeout_ms);
  polled_at_ = BootNow();
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events[static_cast<size_t>(i)];
    auto it = sockets_.find(event.data.fd);
    if (it == sockets_.end())
      continue;  // Removed by an earlier hook of the same round.
    auto hook = it->second;
    (*hook)(polled_at_,
            {.readable = (event.events & (EPOLLIN | EPOLLRDHUP)) != 0,
             .writable = (event.events & EPOLLOUT) != 0,
             .failed = (event.events & (EPOLLERR | EPOLLHUP)) != 0});
    if (has_posted_first_)
      RunPosted(&posted_first_);
  }
  return count;
}

void event_loop::RunPosted(std::vector<std::function<void()>>* queue) {
  std::vector<std::function<void()>> work_items;
  {
    std::lock_guard lock(mutex_);
    work_items.swap(*queue);
    has_posted_first_ = !posted_first_.empty();
  }
  for (auto& work : work_items)
    work();
}

bool event_loop::IsLate() const {
  return !timers_.empty() &&
         polled_at_ - timers_.begin()->first.first > kPauseThreshold;
}

void event_loop::RunTimers() {
  const time_point now = polled_at_;
  while (!timers_.empty() && timers_.begin()->first.first <= now) {
    auto node = timers_.extract(timers_.begin());
    timer_times_.erase(node.key().second);
    node.mapped()(now);
  }
}

int event_loop::TimeoutMs() const {
  if (timers_.empty())
    return kMaxWaitMs;
  auto wait =
      std::chrono::ceil<milliseconds>(timers_.begin()->first.first - BootNow());
  return static_cast<int>(std::clamp<int64_t>(wait.count(), 0, kMaxWaitMs));
}

}  // namespace fuchsiafall
