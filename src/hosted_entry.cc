/// @file hosted_entry.cc Entry that runs on a hosting platform: call dispatch
/// with its sockets and timers.
#include <Poco/Net/SocketAddress.h>

#include <iostream>

#include "call_dispatch_base.h"
#include "envelope_func.h"
#include "hash_func.h"
#include "hosted_process.h"
#include "network/datagram_link.h"
#include "place_message_func.h"
#include "platform/headers.h"
#include "shutdown_plan_base.h"

namespace fuchsiafall {

namespace {

/// Interval of the checks for expired timeouts and idle connections.
constexpr milliseconds kHousekeepingInterval{250};
/// That interval during a shutdown, which ends with the last connection.
constexpr milliseconds kShutdownInterval{50};
/// Time without acknowledgement after which a connection to a server is closed.
/// A round trip to the farthest server takes a few milliseconds.
constexpr milliseconds kUserTimeout{1500};
constexpr uint64_t kMaxAnswerBytes = 16U << 20;  // Of a server.
/// Share of the extra retries per window that is used. Retries that were saved
/// up before a window and earned again within it can nearly double the
/// spending.
constexpr double kExtraShare = 0.5;

call_dispatch_options OptionsOf(const site_settings& from, uint64_t seed) {
  call_dispatch_options options;
  options.selector = {.domain = from.domain,
                      .region = from.region,
                      .regions = from.regions,
                      .weights_bound = from.weights_bound,
                      .seed = seed};
  options.config_bound = from.config_bound;
  options.revoke_bound = from.revoke_bound;
  options.budget = {.ratio = from.retry_ratio / 2,
                    .extra = from.retry_extra * kExtraShare,
                    .window = from.retry_window};
  options.crashes.exchange.self = vm_id(from.node);
  options.crashes.exchange.own_incarnation = incarnation(seed);
  options.crashes.exchange.seed = seed;
  options.seed = seed;
  return options;
}

/// Connects the call dispatch to its sockets. All methods run in the traffic
/// loop.
class hosted_entry {
 public:
  explicit hosted_entry(const site_settings& settings)
      : process_(
            settings,
            [this](time_point now) { OnView(now); },
            [this](time_point now) { ShutDown(now); }),
        dispatch_(OptionsOf(settings, process_.OwnIncarnation().value),
                  DispatchHooks()),
        callers_(&process_.Loop(),
                 {.budget = process_.Budget()},
                 CallerHooks()),
        readiness_(&process_.Loop(),
                   {.budget = process_.Budget()},
                   ReadinessHooks()),
        servers_(&process_.Loop(),
                 {.connection = {.user_timeout = kUserTimeout,
                                 .budget = process_.Budget()},
                  .limits = {.answer_bytes = kMaxAnswerBytes},
                  .on_idle_lost =
                      [this](time_point now, const std::string& address) {
                        dispatch_.OnConnectionLost(now, address);
                      }}),
        agents_(&process_.Loop(),
                [this](time_point now,
                       const std::string& from,
                       const proto::envelope& message) {
                  OnMessage(now, from, message);
                }) {}

  exit_code Run() {
    const site_settings& settings = process_.Settings();
    for (const outcome<done>& listening :
         {process_.Start(), callers_.Listen(settings.callers_address),
          readiness_.Listen(settings.readiness_address),
          agents_.Bind(settings.ip + ":" +
                       std::to_string(settings.first_port))}) {
      if (!listening) {
        std::cerr << "fuchsiafall: " << listening.LastReason() << "\n";
        return exit_code::kFailed;
      }
    }
    RunHousekeeping(BootNow());
    process_.Run();
    return exit_code::kOk;
  }

 private:
  /// Connections and data of a request that has not been answered yet.
  struct open_call {
    std::shared_ptr<http_server_connection> caller;
    http_request request;
    std::shared_ptr<http_client_connection> exchange;
    /// Ids of the connections that have carried the request. A repeated answer
    /// to an earlier attempt has the same request id.
    std::set<uint64_t> used_connections;
    Poco::Net::HTTPResponse answer_head;
    std::unique_ptr<buffer_share> answer_share;  ///< Of the current attempt.
  };

