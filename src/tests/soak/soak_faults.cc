/// @file soak_faults.cc Faults of the soak, drawn from a seed; they come in
/// series and overlap.
#include <csignal>
#include <iostream>

#include "tests/soak/soak_site.h"

namespace fuchsiafall::soak {

namespace {

constexpr seconds kControlTimeout{2};
constexpr int kLeastPauseMs = 200;  // Between two faults.
constexpr int kMostPauseMs = 1800;
constexpr size_t kLeastKeys = 3;  // That are never taken away.
constexpr seconds kSettle{8};     // From the last fault to the window.
constexpr seconds kWindow{4};     // In which calm service is measured.

}  // namespace

milliseconds soak_site::Span(int least_ms, int most_ms) {
  return milliseconds(
      std::uniform_int_distribution<int>(least_ms, most_ms)(random_));
}

void soak_site::Note(const std::string& what) {
  ++book_.counts["fault " + what.substr(0, what.find(' '))];
  std::clog << ToMs(BootNow().time_since_epoch()) << " " << what << "\n";
}

void soak_site::Until(milliseconds span, const std::function<void()>& act) {
  loop_->StartTimer(BootNow() + span, [act](time_point) { act(); });
}

void soak_site::SetLink(const std::string& group, const std::string& what) {
  StartAsyncHttpCall(BootNow(), loop_, &control_pool_,
                     {.address = kProxyControl,
                      .request = "GET /control/set?group=" + group + "&" +
                                 what + " HTTP/1.1\r\nHost: proxy\r\n\r\n",
                      .timeout = kControlTimeout,
                      .on_done = [](time_point, int, const std::string&) {}});
}

void soak_site::CloseLink(const std::string& group, const std::string& mode) {
  Note(mode + " " + group);
  SetLink(group, "mode=" + mode);
  Until(Span(300, 4000), [this, group] { SetLink(group, "mode=open"); });
}

void soak_site::Inject(time_point now) {
  if (now >= ends_at_)
    return Heal(now);
  switch (random_() % 5) {
    case 0:
      DisturbProcess(now);
      break;
    case 1:
      DisturbStore(now);
      break;
    case 2:
      DisturbLink(now);
      break;
    case 3:
      DisturbServer(now);
      break;
    default:
      ChangeSite(now);
  }
  loop_->StartTimer(now + Span(kLeastPauseMs, kMostPauseMs),
                    [this](time_point at) { Inject(at); });
}

void soak_site::DisturbProcess(time_point now) {
  soak_process& item = processes_[random_() % processes_.size()];
  if (!item.process->IsRunning() || item.is_frozen || item.is_stopping)
    return;
  switch (random_() % 4) {
    case 0:
      Note("kill " + item.name);
      item.was_killed = true;
      item.process->Signal(SIGKILL);
      break;
    case 1: {
      Note("freeze " + item.name);
      item.is_frozen = true;
      item.process->Signal(SIGSTOP);
      const uint32_t life = item.is_entry ? entries_[item.place].life : 0;
      Until(Span(200, 4000), [this, &item, life] {
        // Another process may have taken its place meanwhile.
        if (item.is_entry && entries_[item.place].life != life)
          return;
        item.is_frozen = false;
        item.process->Signal(SIGCONT);
      });
      break;
    }
    case 2:
      Note("term " + item.name);
      item.is_stopping = true;
      item.stopping_since = now;
      item.process->Signal(SIGTERM);
      break;
    default:
      Note("hup " + item.name);
      item.process->Signal(SIGHUP);
  }
}

void soak_site::DisturbStore(time_point) {
  switch (random_() % 6) {
    case 0:
    case 1:
    case 2: {
      const store_mode modes[] = {store_mode::kSilent, store_mode::kBusy,
                                  store_mode::kReset};
      const size_t which = random_() % 3;
      Note("store mode " + std::to_string(which));
      store_.mode = modes[which];
      Until(Span(300, 5000), [this] { store_.mode = store_mode::kOpen; });
      break;
    }
    case 3:
      Note("store slow");
      store_.delay = Span(50, 600);
      Until(Span(500, 4000), [this] { store_.delay = milliseconds(0); });
      break;
    case 4:
      Note("store loses answers");
      store_.lose_share = 0.5;
      Until(Span(500, 4000), [this] { store_.lose_share = 0; });
      break;
    default:
      Note("store compacts");
      store_.Compact();
  }
}

void soak_site::DisturbLink(time_point) {
  const std::string& link = links_[random_() % links_.size()];
  const std::string group = link.substr(0, link.find('='));
  switch (random_() % 4) {
    case 0:
      CloseLink(group, "cut");
      break;
    case 1:
      CloseLink(group, "hold");
      break;
    case 2:
      Note("silence " + group);
      SetLink(group, "silence=1");
      break;
    default:
      Note("delay " + group);
      SetLink(group, "delay_ms=" + std::to_string(Span(20, 300).count()));
      Until(Span(500, 4000), [this, group] { SetLink(group, "delay_ms=0"); });
  }
}

void soak_site::DisturbServer(time_point now) {
  server_standin& server = *servers_[random_() % servers_.size()];
  switch (random_() % 6) {
    case 0:
      Note("crash " + server.Id());
      server.Crash(now, random_() % 2 == 0);
      break;
    case 1:
      Note("rot " + server.Id());
      server.Rot(now, &random_);
      break;
    case 2:
      Note("drain " + server.Id());
      server.Drain();
      Until(Span(3000, 4000), [&server] { server.Crash(BootNow(), true); });
      break;
    case 3:
      Note("answers lost");
      faults_.lose_answers = 0.2;
      Until(Span(500, 3000), [this] { faults_.lose_answers = 0; });
      break;
    case 4:
      Note("origin spoils");
      faults_.origin_spoils = 0.2;
      Until(Span(500, 4000), [this] { faults_.origin_spoils = 0; });
      break;
    default:
      Note("origin down");
      faults_.is_origin_down = true;
      Until(Span(500, 4000), [this] { faults_.is_origin_down = false; });
  }
}

void soak_site::ChangeSite(time_point now) {
  switch (random_() % 4) {
    case 0:
      Note("version " + std::to_string(weights_ + 1));
      ++weights_;
      store_.Put(
          std::string("op/version/") + kModel,
          R"({"Model":"m0","Version":)" + std::to_string(weights_) + "}");
      break;
    case 1:
      if (keys_.size() > kLeastKeys) {
        Note("revoke " + keys_.back());
        book_.revoked[keys_.back()] = now;
        keys_.pop_back();
      }
      WriteConfiguration();
      break;
    case 2:
      Note("storm of configurations");
      for (int i = 0; i < 12; ++i)
        Until(milliseconds(70 * i), [this] { WriteConfiguration(); });
      break;
    default:
      Note("configuration");
      WriteConfiguration();
  }
}

void soak_site::Heal(time_point now) {
  Note("healed");
  // What is under way ends by its own timers within some seconds.
  faults_ = {};
  store_.mode = store_mode::kOpen;
  store_.delay = milliseconds(0);
  store_.lose_share = 0;
  for (const std::string& link : links_)
    SetLink(link.substr(0, link.find('=')), "mode=open&delay_ms=0");
  for (soak_process& item : processes_) {
    if (item.is_frozen)
      item.process->Signal(SIGCONT);
    item.is_frozen = false;
  }
  callers_->keys = keys_;
  loop_->StartTimer(now + kSettle, [this](time_point at) {
    sent_before_ = book_.counts["sent"];
    answered_before_ = book_.counts["status 200"];
    loop_->StartTimer(at + kWindow, [this](time_point end) { Finish(end); });
  });
}

}  // namespace fuchsiafall::soak
