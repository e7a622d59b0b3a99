/// @file async_http_call.cc Single HTTP call on an event loop.
#include "network/async_http_call.h"

namespace fuchsiafall {

namespace {

/// Call that is not answered yet.
struct pending_call {
  async_http_call call;
  std::shared_ptr<http_client_connection> connection;
  int status = 0;
  std::string body;
  timer_id timeout = 0;
};

}  // namespace

void StartAsyncHttpCall(time_point now,
                        event_loop* loop,
                        http_client_pool* pool,
                        const async_http_call& call) {
  auto acquired = pool->Acquire(now, call.address);
  if (!acquired) {
    loop->Post([done = call.on_done] { done(BootNow(), 0, ""); });
    return;
  }
  auto open = std::make_shared<pending_call>();
  open->call = call;
  open->connection = *acquired;
  exchange_hooks hooks;
  hooks.on_head = [open](time_point, const Poco::Net::HTTPResponse& head) {
    open->status = head.getStatus();
    if (open->call.on_head)
      open->call.on_head(head);
    return true;
  };
  hooks.on_body = [open](time_point, std::string_view bytes) {
    open->body += bytes;
  };
  hooks.on_end = [loop, open](time_point at, exchange_end end) {
    loop->CancelTimer(open->timeout);
    open->connection.reset();
    open->call.on_done(at, end == exchange_end::kComplete ? open->status : 0,
                       std::move(open->body));
  };
  open->timeout = loop->StartTimer(now + call.timeout, [open](time_point at) {
    auto timed_out = std::move(open->connection);
    open->connection.reset();
    timed_out->Abort();
    if (open->call.on_timeout)
      open->call.on_timeout();
    open->call.on_done(at, 0, "");
  });
  open->connection->Start(call.request, false, std::move(hooks));
}

}  // namespace fuchsiafall