  http_listener_hooks CallerHooks() {
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
      dispatch_.OnRequestOverBudget(now, it->second);
      Schedule();
    };
    hooks.on_refused = [this](time_point, int status,
                              const std::string& reason) {
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

  http_listener_hooks ReadinessHooks() {
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

  call_dispatch_hooks DispatchHooks() {
    call_dispatch_hooks hooks;
    hooks.request_place = [this](const site_server& server,
                                 const place_request& request) {
      proto::envelope message = MakeEnvelope(vm_id(process_.Settings().node),
                                             process_.OwnIncarnation());
      WritePlaceRequest(request, message.mutable_place_question());
      agents_.Send(AgentAddressOf(server), message);
    };
    hooks.release_place = [this](const site_server& server,
                                 uint64_t place_request_id,
                                 attempt_result result) {
      proto::envelope message = MakeEnvelope(vm_id(process_.Settings().node),
                                             process_.OwnIncarnation());
      WritePlaceRelease(place_request_id, result,
                        message.mutable_place_return());
      agents_.Send(AgentAddressOf(server), message);
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
      caller->Answer(BootNow(), head,
                     std::string(TextOf(answer.reason)) + "\n");
    };
    hooks.abort_stream = [this](uint64_t call) {
      auto caller = calls_.at(call).caller;
      RemoveCall(call);
      caller->Abort();
    };
    hooks.event_id = platform::ParseEventId;
    hooks.send_crash_note = [this](const std::string& address,
                                   const proto::envelope& message) {
      agents_.Send(address, message);
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
    hooks.record_duration = [this](const std::string& name, duration span) {
      process_.Metrics().RecordDuration(name, span);
    };
    return hooks;
  }

  /// Returns the address of a server's agent, which listens at the server's IP
  /// address on the first port of the processes' links.
  std::string AgentAddressOf(const site_server& server) const {
    return server.address.substr(0, server.address.rfind(':') + 1) +
           std::to_string(process_.Settings().first_port);
  }

  /// Returns the addresses of the other entries, which listen on the first
  /// port as agents do.
  std::set<std::string> OtherEntries() const {
    std::set<std::string> entries;
    const std::string& ip = process_.Settings().ip;
    for (const std::string& relay : process_.Index()->View().entry_relays) {
      const std::string entry_ip = relay.substr(0, relay.rfind(':'));
      if (!entry_ip.empty() && entry_ip != ip) {
        entries.insert(entry_ip + ":" +
                       std::to_string(process_.Settings().first_port));
      }
    }
    return entries;
  }

  void OnView(time_point now) {
    if (process_.Index() != nullptr) {
      dispatch_.SetIndex(process_.Index());
      entries_ = OtherEntries();
      dispatch_.SetPeers(now, {entries_.begin(), entries_.end()});
      callers_.SetLimits(process_.Index()->View().configuration.limits);
    }
    dispatch_.SetConfirmedAt(process_.ConfirmedAt());
  }

  bool IsReady() const {
    return process_.Index() != nullptr && !shutdown_ &&
           process_.Index()->View().configuration.version > 0;
  }

  void OnRequest(time_point now,
                 const std::shared_ptr<http_server_connection>& caller,
                 http_request&& request) {
    const uint64_t id = next_call_++;
    open_call& item = calls_[id];
    item.caller = caller;
    item.request = std::move(request);
    by_caller_[caller.get()] = id;
    caller_call call = platform::DecodeCall(item.request.head);
    const std::string target = item.request.head.getURI();
    call.traits.request =
        fingerprint(Hash64(item.request.body, Hash64(call.key + " " + target)));
    dispatch_.OnRequest(now, id, call, target, item.request.first_byte_at);
    Schedule();
  }

  void StartAttempt(uint64_t call,
                    uint32_t attempt,
                    const site_server& server,
                    const attempt_headers& headers) {
    open_call& item = calls_.at(call);
    const time_point now = BootNow();
    auto connection =
        servers_.Acquire(now, server.address, item.used_connections);
    if (!connection) {
      process_.Loop().Post([this, call, attempt] {
        dispatch_.OnExchangeEnd(BootNow(), call, attempt,
                                exchange_end::kNotConnected);
        Schedule();
      });
      return;
    }
    item.exchange = *connection;
    item.answer_share = MakeAnswerShare(call, attempt);
    item.used_connections.insert(item.exchange->Id());
    auto head = platform::EncodeAttempt(item.request.head, headers);
    const bool is_head = head.getMethod() == "HEAD";
    if (!item.request.body.empty() || head.getMethod() == "POST")
      head.set("Content-Length", std::to_string(item.request.body.size()));
    exchange_hooks hooks;
    const bool is_reused = item.exchange->HasCarriedExchange();
    hooks.on_head = [this, call, attempt, is_reused, is_head](
                        time_point at, const Poco::Net::HTTPResponse& answer) {
      auto it = calls_.find(call);
      if (it == calls_.end())
        return false;
      Poco::Net::HTTPResponse previous = it->second.answer_head;
      it->second.answer_head = answer;
      const bool is_stream =
          !is_head && answer.getContentType().starts_with("text/event-stream");
      server_answer decoded = platform::DecodeAnswer(answer);
      decoded.may_be_repeated = is_reused;
      if (dispatch_.OnAnswerHead(at, call, attempt, decoded, is_stream)) {
        return true;
      }
      if (it = calls_.find(call); it != calls_.end())
        it->second.answer_head = previous;
      return false;
    };
    hooks.on_body = [this, call, attempt](time_point at,
                                          std::string_view bytes) {
      dispatch_.OnAnswerBody(at, call, attempt, bytes);
      if (auto it = calls_.find(call); it != calls_.end())
        it->second.answer_share->Set(dispatch_.HeldAnswerBytes(call));
    };
    hooks.on_end = [this, call, attempt](time_point at, exchange_end end) {
      auto it = calls_.find(call);
      if (it != calls_.end())
        it->second.exchange.reset();
      dispatch_.OnExchangeEnd(at, call, attempt, end);
      Schedule();
    };
    item.exchange->Start(WriteHead(head) + item.request.body, is_head,
                         std::move(hooks));
  }

  std::unique_ptr<buffer_share> MakeAnswerShare(uint64_t call,
                                                uint32_t attempt) {
    return std::make_unique<buffer_share>(
        process_.Budget(), [this, call, attempt] {
          process_.Loop().PostBeforeNextSocket([this, call, attempt] {
            dispatch_.OnAnswerOverBudget(BootNow(), call, attempt);
            Schedule();
          });
        });
  }

  void OnMessage(time_point now,
                 const std::string& from,
                 const proto::envelope& message) {
    if (entries_.contains(from))
      return dispatch_.OnCrashNote(now, from, message);
    for (const auto& item : message.crash_note().quarantined())
      dispatch_.OnQuarantined(now, fingerprint(item.trait()));
    if (!message.has_place_answer())
      return;
    dispatch_.OnPlaceReply(now, message.place_answer().call(),
                           ReadPlaceReply(message.place_answer()));
    Schedule();
  }

  void RemoveCall(uint64_t call) {
    auto it = calls_.find(call);
    if (it == calls_.end())
      return;
    by_caller_.erase(it->second.caller.get());
    calls_.erase(it);
  }

  /// Sets the timer for the next action of the dispatch that is due.
  void Schedule() {
    const auto next = dispatch_.NextDue();
    if (!next || (due_timer_ != 0 && due_at_ <= *next))
      return;
    if (due_timer_ != 0)
      process_.Loop().CancelTimer(due_timer_);
    due_at_ = *next;
    due_timer_ = process_.Loop().StartTimer(*next, [this](time_point now) {
      due_timer_ = 0;
      dispatch_.RunDue(now);
      Schedule();
    });
  }

  void ShutDown(time_point now) {
    if (shutdown_)
      return;
    shutdown_at_ = now;
    shutdown_.emplace(shutdown_plan_options{
        .started_at = now, .grace = process_.Settings().grace});
    dispatch_.SetExitTime(shutdown_->CallsEndAt(), shutdown_->RemovedAt());
    // Callers that have a connection know nothing of the stop, and a request
    // may cross the closing of an idle one.
    callers_.CloseAfterAnswers();
    process_.Loop().StartTimer(shutdown_->RemovedAt(), [this](time_point) {
      callers_.CloseWhenIdle();
    });
    process_.Loop().StartTimer(shutdown_->CallsEndAt(), [this](time_point at) {
      dispatch_.EndCalls(at);
    });
  }

  void RunHousekeeping(time_point now) {
    callers_.EnforceTimeouts(now);
    readiness_.EnforceTimeouts(now);
    servers_.CloseIdle(now);
    dispatch_.RunCrashMonitor(now);
    process_.Metrics().SetGauge("connections_opened",
                                static_cast<int64_t>(servers_.OpenedCount()));
    if (shutdown_ && AdvanceShutdown(now))
      return;
    process_.Loop().StartTimer(
        now + (shutdown_ ? kShutdownInterval : kHousekeepingInterval),
        [this](time_point at) { RunHousekeeping(at); });
  }

  /// Takes the next steps of the shutdown.
  /// @return Whether the process exits.
  bool AdvanceShutdown(time_point now) {
    shutdown_step step = shutdown_->Next(now, ShutdownState());
    if (step == shutdown_step::kStopListening) {
      callers_.StopListening(now);
      step = shutdown_->Next(now, ShutdownState());
    }
    if (step != shutdown_step::kExit)
      return false;
    ReportExit(now);
    process_.Finish();
    return true;
  }

  shutdown_state ShutdownState() const {
    return {.open_calls = dispatch_.OpenCallCount(),
            .open_connections = callers_.OpenCount(),
            .is_busy = !callers_.IsIdle() || callers_.UnreadCount() > 0,
            .is_listening = callers_.IsListening()};
  }

  /// Logs what the exit of the process cuts off.
  void ReportExit(time_point now) {
    const size_t unread = callers_.UnreadCount();
    if (dispatch_.OpenCallCount() == 0 && unread == 0)
      return;
    LogEvent(log_event::kInputDropped,
             "why=exit calls=" + std::to_string(dispatch_.OpenCallCount()) +
                 " unread=" + std::to_string(unread) +
                 " after_ms=" + std::to_string(ToMs(now - shutdown_at_)));
  }

  hosted_process process_;
  call_dispatch dispatch_;
  http_listener callers_;
  http_listener readiness_;
  http_client_pool servers_;
  datagram_link agents_;           ///< Also to the other entries.
  std::set<std::string> entries_;  ///< Addresses of the other entries.
  std::map<uint64_t, open_call> calls_;
  std::map<http_server_connection*, uint64_t> by_caller_;
  uint64_t next_call_ = 1;
  timer_id due_timer_ = 0;
  time_point due_at_{};
  time_point shutdown_at_{};
  std::optional<shutdown_plan> shutdown_;
};

}  // namespace

exit_code RunHostedEntry(const site_settings& settings) {
  return hosted_entry(settings).Run();
}

}  // namespace fuchsiafall
