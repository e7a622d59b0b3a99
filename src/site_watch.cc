/// @file site_watch.cc Control thread of a hosted process: reads the store and
/// relays its items.
#include "site_watch.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include <sstream>

#include "ip_port_func.h"
#include "log_event_func.h"
#include "network/compression.h"
#include "platform/headers.h"

namespace fuchsiafall {

namespace {

/// Maximum time between runs, to remove expired items from the mirror.
constexpr milliseconds kMirrorInterval{500};
/// Interval of the checks for waiting readers whose wait is over.
constexpr milliseconds kWaiterInterval{100};
/// Time without a run of the loop, which has a timer each kWaiterInterval,
/// after which the process was paused.
constexpr milliseconds kMinPause{500};
/// Round trip to a relay of this failure domain and its processing time until
/// its answer begins, in addition to the wait of the call.
constexpr milliseconds kRelayTimeout{400};
/// Longest pause in an answer that has begun: a relay reads a large change
/// between two signs of life.
constexpr milliseconds kMaxAnswerGap{1000};
/// Interval of the signs of life to readers that wait for a large change.
constexpr milliseconds kHoldInterval{250};
/// Maximum heads of one answer, most of them signs of life.
constexpr uint32_t kMaxHeads = 64;
constexpr milliseconds kRegisterTimeout{1000};
/// Time for the watch to report a change of the registrations.
constexpr milliseconds kRegisterPause{2000};
/// Confirmed ages in shared answers are rounded up to this, so that readers at
/// about the same time share one.
using age_step = std::chrono::duration<int64_t, std::ratio<1, 20>>;
constexpr size_t kMaxMirrorBytes = 64U << 20;
/// Size from which the transfer and the reading of an answer take a noticeable
/// share of the time within which a change must be in force.
constexpr size_t kLargeAnswerBytes = 32768;
constexpr size_t kMaxWaiters = 512;
/// Status of a relay that cannot read the store.
constexpr int kNoStoreAccess = 503;
constexpr std::string_view kRegisteredPrefix = "relays/";

std::string RelayRequest(const store_call& call, const std::string& address) {
  return "GET /mirror?after=" + std::to_string(call.after_revision.number) +
         "&era=" + std::to_string(call.after_revision.era) +
         "&wait=" + std::to_string(call.wait.count()) +
         " HTTP/1.1\r\nHost: " + address + "\r\n\r\n";
}

store_answer ReadRelayAnswer(int status, const std::string& body) {
  if (status == kNoStoreAccess)
    return {.status = store_answer::status_type::kRefused};
  if (status != 200)
    return {};
  auto bytes = Inflate(body, kMaxMirrorBytes);
  proto::mirror_answer message;
  if (!bytes || !message.ParseFromString(*bytes))
    return {};
  return DecodeRelayAnswer(message);
}

}  // namespace

site_watch::site_watch(site_watch_options options)
    : options_(std::move(options)),
      pool_(&loop_,
            {.connection = {.budget = options_.budget},
             .limits = {.heads = kMaxHeads}}),
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
  } else if (auto call = mirror_.NextCall(now, source_.IsRelay(address),
                                          address != last_source_)) {
    if (address != last_source_)
      OnSourceChange(now, address);
    CallMirror(now, address, *call);
  }
  if (mirror_.NextCallAt() > now)
    next = std::min(next, mirror_.NextCallAt());
  run_timer_ = loop_.StartTimer(next, [this](time_point at) {
    run_timer_ = 0;
    RunDue(at);
  });
}

