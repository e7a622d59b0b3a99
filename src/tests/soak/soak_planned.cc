/// @file soak_planned.cc Planned work of the soak test: stops, reloads, changes
/// and load in series that overlap.
#include <array>
#include <csignal>

#include "tests/soak/soak_site.h"

namespace fuchsiafall::soak {

namespace {

constexpr size_t kMinKeys = 3;  // Never revoked.
/// Time to the start of main(), before which no program can handle a signal.
constexpr milliseconds kStartTime{500};
constexpr uint64_t kMaxNewRoutes = 20;
constexpr size_t kMaxKeys = 8;
/// Time for which callers go on to use a revoked key.
constexpr seconds kRevokedKeyUse{6};
constexpr std::array kIdleTimeoutsMs{2000, 3000, 5000, 8000, 15000};
constexpr double kPeakFactor = 2;

}  // namespace

void soak_site::BeginPlannedSeries(time_point now) {
  if (now >= faults_end_at_)
    return;
  StopInSeries();
  ChangeInSeries();
  ReloadInSeries();
  if (planned_random_() % 3 == 0) {
    LogFault("peak");
    callers_->rate_factor = kPeakFactor;
    RunAfter(DrawSpan(1000, 3000, &planned_random_),
             [this] { callers_->rate_factor = 1; });
  }
  loop_->StartTimer(now + DrawSpan(800, 4000, &planned_random_),
                    [this](time_point at) { BeginPlannedSeries(at); });
}

void soak_site::StopInSeries() {
  milliseconds at{0};
  for (size_t left = 2 + planned_random_() % 3; left > 0; --left) {
    // Mostly entries, as they hold the callers' connections.
    const bool wants_entry = planned_random_() % 4 != 0;
    RunAfter(at, [this, wants_entry] {
      std::vector<soak_process*> running;
      size_t stopping = 0;
      for (soak_process& item : processes_) {
        if (item.is_entry != wants_entry)
          continue;
        if (item.process->IsRunning() && !item.is_stopping && !item.is_frozen) {
          running.push_back(&item);
        } else {
          ++stopping;
        }
      }
      if (BootNow() >= faults_end_at_ || running.size() <= stopping)
        return;
      soak_process& item = *running[planned_random_() % running.size()];
      LogFault("term " + item.name);
      StopProcess(BootNow(), &item);
    });
    at += DrawSpan(300, 1000, &planned_random_);
  }
}

void soak_site::ChangeInSeries() {
  milliseconds at = DrawSpan(0, 600, &planned_random_);
  for (size_t left = 3 + planned_random_() % 8; left > 0; --left) {
    RunAfter(at, [this] { ChangeConfiguration(BootNow()); });
    at += DrawSpan(50, 700, &planned_random_);
  }
}

void soak_site::ReloadInSeries() {
  milliseconds at = DrawSpan(0, 800, &planned_random_);
  for (size_t left = 2 + planned_random_() % 4; left > 0; --left) {
    RunAfter(at, [this] {
      soak_process& item = processes_[planned_random_() % processes_.size()];
      const time_point now = BootNow();
      if (now >= faults_end_at_ || !item.process->IsRunning() ||
          now - item.started_at < kStartTime)
        return;
      LogFault("hup " + item.name);
      retry_extra_ = 150 + planned_random_() % 50;
      WriteSettings(item);
      item.process->Signal(SIGHUP);
    });
    at += DrawSpan(50, 500, &planned_random_);
  }
}

void soak_site::ChangeConfiguration(time_point now) {
  if (now >= faults_end_at_)
    return;
  if (planned_random_() % 2 == 0)
    idle_timeout_ = milliseconds(
        kIdleTimeoutsMs[planned_random_() % kIdleTimeoutsMs.size()]);
  if (planned_random_() % 3 == 0) {
    header_bytes_ = 4096U << (planned_random_() % 3);
    body_bytes_ = 65536U << (planned_random_() % 5);
  }
  if (planned_random_() % 3 == 0) {
    stream_timeout_ = DrawSpan(5000, 7000, &planned_random_);
    plain_timeout_ = DrawSpan(800, 1200, &planned_random_);
    attempts_ = 2 + static_cast<int>(planned_random_() % 2);
  }
  probe_routes_ += planned_random_() % kMaxNewRoutes;
  if (planned_random_() % 8 == 0 && keys_.size() > kMinKeys) {
    record_.revoked[keys_.back()] = now;
    keys_.pop_back();
  } else if (planned_random_() % 4 == 0 && keys_.size() < kMaxKeys) {
    keys_.push_back("key" + std::to_string(next_key_++));
    callers_->keys.push_back(keys_.back());
  }
  std::erase_if(callers_->keys, [this, now](const std::string& key) {
    auto it = record_.revoked.find(key);
    return it != record_.revoked.end() && now - it->second > kRevokedKeyUse;
  });
  LogFault("configuration idle " + std::to_string(idle_timeout_.count()));
  WriteConfiguration();
}

}  // namespace fuchsiafall::soak
