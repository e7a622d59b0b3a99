/// @file site_watch.cc Control thread of a hosted process.
#include "site_watch.h"

#include "log_event_func.h"
#include "platform/documents.h"

namespace fuchsiafall {

namespace {

constexpr milliseconds kMirrorStep{500};  // For entries that have lapsed.

}  // namespace

site_watch::site_watch(site_watch_options options)
    : options_(std::move(options)),
      // A watch is silent while it waits, and a new connection is cheap.
      pool_(&loop_, {.idle = options_.mirror.watch}),
      mirror_(options_.mirror) {}

site_watch::~site_watch() {
  Stop();
}

void site_watch::Start() {
  thread_ = std::thread([this] {
    Step(BootNow());
    loop_.Run();
  });
}

void site_watch::Stop() {
  if (!thread_.joinable())
    return;
  loop_.Stop();
  thread_.join();
}

void site_watch::Step(time_point now) {
  if (next_step_ != 0)
    loop_.CancelTimer(next_step_);
  if (mirror_.Step(now))
    Publish(now);
  if (auto call = mirror_.NextCall(now))
    Call(now, *call);
  time_point next = now + kMirrorStep;
  if (mirror_.NextCallAt() > now)
    next = std::min(next, mirror_.NextCallAt());
  next_step_ = loop_.StartTimer(next, [this](time_point at) {
    next_step_ = 0;
    Step(at);
  });
}

void site_watch::Call(time_point now, const store_call& call) {
  const auto written = platform::EncodeStoreCall(call, options_.store_address);
  options_.count(call.kind == store_call::kind_type::kList ? "store_listings"
                                                           : "store_watches");
  auto taken = pool_.Take(now, options_.store_address);
  if (!taken) {
    OnAnswer(now, {});
    return;
  }
  connection_ = *taken;
  status_ = 0;
  body_.clear();
  exchange_hooks hooks;
  hooks.on_head = [this](time_point, const Poco::Net::HTTPResponse& head) {
    status_ = head.getStatus();
    return true;
  };
  hooks.on_body = [this](time_point, std::string_view bytes) {
    body_ += bytes;
  };
  hooks.on_end = [this, kind = call.kind](time_point at, exchange_end end) {
    loop_.CancelTimer(timeout_);
    connection_.reset();
    OnAnswer(at, end == exchange_end::kComplete
                     ? platform::DecodeStoreAnswer(kind, status_, body_)
                     : store_answer{});
  };
  timeout_ = loop_.StartTimer(now + written.timeout, [this](time_point at) {
    auto silent = std::move(connection_);
    connection_.reset();
    silent->Abort();
    options_.count("store_silent");
    OnAnswer(at, {});
  });
  connection_->Start(written.bytes, false, std::move(hooks));
}

void site_watch::OnAnswer(time_point now, const store_answer& answer) {
  const bool has_news = mirror_.OnAnswer(now, answer);
  if (mirror_.IsReachable() != was_reachable_) {
    was_reachable_ = mirror_.IsReachable();
    LogEvent(was_reachable_ ? log_event::kStoreReachable
                            : log_event::kStoreUnreachable,
             options_.store_address +
                 " revision=" + std::to_string(mirror_.Revision()));
  }
  if (answer.status == store_answer::status_type::kRefused)
    options_.count("store_refused");
  if (answer.status == store_answer::status_type::kHistoryGone)
    options_.count("store_history_gone");
  if (mirror_.IsKnown()) {
    if (has_news) {
      Publish(now);
    } else if (answer.status == store_answer::status_type::kOk) {
      options_.on_news(nullptr, mirror_.SoundAt());
    }
  }
  // Answers come in hooks of a connection, which the next call may reuse.
  loop_.Post([this] { Step(BootNow()); });
}

void site_watch::Publish(time_point now) {
  std::vector<std::string> problems;
  auto view = std::make_shared<site_view>(
      platform::BuildView(now, mirror_, *view_, &problems));
  for (const std::string& problem : problems)
    LogEvent(log_event::kEntryUnreadable, problem);
  if (view->configuration.version != view_->configuration.version) {
    LogEvent(log_event::kConfigurationAdopted,
             "version=" + std::to_string(view->configuration.version) +
                 " revision=" + std::to_string(view->revision));
  }
  view_ = view;
  options_.on_news(view_, mirror_.SoundAt());
}

}  // namespace fuchsiafall
