/// @file site_watch.cc Control thread of a hosted process: reads the store and
/// relays its items.
#include "site_watch.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include "log_event_func.h"
#include "network/compression.h"
#include "platform/documents.h"

namespace fuchsiafall {

namespace {

/// Maximum time between runs, to remove expired items from the mirror.
constexpr milliseconds kMirrorInterval{500};
/// Interval of the checks for waiting readers whose wait is over.
constexpr milliseconds kWaiterInterval{100};
/// Time without a run of the loop, which has a timer each kWaiterInterval,
/// after which the process was paused.
constexpr milliseconds kMinPause{500};
/// Round trip to a relay of this failure domain and its processing time, in
/// addition to the wait of the call.
constexpr milliseconds kRelayTimeout{400};
constexpr milliseconds kRegisterTimeout{1000};
/// Time for the watch to report a change of the registrations.
constexpr milliseconds kRegisterPause{2000};
/// Confirmed ages in shared answers are rounded up to this, so that readers at
/// about the same time share one.
using age_step = std::chrono::duration<int64_t, std::ratio<1, 20>>;
constexpr size_t kMaxMirrorBytes = 64U << 20;
constexpr size_t kMaxWaiters = 512;
/// Status of a relay that cannot read the store.
constexpr int kNoStoreAccess = 503;
constexpr std::string_view kRegisteredPrefix = "relays/";

std::string RelayRequest(const store_call& call, const std::string& address) {
  return "GET /mirror?after=" + std::to_string(call.after_revision) +
         "&wait=" + std::to_string(call.wait.count()) +
         " HTTP/1.1\r\nHost: " + address + "\r\n\r\n";
}

store_answer ReadRelayAnswer(int status, const std::string& body) {
  store_answer answer;
  if (status == kNoStoreAccess)
    answer.status = store_answer::status_type::kRefused;
  if (status != 200)
    return answer;
  auto bytes = Inflate(body, kMaxMirrorBytes);
  proto::mirror_answer message;
  if (!bytes || !message.ParseFromString(*bytes))
    return answer;
  answer.status = message.history_gone()
                      ? store_answer::status_type::kHistoryCompacted
                      : store_answer::status_type::kOk;
  answer.revision = message.revision();
  answer.confirmed_age = milliseconds(message.sound_age_ms());
  answer.held = milliseconds(message.held_ms());
  for (const proto::mirror_item& item : message.items()) {
    std::optional<milliseconds> max_age;
    if (item.changed_after_ms() > 0)
      max_age =
          milliseconds(message.confirmed_at_ms() - item.changed_after_ms());
    answer.items.push_back({.key = item.key(),
                            .value = item.value(),
                            .revision = item.revision(),
                            .is_deleted = item.is_deleted(),
                            .max_age = max_age,
                            .replaced_revision = item.replaced_revision()});
  }
  return answer;
}

}  // namespace

site_watch::site_watch(site_watch_options options)
    : options_(std::move(options)),
      pool_(&loop_, {}),
      mirror_(options_.mirror),
      source_({.node = options_.node,
               .store_address = options_.store_address,
               .max_confirmed_age = options_.max_relay_age}),
      listener_(&loop_, {}, RelayHooks()) {}

site_watch::~site_watch() {
  Stop();
}

outcome<done> site_watch::Start() {
  if (!options_.relay_address.empty()) {
    auto listening = listener_.Listen(options_.relay_address);
    if (!listening)
      return listening;
  }
  thread_ = std::thread([this] {
    ReadRelays(BootNow());
    AnswerDueWaiters(BootNow());
    loop_.Run();
  });
  return done{};
}

void site_watch::Stop() {
  if (!thread_.joinable())
    return;
  loop_.Stop();
  thread_.join();
}

void site_watch::RunDue(time_point now) {
  if (run_timer_ != 0)
    loop_.CancelTimer(run_timer_);
  if (mirror_.RunDue(now))
    Publish(now);
  pool_.CloseIdle(now);
  const std::string address = source_.Choose(now);
  time_point next = now + kMirrorInterval;
  if (address.empty()) {
    next = now + kWaiterInterval;  // A relay may be asked again soon.
  } else if (auto call = mirror_.NextCall(now, source_.IsRelay(address))) {
    CallMirror(now, address, *call);
  }
  if (mirror_.NextCallAt() > now)
    next = std::min(next, mirror_.NextCallAt());
  run_timer_ = loop_.StartTimer(next, [this](time_point at) {
    run_timer_ = 0;
    RunDue(at);
  });
}

void site_watch::ReadRelays(time_point now) {
  options_.count("store_relay_listings");
  CallStore(now,
            {.prefix = std::string(kRegisteredPrefix), .may_be_stale = true},
            [this](time_point at, int status, const store_answer& answer) {
              // Without an answer, continue as if no relay were registered.
              std::map<std::string, store_item> items;
              for (const store_item& item : answer.items)
                items[item.key] = item;
              if (UpdateRelays(items) > 0)
                source_.BeginStartup(at);
              LogEvent(log_event::kRelaysRead,
                       "status=" + std::to_string(status) +
                           " relays=" + std::to_string(items.size()));
              loop_.Post([this] { RunDue(BootNow()); });
            });
}

void site_watch::CallMirror(time_point now,
                            const std::string& address,
                            const store_call& call) {
  if (source_.IsRelay(address))
    return CallRelay(now, address, call);
  options_.count(call.kind == store_call::kind_type::kList ? "store_listings"
                                                           : "store_watches");
  CallStore(now, call, [this, call](time_point at, int, store_answer answer) {
    // Without changes, the store answers a watch only after its whole wait.
    if (answer.items.empty())
      answer.held = call.wait;
    if (answer.status == store_answer::status_type::kOk) {
      RemoveLostRelay(at);
    } else if (answer.status != store_answer::status_type::kHistoryCompacted) {
      source_.OnStoreFailed(at);
    }
    OnAnswer(at, answer);
  });
}

void site_watch::CallRelay(time_point now,
                           const std::string& address,
                           const store_call& call) {
  options_.count("relay_calls");
  Call(now, address, RelayRequest(call, address), call.wait + kRelayTimeout,
       [this, address](time_point at, int status, const std::string& body) {
         store_answer answer = ReadRelayAnswer(status, body);
         const bool has_no_answer =
             answer.status == store_answer::status_type::kNoAnswer;
         const bool is_cut_off =
             answer.status == store_answer::status_type::kRefused;
         if (has_no_answer || is_cut_off ||
             source_.IsTooOld(answer.confirmed_age)) {
           options_.count(has_no_answer ? "relay_failed"
                          : is_cut_off  ? "relay_cut_off"
                                        : "relay_too_old");
           source_.OnRelayFailed(at, address, !has_no_answer);
         } else {
           source_.OnRelayAnswered(address);
         }
         if (!has_no_answer && !is_cut_off)
           return OnAnswer(at, answer);
         mirror_.CancelCall(at);
         loop_.Post([this] { RunDue(BootNow()); });
       });
}

void site_watch::CallStore(time_point now,
                           const store_call& call,
                           const store_hook& done) {
  const auto written = platform::EncodeStoreCall(call, options_.store_address);
  Call(now, options_.store_address, written.bytes, written.timeout,
       [kind = call.kind, done](time_point at, int status,
                                const std::string& body) {
         store_answer answer;
         if (status != 0)
           answer = platform::DecodeStoreAnswer(kind, status, body);
         done(at, status, std::move(answer));
       });
}

void site_watch::Call(time_point now,
                      const std::string& address,
                      const std::string& request,
                      milliseconds timeout,
                      const call_hook& done) {
  StartAsyncHttpCall(
      now, &loop_, &pool_,
      {.address = address,
       .request = request,
       .timeout = timeout,
       .on_done = done,
       .on_timeout = [this] { options_.count("control_calls_silent"); }});
}

void site_watch::CheckPause(time_point now) {
  if (ran_at_ && now - *ran_at_ > kMinPause) {
    options_.count("pauses");
    mirror_.OnPause(now);
  }
  ran_at_ = now;
}

void site_watch::OnAnswer(time_point now, const store_answer& answer) {
  CheckPause(now);
  const bool has_changes = mirror_.OnAnswer(now, answer);
  if (mirror_.IsReachable() != was_reachable_) {
    was_reachable_ = mirror_.IsReachable();
    if (!was_reachable_)
      RefuseWaiters(now);
    LogEvent(was_reachable_ ? log_event::kStoreReachable
                            : log_event::kStoreUnreachable,
             options_.store_address +
                 " revision=" + std::to_string(mirror_.Revision()));
  }
  if (answer.status == store_answer::status_type::kRefused)
    options_.count("store_refused");
  if (answer.status == store_answer::status_type::kHistoryCompacted)
    options_.count("store_history_gone");
  if (mirror_.IsLoaded()) {
    if (has_changes) {
      Publish(now);
    } else if (answer.status == store_answer::status_type::kOk) {
      options_.on_change(nullptr, mirror_.ConfirmedAt());
    }
    Register(now);
  }
  // This runs in a hook of a connection that the next call may reuse.
  loop_.Post([this] { RunDue(BootNow()); });
}

void site_watch::Publish(time_point now) {
  std::vector<std::string> problems;
  auto view = std::make_shared<site_view>(
      platform::BuildView(now, mirror_, *view_, &problems));
  for (const std::string& problem : problems)
    LogEvent(log_event::kStoreItemUnreadable, problem);
  if (view->configuration.version != view_->configuration.version) {
    LogEvent(
        log_event::kConfigurationAdopted,
        "version=" + std::to_string(view->configuration.version) +
            " revision=" + std::to_string(view->revision) +
            " routes=" + std::to_string(view->configuration.routes.size()) +
            " sound_ms=" + std::to_string(ToMs(now - mirror_.ConfirmedAt())));
  }
  LogAnnouncements(now, *view);
  view->entry_count = UpdateRelays(mirror_.Items());
  view_ = view;
  relay_.Update(now, mirror_);
  options_.on_change(view_, mirror_.ConfirmedAt());
  std::vector<waiter> waiting;
  waiting.swap(waiters_);
  for (const waiter& item : waiting) {
    if (relay_.HasChanges(item.after)) {
      AnswerWaiter(now, item);
    } else {
      waiters_.push_back(item);
    }
  }
}

void site_watch::LogAnnouncements(time_point now, const site_view& view) const {
  for (const auto& [model, wanted] : view.weights) {
    const auto known = view_->weights.find(model);
    if (known != view_->weights.end() &&
        known->second.version == wanted.version) {
      continue;
    }
    const auto announced = wanted.announcements.find(wanted.version);
    if (announced == wanted.announcements.end())
      continue;
    LogEvent(log_event::kWeightsAnnounced,
             "model=" + model + " version=" + std::to_string(wanted.version) +
                 " age_ms=" +
                 std::to_string(ToMs(now - announced->second.announced_after)) +
                 " watched=" + (announced->second.was_watched ? "1" : "0") +
                 " outage=" + (mirror_.HasSeenOutage() ? "1" : "0"));
  }
}

size_t site_watch::UpdateRelays(
    const std::map<std::string, store_item>& items) {
  std::vector<relay_registration> registrations;
  size_t registered = 0;
  for (const auto& [key, item] : items) {
    if (!key.starts_with(kRegisteredPrefix))
      continue;
    ++registered;
    // The value is the failure domain and the relay's address.
    const size_t at = item.value.find(' ');
    if (at != std::string::npos && item.value.substr(0, at) == options_.domain)
      registrations.push_back(
          {key.substr(kRegisteredPrefix.size()), item.value.substr(at + 1)});
  }
  source_.SetRelays(registrations);
  return registered;
}

void site_watch::RemoveLostRelay(time_point now) {
  const auto node = source_.FindLostRelay(now);
  if (!node || is_registering_)
    return;
  const auto known =
      mirror_.Items().find(std::string(kRegisteredPrefix) + *node);
  if (known == mirror_.Items().end())
    return;
  LogEvent(log_event::kRelayRemoved, "node=" + *node);
  options_.count("store_relays_removed");
  CallRegistry(now,
               platform::EncodeStoreRemove(options_.store_address, known->first,
                                           known->second.revision));
}

void site_watch::CallRegistry(time_point now, const std::string& request) {
  is_registering_ = true;
  Call(now, options_.store_address, request, kRegisterTimeout,
       [this](time_point at, int, const std::string&) {
         // The watch reports whether the change took effect; until then other
         // relays serve the domain.
         loop_.StartTimer(at + kRegisterPause,
                          [this](time_point) { is_registering_ = false; });
       });
}

void site_watch::Register(time_point now) {
  if (options_.relay_address.empty() || is_registering_)
    return;
  const std::string key = std::string(kRegisteredPrefix) + options_.node;
  const std::string value = options_.domain + " " + options_.relay_address;
  auto known = mirror_.Items().find(key);
  if (known != mirror_.Items().end() && known->second.value == value)
    return;
  options_.count("store_registrations");
  const uint64_t revision =
      known == mirror_.Items().end() ? 0 : known->second.revision;
  CallRegistry(now, platform::EncodeStorePut(options_.store_address, key, value,
                                             revision));
}

http_listener_hooks site_watch::RelayHooks() {
  http_listener_hooks hooks;
  hooks.on_request = [this](time_point now, const auto& from,
                            http_request&& request) {
    OnRelayRequest(now, from, request);
  };
  hooks.on_disconnected = [this](time_point, http_server_connection* closed) {
    std::erase_if(waiters_, [closed](const waiter& item) {
      return item.connection.get() == closed;
    });
  };
  return hooks;
}

void site_watch::OnRelayRequest(
    time_point now,
    const std::shared_ptr<http_server_connection>& from,
    const http_request& request) {
  waiter item{.connection = from, .since = now, .until = now};
  try {
    const Poco::URI uri(request.head.getURI());
    for (const auto& [name, value] : uri.getQueryParameters()) {
      if (name == "after")
        item.after = std::stoull(value);
      if (name == "wait")
        item.until = now + milliseconds(std::stoul(value));
    }
  } catch (const std::exception&) {
    from->Answer(now, MakeAnswerHead(400), "malformed query\n");
    return;
  }
  if (!mirror_.IsLoaded() || !mirror_.IsReachable() ||
      waiters_.size() >= kMaxWaiters) {
    from->Answer(now, MakeAnswerHead(kNoStoreAccess), "nothing to relay\n");
    return;
  }
  if (relay_.HasChanges(item.after) || IsStale(now)) {
    AnswerWaiter(now, item);
  } else {
    waiters_.push_back(item);
  }
}

bool site_watch::IsStale(time_point now) const {
  return source_.IsTooOld(
      std::chrono::duration_cast<milliseconds>(now - mirror_.ConfirmedAt()));
}

void site_watch::AnswerWaiter(time_point now, const waiter& item) {
  auto answer = relay_.Answer(now, item.after);
  answer.set_sound_age_ms(
      static_cast<uint32_t>(ToMs(now - mirror_.ConfirmedAt())));
  answer.set_confirmed_at_ms(
      std::chrono::ceil<milliseconds>(mirror_.ConfirmedAt().time_since_epoch())
          .count());
  answer.set_held_ms(static_cast<uint32_t>(ToMs(now - item.since)));
  const bool has_items = answer.items_size() > 0;
  if (!has_items) {
    item.connection->Answer(now, MakeAnswerHead(200),
                            Deflate(answer.SerializeAsString()));
    return;
  }
  answer.set_held_ms(0);  // The compressed answer is shared by all waiters.
  const auto age = std::chrono::ceil<age_step>(now - mirror_.ConfirmedAt());
  answer.set_sound_age_ms(static_cast<uint32_t>(milliseconds(age).count()));
  if (compressed_after_ != item.after || compressed_age_ != age ||
      compressed_confirmed_at_ != mirror_.ConfirmedAt() ||
      compressed_revision_ != answer.revision() || compressed_answer_.empty()) {
    compressed_answer_ = Deflate(answer.SerializeAsString());
    compressed_after_ = item.after;
    compressed_age_ = age;
    compressed_confirmed_at_ = mirror_.ConfirmedAt();
    compressed_revision_ = answer.revision();
  }
  item.connection->Answer(now, MakeAnswerHead(200), compressed_answer_);
}

void site_watch::RefuseWaiters(time_point now) {
  std::vector<waiter> waiting;
  waiting.swap(waiters_);
  for (const waiter& item : waiting)
    item.connection->Answer(now, MakeAnswerHead(kNoStoreAccess),
                            "nothing to relay\n");
}

void site_watch::AnswerDueWaiters(time_point now) {
  CheckPause(now);
  std::vector<waiter> waiting;
  waiting.swap(waiters_);
  for (const waiter& item : waiting) {
    if (now >= item.until || IsStale(now)) {
      AnswerWaiter(now, item);
    } else {
      waiters_.push_back(item);
    }
  }
  listener_.EnforceTimeouts(now);
  loop_.StartTimer(now + kWaiterInterval,
                   [this](time_point at) { AnswerDueWaiters(at); });
}

}  // namespace fuchsiafall
