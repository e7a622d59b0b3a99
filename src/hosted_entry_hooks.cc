/// @file hosted_entry_hooks.cc How a hosted entry's listeners and its dispatch
/// are connected to its sockets.
#include "envelope_func.h"
#include "hosted_entry_base.h"
#include "place_message_func.h"
#include "platform/headers.h"

namespace fuchsiafall {

http_listener_hooks hosted_entry::CallerHooks() {
  http_listener_hooks hooks;
  hooks.on_request = [this](time_point now, const auto& caller,
                            http_request&& request) {
    OnRequest(now, caller, std::move(request));
  };
  hooks.on_disconnected = [this](time_point now,
                                 http_server_connection* caller) {
    auto it = by_caller_.find(caller);
    if (it == by_caller_.end())
      return;
    const uint64_t call = it->second;
    dispatch_.OnCallerDisconnected(now, call);
    RemoveCall(call);
    Schedule();
  };
  hooks.on_over_budget = [this](time_point now,
                                http_server_connection* caller) {
    auto it = by_caller_.find(caller);
    if (it == by_caller_.end())
      return;
    const uint64_t call = it->second;
    // Its server has the body; only a repeat would need it again.
    if (dispatch_.OnRequestOverBudget(now, call))
      std::string().swap(calls_.at(call).request.body);
    Schedule();
  };
  hooks.on_refused = [this](time_point, int status, const std::string& reason) {
    process_.Metrics().Count("requests_malformed");
    LogEvent(log_event::kCallRefused,
             "status=" + std::to_string(status) + " why=\"" + reason + "\"");
  };
  hooks.on_close = [this](time_point, listener_close why, bool has_input) {
    const std::string text(TextOf(why));
    process_.Metrics().Count("connections_closed " + text);
    if (!has_input)
      return;
    process_.Metrics().Count("connections_closed_unread");
    LogEvent(log_event::kInputDropped, "why=\"" + text + "\"");
  };
  return hooks;
}

http_listener_hooks hosted_entry::ReadinessHooks() {
  http_listener_hooks hooks;
  hooks.on_request = [this](time_point now, const auto& caller,
                            http_request&& request) {
    if (request.head.getURI() == "/metrics") {
      caller->Answer(now, MakeAnswerHead(200), process_.Metrics().Describe());
      return;
    }
    const bool is_ready = IsReady();
    caller->Answer(now, MakeAnswerHead(is_ready ? 200 : 503),
                   is_ready ? "ready\n" : "not ready\n");
  };
  hooks.on_disconnected = [](time_point, http_server_connection*) {};
  return hooks;
}

call_dispatch_hooks hosted_entry::DispatchHooks() {
  call_dispatch_hooks hooks;
  hooks.request_place = [this](const site_server& server,
                               const place_request& request) {
    proto::envelope message = MakeEnvelope(vm_id(process_.Settings().node),
                                           process_.OwnIncarnation());
    WritePlaceRequest(request, message.mutable_place_question());
    links_.Send(AgentAddressOf(server), message);
  };
  hooks.release_place = [this](const site_server& server,
                               uint64_t place_request_id,
                               attempt_result result) {
    proto::envelope message = MakeEnvelope(vm_id(process_.Settings().node),
                                           process_.OwnIncarnation());
    WritePlaceRelease(place_request_id, result, message.mutable_place_return());
    links_.Send(AgentAddressOf(server), message);
  };
  hooks.start_attempt = [this](uint64_t call, uint32_t attempt,
                               const site_server& server,
                               const attempt_headers& headers) {
    StartAttempt(call, attempt, server, headers);
  };
  hooks.abort_attempt = [this](uint64_t call) {
    auto it = calls_.find(call);
    if (it == calls_.end() || it->second.exchange == nullptr)
      return;
    auto exchange = std::move(it->second.exchange);
    it->second.exchange.reset();
    exchange->Abort();
  };
  hooks.begin_stream = [this](uint64_t call) {
    open_call& item = calls_.at(call);
    Poco::Net::HTTPResponse head = item.answer_head;
    RemoveConnectionHeaders(&head);
    item.caller->BeginChunks(head);
  };
  hooks.send_events = [this](uint64_t call, std::string_view events) {
    calls_.at(call).caller->SendChunk(events);
  };
  hooks.end_stream = [this](uint64_t call) {
    auto caller = calls_.at(call).caller;
    RemoveCall(call);
    caller->EndChunks(BootNow());
  };
  hooks.answer = [this](uint64_t call, std::string_view body) {
    open_call& item = calls_.at(call);
    Poco::Net::HTTPResponse head = item.answer_head;
    RemoveConnectionHeaders(&head);
    auto caller = item.caller;
    RemoveCall(call);
    caller->Answer(BootNow(), head, body);
  };
  hooks.send_refusal = [this](uint64_t call, const refusal_answer& answer) {
    auto head = MakeAnswerHead(answer.status);
    if (answer.retry_after)
      platform::SetRetryAfter(&head, *answer.retry_after);
    auto caller = calls_.at(call).caller;
    RemoveCall(call);
    caller->Answer(BootNow(), head, std::string(TextOf(answer.reason)) + "\n");
  };
  hooks.abort_stream = [this](uint64_t call) {
    auto caller = calls_.at(call).caller;
    RemoveCall(call);
    caller->Abort();
  };
  hooks.send_crash_note = [this](const std::string& address,
                                 const proto::envelope& message) {
    links_.Send(address, message);
  };
  hooks.is_connected = [this](const std::string& address) {
    return servers_.IsConnected(address);
  };
  hooks.log = [](log_event event, const std::string& detail) {
    LogEvent(event, detail);
  };
  hooks.count = [this](const std::string& name) {
    process_.Metrics().Count(name);
  };
  hooks.set_gauge = [this](const std::string& name, int64_t value) {
    process_.Metrics().SetGauge(name, value);
  };
  hooks.record_duration = [this](const std::string& name, duration span) {
    process_.Metrics().RecordDuration(name, span);
  };
  return hooks;
}

std::string hosted_entry::AgentAddressOf(const site_server& server) const {
  return server.address.substr(0, server.address.rfind(':') + 1) +
         std::to_string(process_.Settings().first_port);
}

std::unique_ptr<buffer_share> hosted_entry::MakeAnswerShare(uint64_t call,
                                                            uint32_t attempt) {
  return std::make_unique<buffer_share>(
      process_.Budget(), [this, call, attempt] {
        process_.Loop().PostBeforeNextSocket([this, call, attempt] {
          dispatch_.OnAnswerOverBudget(BootNow(), call, attempt);
          Schedule();
        });
      });
}

}  // namespace fuchsiafall
