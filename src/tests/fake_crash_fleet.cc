/// @file fake_crash_fleet.cc Model servers that requests may crash.
#include "tests/fake_crash_fleet.h"

#include <algorithm>

namespace fuchsiafall::tests {

namespace {

constexpr milliseconds kTick{10};
constexpr milliseconds kReportInterval{100};
constexpr milliseconds kLatency{2};
constexpr milliseconds kFirstEvent{100};
constexpr milliseconds kWholeAnswer{1000};
constexpr seconds kDownTime{4};
constexpr uint64_t kVersion = 1;  // Of the weights of all servers.

}  // namespace

fake_crash_fleet::fake_crash_fleet(size_t server_count, size_t entry_count) {
  site_view view = site_.index->View();
  view.configuration.routes.front().attempts = 3;
  for (const char* id : {"m1", "m2"})
    view.servers.erase(id);
  for (size_t i = 0; i < server_count; ++i) {
    const std::string id = "s" + std::to_string(i);
    view.servers[id] = {.id = id,
                        .service = "llm",
                        .address = id + ":80",
                        .domain = "a",
                        .slots = 16,
                        .is_model_server = true,
                        .models = {{"model", kVersion, 0, 16}}};
    servers_[id].places.SetProfile(MakeEngineProfile(), 0);
  }
  site_.Set(view);
  for (const auto& [id, item] : servers_)
    MakeMonitor(id);
  for (size_t i = 0; i < entry_count; ++i) {
    call_dispatch_options options;
    options.seed = i + 1;
    options.selector.seed = i + 1;
    entries_.push_back({std::make_unique<call_dispatch>(
        fake_entry::WithTestDefaults(options), Hooks(i))});
    entries_.back().dispatch->SetIndex(site_.index.get());
  }
}

void fake_crash_fleet::MakeMonitor(const std::string& id) {
  server& item = servers_.at(id);
  crash_monitor_hooks hooks;
  hooks.send = [this, id](const std::string& to, const proto::envelope& sent) {
    Post([this, id, to, sent] {
      if (to.starts_with("s")) {
        servers_.at(to).monitor->OnMessage(now, id, sent);
        return;
      }
      const size_t index = std::stoul(to.substr(1));
      for (const auto& quarantined : sent.crash_note().quarantined()) {
        entries_[index].dispatch->OnQuarantined(
            now, fingerprint(quarantined.trait()));
      }
    });
  };
  hooks.log = [this](log_event event, const std::string& detail) {
    if (event == log_event::kRequestQuarantined &&
        detail.ends_with("of=part")) {
      ++quarantined_parts;
    }
  };
  hooks.count = [](const std::string&) {};
  item.monitor = std::make_unique<crash_monitor>(
      crash_monitor_options{
          .self = vm_id(id),
          .own_incarnation = incarnation(item.incarnation),
          .seed = item.incarnation + std::hash<std::string>()(id)},
      hooks);
  std::vector<std::string> others;
  for (const auto& [other, ignored] : servers_) {
    if (other != id)
      others.push_back(other);
  }
  item.monitor->SetPeers(now, others);
}

void fake_crash_fleet::RestartAgent(const std::string& id) {
  ++servers_.at(id).incarnation;
  MakeMonitor(id);
}

call_dispatch_hooks fake_crash_fleet::Hooks(size_t index) {
  call_dispatch_hooks hooks;
  hooks.request_place = [this, index](const site_server& asked,
                                      const place_request& request) {
    Post([this, index, id = asked.id, request] {
      if (agents_answer)
        AnswerPlace(index, id, request);
    });
  };
  hooks.release_place = [this, index](const site_server& asked, uint64_t place,
                                      attempt_result result) {
    Post([this, index, id = asked.id, place, result] {
      server& item = servers_.at(id);
      const auto released =
          item.places.Release(now, "e" + std::to_string(index), place);
      if (released)
        item.monitor->OnPlaceReleased(now, *released, result);
    });
  };
  hooks.start_attempt = [this, index](uint64_t call, uint32_t number,
                                      const site_server& chosen,
                                      const attempt_headers&) {
    messages_.push_back(
        {now + kLatency, [this, index, call, number, id = chosen.id] {
           server& item = servers_.at(id);
           if (!IsUp(item)) {
             entries_[index].dispatch->OnExchangeEnd(
                 now, call, number, exchange_end::kNotConnected);
             return;
           }
           item.running.push_back({index, call, number, now, false});
         }});
  };
  hooks.abort_attempt = [this](uint64_t call) {
    for (auto& [id, item] : servers_) {
      std::erase_if(item.running, [&](const running_attempt& attempt) {
        return attempt.call == call;
      });
    }
  };
  hooks.begin_stream = [](uint64_t) {};
  hooks.send_events = [](uint64_t, std::string_view) {};
  hooks.end_stream = [this](uint64_t call) {
    CountAll(call, &part_outcomes::answered);
  };
  hooks.answer = [](uint64_t, std::string_view) {};
  hooks.send_refusal = [this](uint64_t call, const refusal_answer&) {
    CountAll(call, &part_outcomes::refused);
  };
  hooks.abort_stream = [this](uint64_t call) {
    CountAll(call, &part_outcomes::refused);
  };
  hooks.log = [](log_event, const std::string&) {};
  hooks.count = [](const std::string&) {};
  hooks.record_duration = [](const std::string&, duration) {};
  return hooks;
}

void fake_crash_fleet::Post(std::function<void()> deliver) {
  if (std::uniform_real_distribution<>(0, 1)(random_) >= loss)
    messages_.push_back({now + kLatency, std::move(deliver)});
}

void fake_crash_fleet::AnswerPlace(size_t index,
                                   const std::string& id,
                                   const place_request& request) {
  server& item = servers_.at(id);
  const std::string asker = "e" + std::to_string(index);
  const trait_verdict verdict = item.monitor->Judge(now, asker, request.traits);
  place_reply reply;
  if (verdict.quarantined) {
    reply = {.is_quarantined = true, .quarantined_trait = *verdict.quarantined};
  } else {
    place_request asked = request;
    asked.entry = asker;
    reply = item.places.RequestPlace(now, asked);
    reply.is_suspect = verdict.is_suspect;
  }
  reply.weights.version = kVersion;
  Post([this, index, call = request.call, reply] {
    entries_[index].dispatch->OnPlaceReply(now, call, reply);
  });
}

bool fake_crash_fleet::IsDeadly(uint64_t call) const {
  const auto& parts = parts_.at(call);
  return std::any_of(parts.begin(), parts.end(),
                     [this](uint64_t part) { return deadly.contains(part); });
}

void fake_crash_fleet::CountAll(uint64_t call, size_t part_outcomes::*counter) {
  for (uint64_t part : parts_.at(call))
    ++(outcomes[part].*counter);
}

void fake_crash_fleet::Crash(const std::string& id) {
  server& item = servers_.at(id);
  crashes.push_back(now);
  item.down_until = now + kDownTime;
  item.was_restarted = true;
  const auto aborted = std::move(item.running);
  item.running.clear();
  for (const running_attempt& attempt : aborted) {
    entries_[attempt.entry].dispatch->OnExchangeEnd(
        now, attempt.call, attempt.number, exchange_end::kBroken);
  }
}

void fake_crash_fleet::RunServer(const std::string& id, server* item) {
  for (size_t i = 0; i < item->running.size(); ++i) {
    running_attempt& attempt = item->running[i];
    if (attempt.has_begun || now - attempt.started_at < kFirstEvent)
      continue;
    attempt.has_begun = true;
    for (uint64_t part : parts_.at(attempt.call))
      outcomes[part].begun.push_back(now);
    if (IsDeadly(attempt.call))
      return Crash(id);
    call_dispatch& dispatch = *entries_[attempt.entry].dispatch;
    dispatch.OnAnswerHead(now, attempt.call, attempt.number,
                          {.status = 200, .is_sealed = true}, true);
    dispatch.OnAnswerBody(now, attempt.call, attempt.number, "id:1\ndata\n\n");
  }
  std::vector<running_attempt> finished;
  std::erase_if(item->running, [&](const running_attempt& attempt) {
    if (now - attempt.started_at < kWholeAnswer)
      return false;
    finished.push_back(attempt);
    return true;
  });
  for (const running_attempt& attempt : finished) {
    call_dispatch& dispatch = *entries_[attempt.entry].dispatch;
    dispatch.OnAnswerBody(now, attempt.call, attempt.number, "id:2\ndata\n\n");
    dispatch.OnExchangeEnd(now, attempt.call, attempt.number,
                           exchange_end::kComplete);
  }
}

void fake_crash_fleet::Send(const std::vector<uint64_t>& parts) {
  const uint64_t id = next_call_++;
  parts_[id] = parts;
  CountAll(id, &part_outcomes::sent);
  caller_call call{.id = "",
                   .host = "models",
                   .key = "key",
                   .time_left = milliseconds(6000),
                   .model = "model",
                   .prompt_tokens = 900};
  call.traits.request = fingerprint((1ULL << 40) + id);
  for (uint64_t part : parts)
    call.traits.parts.emplace_back(part);
  entries_[random_() % entries_.size()].dispatch->OnRequest(now, id, call, "/x",
                                                            now);
}

void fake_crash_fleet::SetTraffic(const std::vector<uint64_t>& parts,
                                  double rate) {
  std::erase_if(traffic_,
                [&](const traffic& item) { return item.parts == parts; });
  if (rate > 0)
    traffic_.push_back({parts, rate, 0});
}

void fake_crash_fleet::Run(milliseconds span) {
  const time_point until = now + span;
  while (now < until) {
    now += kTick;
    while (!messages_.empty() && messages_.front().at <= now) {
      const auto deliver = std::move(messages_.front().deliver);
      messages_.pop_front();
      deliver();
    }
    for (traffic& item : traffic_) {
      for (item.due += item.rate * 0.01; item.due >= 1; --item.due)
        Send(item.parts);
    }
    for (auto& [id, item] : servers_)
      RunServer(id, &item);
    const bool is_report_due =
        ToMs(now.time_since_epoch()) % kReportInterval.count() == 0;
    for (auto& [id, item] : servers_) {
      if (is_report_due) {
        const bool is_up = IsUp(item);
        const bool is_restarted = is_up && item.was_restarted;
        if (is_restarted) {
          item.was_restarted = false;
          item.places.OnEngineRestart(now);
        }
        item.places.SetAccepting(is_up);
        item.monitor->OnEngineReport(now, is_up, is_restarted);
        if (is_up) {
          item.places.OnReport(
              now, {.running = static_cast<uint32_t>(item.running.size())});
        }
      }
      item.monitor->RunDue(now);
    }
    for (entry& item : entries_) {
      item.dispatch->SetConfirmedAt(now);
      item.dispatch->RunDue(now);
    }
  }
}

}  // namespace fuchsiafall::tests