void site_watch::OnSourceChange(time_point now, const std::string& address) {
  LogEvent(log_event::kSourceChanged,
           "from=" + last_source_ + " to=" + address +
               " why=" + relay_failure_ + " age_ms=" +
               std::to_string(
                   mirror_.IsLoaded() ? ToMs(now - mirror_.ConfirmedAt()) : 0));
  last_source_ = address;
  relay_failure_.clear();
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
              if (!UpdateRelays(items).empty())
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
    LogListing(options_.store_address, call, answer);
    // Without changes, the store answers a watch only after its whole wait.
    if (answer.items.empty())
      answer.held = call.wait;
    if (answer.status == store_answer::status_type::kOk) {
      source_.OnStoreAnswered(at);
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
  Read(now,
       {.address = address,
        .request = RelayRequest(call, address),
        .timeout = call.wait + kRelayTimeout},
       [this, address, call](time_point at, int status,
                             const std::string& body) {
         store_answer answer = ReadRelayAnswer(status, body);
         LogListing(address, call, answer);
         const bool has_no_answer =
             answer.status == store_answer::status_type::kNoAnswer;
         const bool is_cut_off =
             answer.status == store_answer::status_type::kRefused;
         // A large change is old when it arrives, and the relay reads the store
         // again right after it.
         const bool is_too_old = source_.IsTooOld(answer.confirmed_age) &&
                                 body.size() < kLargeAnswerBytes;
         const bool is_behind = mirror_.IsBehind(answer);
         const bool has_failed =
             has_no_answer || is_cut_off || is_behind || is_too_old;
         if (has_failed) {
           relay_failure_ = has_no_answer ? "silent"
                            : is_cut_off  ? "cut_off"
                            : is_behind   ? "behind"
                                          : "stale";
           options_.count(has_no_answer ? "relay_failed"
                          : is_cut_off  ? "relay_cut_off"
                          : is_behind   ? "relay_behind"
                                        : "relay_too_old");
           source_.OnRelayFailed(at, address, !has_no_answer);
           if (!has_no_answer)
             source_.OnRelayStale(at);
         } else {
           source_.OnRelayAnswered(address);
         }
         if (!has_no_answer && !is_cut_off && !is_behind)
           OnAnswer(at, answer);
         if (!has_failed)
           return;
         // Another source is asked without a pause: while this one is avoided,
         // there is time to ask all others.
         mirror_.CancelCall(at);
         loop_.Post([this] { RunDue(BootNow()); });
       });
}

void site_watch::CallStore(time_point now,
                           const store_call& call,
                           const store_hook& done) {
  const auto written = platform::EncodeStoreCall(call, options_.store_address);
  auto era = std::make_shared<uint64_t>(0);
  Read(now,
       {.address = options_.store_address,
        .request = written.bytes,
        .timeout = written.timeout,
        // A copy of an earlier listing would pass for a page of this one, and
        // all else for removed.
        .needs_new_connection = call.kind == store_call::kind_type::kList,
        .on_head =
            [era](const Poco::Net::HTTPResponse& head) {
              *era = platform::DecodeStoreEra(head);
            }},
       [kind = call.kind, era, done](time_point at, int status,
                                     const std::string& body) {
         // An answer that breaks off states the era, too.
         store_answer answer{.revision = {*era, 0}};
         if (status != 0)
           answer = platform::DecodeStoreAnswer(kind, status, body, *era);
         done(at, status, std::move(answer));
       });
}

void site_watch::Read(time_point now,
                      async_http_call call,
                      const call_hook& done) {
  const std::string address = call.address;
  call.max_pause = kMaxAnswerGap;
  call.on_done = [this, now, address, done](time_point at, int status,
                                            std::string body) {
    receiving_until_ = at;
    if (status == 200 && body.size() >= kLargeAnswerBytes) {
      LogEvent(log_event::kLargeAnswerRead,
               "from=" + address + " bytes=" + std::to_string(body.size()) +
                   " after_ms=" + std::to_string(ToMs(at - now)));
      // Reading it takes time, too, and only the next answer is a recent one.
      HoldWaiters(at);
      receiving_until_ = at + kMaxAnswerGap;
    }
    done(at, status, std::move(body));
  };
  call.on_progress = [this](time_point at) {
    receiving_until_ = at + kMaxAnswerGap;
  };
  call.on_timeout = [this, now, address](time_point at, size_t received) {
    options_.count("control_calls_silent");
    LogEvent(log_event::kSourceSilent,
             "from=" + address + " received=" + std::to_string(received) +
                 " after_ms=" + std::to_string(ToMs(at - now)));
  };
  StartAsyncHttpCall(now, &loop_, &pool_, call);
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
  const uint64_t era_before = mirror_.Era();
  if (!mirror_.IsLoaded() && !answer.earlier_items.empty())
    TakeEarlier(now, answer);
  const bool has_changes = mirror_.OnAnswer(now, answer);
  ReportEra(era_before);
  if (mirror_.IsReachable() != was_reachable_) {
    was_reachable_ = mirror_.IsReachable();
    if (!was_reachable_)
      RefuseWaiters(now);
    LogEvent(was_reachable_ ? log_event::kStoreReachable
                            : log_event::kStoreUnreachable,
             options_.store_address +
                 " revision=" + std::to_string(mirror_.Revision().number));
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

void site_watch::TakeEarlier(time_point now, const store_answer& answer) {
  mirror_.TakeEarlier(answer);
  auto view = std::make_shared<site_view>(BuildView(now));
  LogConfiguration(now, *view);
  view_ = view;
}

void site_watch::LogListing(const std::string& address,
                            const store_call& call,
                            const store_answer& answer) const {
  if (call.kind != store_call::kind_type::kList ||
      answer.status != store_answer::status_type::kOk) {
    return;
  }
  std::ostringstream text;
  text << "from=" << address << " first=" << call.after_key.empty()
       << " revision=" << answer.revision << " held=" << mirror_.Revision()
       << " items=" << answer.items.size() << " more=" << answer.has_more;
  LogEvent(log_event::kListingRead, text.str());
}

void site_watch::ReportEra(uint64_t before) {
  if (before == 0 || mirror_.Era() == before)
    return;
  options_.count("store_restorations");
  LogEvent(log_event::kStoreRestored,
           options_.store_address + " era=" + std::to_string(mirror_.Era()) +
               " before=" + std::to_string(before) +
               " revision=" + std::to_string(mirror_.Revision().number));
}

void site_watch::Publish(time_point now) {
  // The readers go first: reading a large configuration takes a while.
  relay_.Update(mirror_);
  std::vector<waiter> waiting;
  waiting.swap(waiters_);
  for (const waiter& item : waiting) {
    if (relay_.HasChanges(item.after)) {
      AnswerWaiter(now, item);
    } else {
      waiters_.push_back(item);
    }
  }
  auto view = std::make_shared<site_view>(BuildView(now));
  LogConfiguration(now, *view);
  LogAnnouncements(now, *view);
  view->entry_relays = UpdateRelays(mirror_.Items());
  view_ = view;
  options_.on_change(view_, mirror_.ConfirmedAt());
}

site_view site_watch::BuildView(time_point now) const {
  std::vector<std::string> problems;
  site_view view = platform::BuildView(now, mirror_, *view_, &problems);
  for (const std::string& problem : problems)
    LogEvent(log_event::kStoreItemUnreadable, problem);
  return view;
}

void site_watch::LogConfiguration(time_point now, const site_view& view) const {
  if (view.configuration.version == view_->configuration.version)
    return;
  LogEvent(
      log_event::kConfigurationAdopted,
      "version=" + std::to_string(view.configuration.version) +
          " revision=" + std::to_string(view.revision.number) +
          " routes=" + std::to_string(view.configuration.routes.size()) +
          " sound_ms=" + std::to_string(ToMs(now - mirror_.ConfirmedAt())));
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

std::vector<std::string> site_watch::UpdateRelays(
    const std::map<std::string, store_item>& items) {
  std::vector<relay_registration> registrations;
  std::vector<std::string> registered;
  for (const auto& [key, item] : items) {
    if (!key.starts_with(kRegisteredPrefix))
      continue;
    // The value is the failure domain and the relay's address.
    const size_t at = item.value.find(' ');
    std::string address =
        at == std::string::npos ? "" : item.value.substr(at + 1);
    if (!IsIpPort(address))
      address.clear();
    registered.push_back(address);
    if (!address.empty() && item.value.substr(0, at) == options_.domain) {
      registrations.push_back({key.substr(kRegisteredPrefix.size()), address});
    }
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
  if (known == mirror_.Items().end() ||
      known->second.revision.era != mirror_.Era())
    return;
  LogEvent(log_event::kRelayRemoved, "node=" + *node);
  options_.count("store_relays_removed");
  CallRegistry(now,
               platform::EncodeStoreRemove(options_.store_address, known->first,
                                           known->second.revision.number));
}

void site_watch::CallRegistry(time_point now, const std::string& request) {
  is_registering_ = true;
  auto era = std::make_shared<uint64_t>(0);
  StartAsyncHttpCall(
      now, &loop_, &pool_,
      {.address = options_.store_address,
       .request = request,
       .timeout = kRegisterTimeout,
       .on_done =
           [this, era](time_point at, int, const std::string&) {
             const uint64_t era_before = mirror_.Era();
             if (mirror_.OnEra(at, *era)) {
               ReportEra(era_before);
               loop_.Post([this] { RunDue(BootNow()); });
             }
             // The watch reports whether the change took effect; until then
             // other relays serve the domain.
             loop_.StartTimer(at + kRegisterPause,
                              [this](time_point) { is_registering_ = false; });
           },
       .on_head =
           [era](const Poco::Net::HTTPResponse& head) {
             *era = platform::DecodeStoreEra(head);
           },
       .on_timeout = [this](
                         time_point,
                         size_t) { options_.count("control_calls_silent"); }});
}

void site_watch::Register(time_point now) {
  if (options_.relay_address.empty() || is_registering_)
    return;
  const std::string key = std::string(kRegisteredPrefix) + options_.node;
  const std::string value = options_.domain + " " + options_.relay_address;
  auto known = mirror_.Items().find(key);
  // One of an older era is kept for a while, but a restored store lacks it.
  const bool is_registered =
      known != mirror_.Items().end() &&
      known->second.revision.era == mirror_.Revision().era;
  if (is_registered && known->second.value == value)
    return;
  options_.count("store_registrations");
  const uint64_t expected = is_registered ? known->second.revision.number : 0;
  CallRegistry(now, platform::EncodeStorePut(options_.store_address, key, value,
                                             expected));
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
        item.after.number = std::stoull(value);
      if (name == "era")
        item.after.era = std::stoull(value);
      if (name == "wait")
        item.until = now + milliseconds(std::stoul(value));
    }
  } catch (const std::exception&) {
    from->Answer(now, MakeAnswerHead(400), "malformed query\n");
    return;
  }
  // A reader that states no era has the present one.
  if (item.after.era == 0)
    item.after.era = relay_.Revision().era;
  if (!mirror_.IsLoaded() || (!mirror_.IsReachable() && !IsReceiving(now)) ||
      relay_.IsBehind(item.after) || waiters_.size() >= kMaxWaiters) {
    from->Answer(now, MakeAnswerHead(kNoStoreAccess), "nothing to relay\n");
    return;
  }
  if (relay_.HasChanges(item.after) || (IsStale(now) && !IsReceiving(now))) {
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
  const auto age = std::chrono::ceil<age_step>(now - mirror_.ConfirmedAt());
  if (relay_.HasChanges(item.after) && !compressed_answer_.empty() &&
      compressed_after_ == item.after && compressed_age_ == age &&
      compressed_confirmed_at_ == mirror_.ConfirmedAt() &&
      compressed_revision_ == relay_.Revision()) {
    item.connection->Answer(now, MakeAnswerHead(200), compressed_answer_);
    return;
  }
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
  answer.set_sound_age_ms(static_cast<uint32_t>(milliseconds(age).count()));
  compressed_answer_ = Deflate(answer.SerializeAsString());
  compressed_after_ = item.after;
  compressed_age_ = age;
  compressed_confirmed_at_ = mirror_.ConfirmedAt();
  compressed_revision_ = relay_.Revision();
  item.connection->Answer(now, MakeAnswerHead(200), compressed_answer_);
}

void site_watch::HoldWaiters(time_point now) {
  for (waiter& item : waiters_) {
    if (now - item.held_at < kHoldInterval)
      continue;
    item.held_at = now;
    item.connection->SendProcessing();
  }
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
  if (IsReceiving(now))
    HoldWaiters(now);
  else
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
