/// @file hosted_process.cc Common parts of hosted processes.
#include "hosted_process.h"

#include <malloc.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <iostream>

#include "platform/documents.h"

namespace fuchsiafall {

namespace {

/// Limit for each log event; several times the usual request rate of an entry.
constexpr uint32_t kMaxLogLinesPerSecond = 100;
/// Offset of the relay port from the first port, after the ports for admission
/// slots and for weights.
constexpr uint16_t kRelayPortOffset = 2;
/// Maximum age of a relay's data, as a share of the time within which a new
/// configuration must be in force; with older data the relay counts as cut off
/// from the store. The rest of that time is left for a call to the relay, a
/// call to the store and applying the change.
constexpr double kRelayAgeShare = 0.55;
/// Share of a process's memory for its buffers. While a buffer grows, its old
/// and its new copy exist together.
constexpr size_t kBufferShare = 4;
/// Memory of a process whose limit is unknown.
constexpr size_t kDefaultMemoryBytes = 256U << 20;

/// Size of the blocks that are mapped by themselves.
constexpr int kMappedBytes = 256 * 1024;

size_t BufferBytes(const site_settings& settings) {
  return (settings.memory_bytes > 0 ? settings.memory_bytes
                                    : kDefaultMemoryBytes) /
         kBufferShare;
}

}  // namespace

hosted_process::hosted_process(site_settings settings,
                               std::function<void(time_point)> on_view,
                               std::function<void(time_point)> on_shutdown)
    : settings_(std::move(settings)),
      on_view_(std::move(on_view)),
      on_shutdown_(std::move(on_shutdown)),
      incarnation_(NewIncarnation()),
      budget_(std::make_shared<buffer_budget>(BufferBytes(settings_))),
      watch_(
          {.node = settings_.node,
           .domain = settings_.domain,
           .store_address = settings_.store_address,
           .relay_address = settings_.callers_address.empty()
                                ? ""
                                : settings_.ip + ":" +
                                      std::to_string(settings_.first_port +
                                                     kRelayPortOffset),
           .mirror = {.trusts_silence = !settings_.callers_address.empty()},
           .max_relay_age = std::chrono::duration_cast<milliseconds>(
               kRelayAgeShare * settings_.config_bound),
           .on_change =
               [this](std::shared_ptr<const site_view> view,
                      time_point confirmed_at) {
                 OnSiteChange(std::move(view), confirmed_at);
               },
           .count = [this](const std::string& name) { metrics_.Count(name); },
           .budget = budget_}) {}

hosted_process::~hosted_process() {
  watch_.Stop();
  if (signal_fd_ >= 0)
    close(signal_fd_);
}

outcome<done> hosted_process::Start() {
  WatchSignals();
  return watch_.Start();
}

void hosted_process::Finish() {
  LogEvent(log_event::kProcessStopped, "node=" + settings_.node);
  loop_.Stop();
}

void hosted_process::OnSiteChange(std::shared_ptr<const site_view> view,
                                  time_point confirmed_at) {
  loop_.Post([this, view = std::move(view), confirmed_at] {
    confirmed_at_ = std::max(confirmed_at_, confirmed_at);
    if (view != nullptr)
      index_ = std::make_unique<site_index>(view);
    on_view_(BootNow());
  });
}

void hosted_process::WatchSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  signal_fd_ = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
  loop_.Add(signal_fd_, false, [this](time_point now, socket_events) {
    signalfd_siginfo info{};
    while (read(signal_fd_, &info, sizeof(info)) == sizeof(info)) {
      if (info.ssi_signo == SIGHUP) {
        // Everything that can change at run time comes from the store, so the
        // settings are not read again.
        LogEvent(log_event::kSettingsChanged, "node=" + settings_.node);
        continue;
      }
      LogEvent(log_event::kProcessStopping, "node=" + settings_.node);
      on_shutdown_(now);
    }
  });
}

exit_code RunHosted(const std::string& role, const std::string& path) {
  // Large buffers go back to the system when they are freed. By default the
  // threshold grows with them, and small blocks between them keep the heap.
  mallopt(M_MMAP_THRESHOLD, kMappedBytes);
  auto settings = platform::ReadSiteSettings(path);
  if (!settings) {
    std::cerr << "fuchsiafall: " << settings.LastReason() << "\n";
    return exit_code::kBadInput;
  }
  SetUpLog("", settings->node);
  LimitLogRate(kMaxLogLinesPerSecond);
  LogEvent(log_event::kProcessStarted, "role=" + role +
                                           " node=" + settings->node +
                                           " domain=" + settings->domain);
  return role == "entry" ? RunHostedEntry(*settings)
                         : RunHostedAgent(*settings);
}

}  // namespace fuchsiafall
