/// @file async_http_call.cc Single HTTP call on an event loop.
#include "network/async_http_call.h"

#include <algorithm>

namespace fuchsiafall {

namespace {

/// Minimum mean rate of an answer, so that one that trickles in ends.
constexpr double kMinBytesPerSecond = 16384;

/// Call that is not answered yet.
struct pending_call {
  async_http_call call;
  std::shared_ptr<http_client_connection> connection;
  int status = 0;
  std::string body;
  timer_id timeout = 0;
  time_point deadline{};
  bool has_body_begun = false;
  time_point body_begun_at{};
  std::unique_ptr<buffer_share> share;  ///< Of the body; null without budget.
};

void OnProgress(time_point now, pending_call* open) {
  const milliseconds pause = open->call.max_pause;
  if (pause.count() > 0) {
    open->deadline = open->has_body_begun
                         ? now + pause
                         : std::max<time_point>(open->deadline, now + pause);
  }
  if (open->call.on_progress)
    open->call.on_progress(now);
}

/// Limits the deadline of an answer that has begun by its mean rate.
time_point DeadlineOf(const pending_call& open) {
  if (!open.has_body_begun || open.call.max_pause.count() == 0)
    return open.deadline;
  const auto allowed =
      std::chrono::duration_cast<duration>(std::chrono::duration<double>(
          static_cast<double>(open.body.size()) / kMinBytesPerSecond));
  return std::min<time_point>(
      open.deadline, open.body_begun_at + open.call.max_pause + allowed);
}

/// Ends a call before its answer is complete.
void GiveUp(time_point now, const std::shared_ptr<pending_call>& open) {
  auto connection = std::move(open->connection);
  open->connection.reset();
  connection->Abort();
  if (open->call.on_timeout)
    open->call.on_timeout(now, open->body.size());
  open->call.on_done(now, 0, "");
}

/// Makes the body part of the budget of its pool.
void StartShare(event_loop* loop,
                const std::shared_ptr<buffer_budget>& budget,
                const std::shared_ptr<pending_call>& open) {
  open->share = std::make_unique<buffer_share>(
      budget, [loop, weak = std::weak_ptr<pending_call>(open)] {
        loop->PostBeforeNextSocket([loop, weak] {
          auto call = weak.lock();
          if (call == nullptr || call->connection == nullptr)
            return;
          loop->CancelTimer(call->timeout);
          GiveUp(BootNow(), call);
        });
      });
}

void StartTimeout(event_loop* loop, const std::shared_ptr<pending_call>& open) {
  open->timeout =
      loop->StartTimer(DeadlineOf(*open), [loop, open](time_point at) {
        // Progress moves the deadline, but not the timer.
        if (at < DeadlineOf(*open))
          return StartTimeout(loop, open);
        GiveUp(at, open);
      });
}

}  // namespace

void StartAsyncHttpCall(time_point now,
                        event_loop* loop,
                        http_client_pool* pool,
                        const async_http_call& call) {
  auto acquired = call.needs_new_connection ? pool->Open(call.address)
                                            : pool->Acquire(now, call.address);
  if (!acquired) {
    loop->Post([done = call.on_done] { done(BootNow(), 0, ""); });
    return;
  }
  auto open = std::make_shared<pending_call>();
  open->call = call;
  open->connection = *acquired;
  open->deadline = now + call.timeout;
  if (pool->Budget())
    StartShare(loop, pool->Budget(), open);
  exchange_hooks hooks;
  hooks.on_interim = [open](time_point at) { OnProgress(at, open.get()); };
  hooks.on_head = [open](time_point, const Poco::Net::HTTPResponse& head) {
    open->status = head.getStatus();
    if (open->call.on_head)
      open->call.on_head(head);
    return true;
  };
  hooks.on_body = [open](time_point at, std::string_view bytes) {
    if (!open->has_body_begun)
      open->body_begun_at = at;
    open->has_body_begun = true;
    open->body += bytes;
    if (open->share)
      open->share->Set(open->body.capacity());
    OnProgress(at, open.get());
  };
  hooks.on_end = [loop, open](time_point at, exchange_end end) {
    loop->CancelTimer(open->timeout);
    open->connection.reset();
    open->call.on_done(at, end == exchange_end::kComplete ? open->status : 0,
                       std::move(open->body));
  };
  StartTimeout(loop, open);
  open->connection->Start(call.request, false, std::move(hooks));
}

}  // namespace fuchsiafall
