/// @file hosted_entry.cc Requests, attempts and the life of a hosted entry.
#include "hosted_entry_base.h"

#include <iostream>

#include "hash_func.h"
#include "place_message_func.h"
#include "platform/headers.h"

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

}  // namespace

hosted_entry::hosted_entry(const site_settings& settings)
    : process_(
          settings,
          [this](time_point now) { OnView(now); },
          [this](time_point now) { ShutDown(now); }),
      dispatch_(OptionsOf(settings, process_.OwnIncarnation().value),
                DispatchHooks()),
      callers_(&process_.Loop(), {.budget = process_.Budget()}, CallerHooks()),
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
      links_(&process_.Loop(),
             [this](time_point now,
                    const std::string& from,
                    const proto::envelope& message) {
               OnMessage(now, from, message);
             }) {}

exit_code hosted_entry::Run() {
  const site_settings& settings = process_.Settings();
  for (const outcome<done>& listening :
       {process_.Start(), callers_.Listen(settings.callers_address),
        readiness_.Listen(settings.readiness_address),
        links_.Bind(settings.ip + ":" + std::to_string(settings.first_port))}) {
    if (!listening) {
      std::cerr << "fuchsiafall: " << listening.LastReason() << "\n";
      return exit_code::kFailed;
    }
  }
  RunHousekeeping(BootNow());
  process_.Run();
  return exit_code::kOk;
}

std::set<std::string> hosted_entry::OtherEntries() const {
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

void hosted_entry::OnView(time_point now) {
  if (process_.Index() != nullptr) {
    dispatch_.SetIndex(process_.Index());
    entries_ = OtherEntries();
    dispatch_.SetPeers(now, {entries_.begin(), entries_.end()});
    callers_.SetLimits(process_.Index()->View().configuration.limits);
  }
  dispatch_.SetConfirmedAt(process_.ConfirmedAt());
}

bool hosted_entry::IsReady() const {
  return process_.Index() != nullptr && !shutdown_ &&
         process_.Index()->View().configuration.version > 0;
}

void hosted_entry::OnRequest(
    time_point now,
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

void hosted_entry::StartAttempt(uint64_t call,
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
  hooks.on_body = [this, call, attempt](time_point at, std::string_view bytes) {
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

void hosted_entry::OnMessage(time_point now,
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

void hosted_entry::RemoveCall(uint64_t call) {
  auto it = calls_.find(call);
  if (it == calls_.end())
    return;
  by_caller_.erase(it->second.caller.get());
  calls_.erase(it);
}

void hosted_entry::Schedule() {
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

void hosted_entry::ShutDown(time_point now) {
  if (shutdown_)
    return;
  shutdown_at_ = now;
  shutdown_.emplace(shutdown_plan_options{.started_at = now,
                                          .grace = process_.Settings().grace});
  dispatch_.SetExitTime(shutdown_->CallsEndAt(), shutdown_->RemovedAt());
  // Callers that have a connection know nothing of the stop, and a request
  // may cross the closing of an idle one.
  callers_.CloseAfterAnswers();
  process_.Loop().StartTimer(shutdown_->RemovedAt(),
                             [this](time_point) { callers_.CloseWhenIdle(); });
  process_.Loop().StartTimer(shutdown_->CallsEndAt(),
                             [this](time_point at) { dispatch_.EndCalls(at); });
}

void hosted_entry::RunHousekeeping(time_point now) {
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

bool hosted_entry::AdvanceShutdown(time_point now) {
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

shutdown_state hosted_entry::ShutdownState() const {
  return {.open_calls = dispatch_.OpenCallCount(),
          .open_connections = callers_.OpenCount(),
          .is_busy = !callers_.IsIdle() || callers_.UnreadCount() > 0,
          .is_listening = callers_.IsListening()};
}

void hosted_entry::ReportExit(time_point now) {
  const size_t unread = callers_.UnreadCount();
  if (dispatch_.OpenCallCount() == 0 && unread == 0)
    return;
  LogEvent(log_event::kInputDropped,
           "why=exit calls=" + std::to_string(dispatch_.OpenCallCount()) +
               " unread=" + std::to_string(unread) +
               " after_ms=" + std::to_string(ToMs(now - shutdown_at_)));
}

exit_code RunHostedEntry(const site_settings& settings) {
  return hosted_entry(settings).Run();
}

}  // namespace fuchsiafall
