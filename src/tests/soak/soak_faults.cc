/// @file soak_faults.cc Faults of the soak test. They are drawn from a seed,
/// follow each other after random pauses, and overlap.
#include <csignal>
#include <iostream>

#include "tests/soak/soak_site.h"

namespace fuchsiafall::soak {

namespace {

constexpr seconds kControlTimeout{2};
constexpr int kMinPauseMs = 200;  // Between two faults.
constexpr int kMaxPauseMs = 1800;
constexpr size_t kMinKeys = 3;          // Never revoked.
constexpr seconds kFaultsEndWithin{5};  // By their own timers.
constexpr seconds kContactTime{3};
constexpr seconds kRecoveryTime{8};    // Between faults and the final window.
constexpr seconds kMeasuredWindow{4};  // Final window, without faults.

}  // namespace

milliseconds soak_site::RandomSpan(int min_ms, int max_ms) {
  return DrawSpan(min_ms, max_ms, &random_);
}

void soak_site::LogFault(const std::string& fault) {
  ++record_.counts["fault " + fault.substr(0, fault.find(' '))];
  std::clog << ToMs(BootNow().time_since_epoch()) << " " << fault << "\n";
}

void soak_site::RunAfter(milliseconds span, const std::function<void()>& act) {
  loop_->StartTimer(BootNow() + span, [act](time_point) { act(); });
}

void soak_site::SetLink(const std::string& group, const std::string& settings) {
  StartAsyncHttpCall(BootNow(), loop_, &control_pool_,
                     {.address = ProxyControl(),
                      .request = "GET /control/set?group=" + group + "&" +
                                 settings + " HTTP/1.1\r\nHost: proxy\r\n\r\n",
                      .timeout = kControlTimeout,
                      .on_done = [](time_point, int, const std::string&) {}});
}

void soak_site::BlockLink(const std::string& group, const std::string& mode) {
  LogFault(mode + " " + group);
  SetLink(group, "mode=" + mode);
  RunAfter(RandomSpan(300, 4000),
           [this, group] { SetLink(group, "mode=open"); });
}

void soak_site::InjectFault(time_point now) {
  if (now >= faults_end_at_)
    return EndFaults(now);
  switch (random_() % 5) {
    case 0:
      InjectProcessFault(now);
      break;
    case 1:
      InjectStoreFault(now);
      break;
    case 2:
      InjectLinkFault(now);
      break;
    case 3:
      InjectServerFault(now);
      break;
    default:
      InjectOperatorChange(now);
  }
  loop_->StartTimer(now + RandomSpan(kMinPauseMs, kMaxPauseMs),
                    [this](time_point at) { InjectFault(at); });
}

void soak_site::InjectProcessFault(time_point now) {
  soak_process& item = processes_[random_() % processes_.size()];
  if (!item.process->IsRunning() || item.is_frozen || item.is_stopping)
    return;
  switch (random_() % 4) {
    case 0:
      LogFault("kill " + item.name);
      item.was_killed = true;
      item.process->Signal(SIGKILL);
      break;
    case 1: {
      LogFault("freeze " + item.name);
      item.is_frozen = true;
      item.process->Signal(SIGSTOP);
      const uint32_t start_count =
          item.is_entry ? entries_[item.index].start_count : 0;
      RunAfter(RandomSpan(200, 4000), [this, &item, start_count] {
        // The entry may have been restarted as another process meanwhile.
        if (item.is_entry && entries_[item.index].start_count != start_count)
          return;
        item.is_frozen = false;
        item.process->Signal(SIGCONT);
      });
      break;
    }
    case 2:
      LogFault("term " + item.name);
      StopProcess(now, &item);
      break;
    default:
      LogFault("hup " + item.name);
      item.process->Signal(SIGHUP);
  }
}

void soak_site::InjectStoreFault(time_point) {
  switch (random_() % 6) {
    case 0:
    case 1:
    case 2: {
      const store_mode modes[] = {store_mode::kUnresponsive, store_mode::kBusy,
                                  store_mode::kReset};
      const size_t which = random_() % 3;
      LogFault("store mode " + std::to_string(which));
      store_.mode = modes[which];
      RunAfter(RandomSpan(300, 5000),
               [this] { store_.mode = store_mode::kOpen; });
      break;
    }
    case 3:
      LogFault("store slow");
      store_.delay = RandomSpan(50, 600);
      RunAfter(RandomSpan(500, 4000),
               [this] { store_.delay = milliseconds(0); });
      break;
    case 4:
      LogFault("store loses answers");
      store_.lost_answer_share = 0.5;
      RunAfter(RandomSpan(500, 4000), [this] { store_.lost_answer_share = 0; });
      break;
    default:
      LogFault("store compacts");
      store_.Compact();
  }
}

void soak_site::RestoreStore(time_point now) {
  if (now >= faults_end_at_)
    return;
  LogFault("store restored");
  store_.Restore(now);
  loop_->StartTimer(now + kRestoreInterval,
                    [this](time_point at) { RestoreStore(at); });
}

void soak_site::InjectLinkFault(time_point) {
  const std::string& link = links_[random_() % links_.size()];
  const std::string group = link.substr(0, link.find('='));
  switch (random_() % 4) {
    case 0:
      BlockLink(group, "cut");
      break;
    case 1:
      BlockLink(group, "hold");
      break;
    case 2:
      LogFault("silence " + group);
      SetLink(group, "silence=1");
      break;
    default:
      LogFault("delay " + group);
      SetLink(group, "delay_ms=" + std::to_string(RandomSpan(20, 300).count()));
      RunAfter(RandomSpan(500, 4000),
               [this, group] { SetLink(group, "delay_ms=0"); });
  }
}

void soak_site::InjectServerFault(time_point now) {
  server_standin& server = *servers_[random_() % servers_.size()];
  switch (random_() % 6) {
    case 0:
      LogFault("crash " + server.Id());
      server.Crash(now, random_() % 2 == 0);
      break;
    case 1:
      LogFault("rot " + server.Id());
      server.CorruptStagedChunk(now, &random_);
      break;
    case 2:
      LogFault("drain " + server.Id());
      server.Drain();
      RunAfter(RandomSpan(3000, 4000),
               [&server] { server.Crash(BootNow(), true); });
      break;
    case 3:
      LogFault("answers lost");
      faults_.lost_plain_answer_share = 0.2;
      RunAfter(RandomSpan(500, 3000),
               [this] { faults_.lost_plain_answer_share = 0; });
      break;
    case 4:
      LogFault("origin spoils");
      faults_.origin_corrupt_share = 0.2;
      RunAfter(RandomSpan(500, 4000),
               [this] { faults_.origin_corrupt_share = 0; });
      break;
    default:
      LogFault("origin down");
      faults_.is_origin_down = true;
      RunAfter(RandomSpan(500, 4000),
               [this] { faults_.is_origin_down = false; });
  }
}

void soak_site::RotInSeries(server_standin* server) {
  auto act_after = [this](milliseconds span, const std::function<void()>& act) {
    RunAfter(span, [this, act] {
      if (BootNow() < faults_end_at_)
        act();
    });
  };
  for (size_t left = 2 + held_random_() % 3; left > 0; --left) {
    act_after(DrawSpan(0, 500, &held_random_), [this, server] {
      LogFault("rot " + server->Id());
      server->CorruptStagedChunk(BootNow(), &held_random_);
    });
  }
  if (held_random_() % 10 == 0)
    act_after(DrawSpan(0, 1000, &held_random_), [this] { NameVersion(); });
  if (held_random_() % 8 == 0) {
    act_after(DrawSpan(200, 2000, &held_random_), [this, server] {
      LogFault("crash " + server->Id());
      server->Crash(BootNow(), false);
    });
  }
}

void soak_site::NameVersion() {
  ++weights_version_;
  LogFault("version " + std::to_string(weights_version_));
  store_.Put(
      std::string("op/version/") + kModel,
      R"({"Model":"m0","Version":)" + std::to_string(weights_version_) + "}");
}

void soak_site::InjectOperatorChange(time_point now) {
  switch (random_() % 4) {
    case 0:
      NameVersion();
      break;
    case 1:
      if (keys_.size() > kMinKeys) {
        LogFault("revoke " + keys_.back());
        record_.revoked[keys_.back()] = now;
        keys_.pop_back();
      }
      WriteConfiguration();
      break;
    case 2:
      LogFault("storm of configurations");
      for (int i = 0; i < 12; ++i)
        RunAfter(milliseconds(70 * i), [this] { WriteConfiguration(); });
      break;
    default:
      LogFault("configuration");
      WriteConfiguration();
  }
}

void soak_site::EndFaults(time_point now) {
  LogFault("healed");
  if (!options_.is_planned)
    record_.calm_since = now + kFaultsEndWithin + kContactTime;
  faults_ = {.silent_share = faults_.silent_share};
  store_.mode = store_mode::kOpen;
  store_.delay = milliseconds(0);
  store_.lost_answer_share = 0;
  for (const std::string& link : links_)
    SetLink(link.substr(0, link.find('=')), "mode=open&delay_ms=0");
  for (soak_process& item : processes_) {
    if (item.is_frozen)
      item.process->Signal(SIGCONT);
    item.is_frozen = false;
  }
  callers_->keys = keys_;
  loop_->StartTimer(now + kRecoveryTime, [this](time_point at) {
    callers_->is_window_open = true;
    loop_->StartTimer(at + kMeasuredWindow, [this](time_point end) {
      callers_->is_window_open = false;
      CheckAndStop(end);
    });
  });
}

}  // namespace fuchsiafall::soak
