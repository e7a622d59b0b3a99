/// @file crash_monitor.cc Crashes of an agent's own engine, and the exchange of
/// crashes with other processes.
#include "crash_monitor_base.h"

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <set>

#include "envelope_func.h"

namespace fuchsiafall {

namespace {

std::string Hex(fingerprint trait) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(trait.value));
  return text;
}

uint32_t AgeMs(time_point now, time_point at) {
  return static_cast<uint32_t>(std::max<int64_t>(0, ToMs(now - at)));
}

void AddTrait(proto::crash_note::trait_age* item,
              fingerprint trait,
              uint32_t age_ms) {
  item->set_trait(trait.value);
  item->set_age_ms(age_ms);
}

std::vector<fingerprint> PartsOf(const crash_record& crash) {
  std::vector<fingerprint> parts;
  for (const request_traits& request : crash.requests)
    parts.insert(parts.end(), request.parts.begin(), request.parts.end());
  std::sort(parts.begin(), parts.end());
  parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
  return parts;
}

}  // namespace

std::optional<crash_record> ReadCrash(time_point now,
                                      const proto::envelope& message) {
  const proto::crash_note& note = message.crash_note();
  if (note.ordinal() == 0)
    return std::nullopt;
  const bool is_own = note.server().empty();
  crash_record crash{.id = {.server = is_own ? message.vm() : note.server(),
                            .incarnation = is_own ? message.incarnation()
                                                  : note.server_incarnation(),
                            .ordinal = note.ordinal()},
                     .at = now - milliseconds(note.age_ms())};
  for (const auto& request : note.requests()) {
    request_traits& added = crash.requests.emplace_back();
    added.request = fingerprint(request.fingerprint());
    for (uint64_t part : request.parts())
      added.parts.emplace_back(part);
  }
  return crash;
}

crash_monitor::crash_monitor(crash_monitor_options options,
                             crash_monitor_hooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      history_(options_.history),
      random_(options_.seed) {}

void crash_monitor::SetPeers(time_point now,
                             const std::vector<std::string>& peers) {
  for (auto& [address, forgotten_at] : peers_) {
    forgotten_at = std::min(forgotten_at, now + options_.history.retention);
  }
  for (const std::string& address : peers)
    peers_[address] = time_point::max();
}

trait_verdict crash_monitor::Judge(time_point now,
                                   const std::string& entry,
                                   const request_traits& traits) {
  if (entries_.size() < options_.max_entries || entries_.contains(entry))
    entries_[entry] = now;
  return {.quarantined = history_.FindQuarantined(now, traits),
          .is_suspect = history_.IsSuspect(now, traits)};
}

void crash_monitor::OnAnswered(time_point now, const released_place& place) {
  const auto released =
      history_.OnAnswered(now, place.granted_at, place.traits);
  if (!released.empty())
    SendReleased(now, released);
}

void crash_monitor::OnPlaceReleased(time_point now,
                                    const released_place& place,
                                    attempt_result result) {
  if (result == attempt_result::kAnswered)
    return OnAnswered(now, place);
  if (result == attempt_result::kOther)
    return;
  if (!own_crashes_.empty()) {
    own_crash& last = own_crashes_.back();
    const bool is_late = now - last.observed_at <= options_.late_window &&
                         place.granted_at < last.observed_at;
    if (is_down_ || is_late) {
      last.record.requests.push_back(place.traits);
      history_.AddCrash(now, last.record);
      return;
    }
  }
  ended_.push_back({.at = now,
                    .place = place,
                    .was_closed = result == attempt_result::kClosed});
  if (ended_.size() > options_.max_ended)
    ended_.pop_front();
}

void crash_monitor::OnEngineReport(time_point now,
                                   bool is_reachable,
                                   bool is_restarted) {
  if (is_restarted && !is_down_) {
    AddCrash(now, options_.restart_window);
  } else if (!is_reachable && !is_down_) {
    AddCrash(now, options_.unreachable_window);
  } else if (is_reachable && !is_restarted) {
    OnEngineAlive(now);
  }
  if (is_reachable)
    is_down_ = false;
}

void crash_monitor::OnEngineAlive(time_point now) {
  std::erase_if(ended_, [&](const ended_attempt& attempt) {
    const duration age = now - attempt.at;
    if (!attempt.was_closed)
      return age > options_.restart_window;
    if (age < options_.alive_after)
      return false;
    OnAnswered(now, attempt.place);
    return true;
  });
}

void crash_monitor::AddCrash(time_point now, duration window) {
  own_crash crash{.observed_at = now};
  for (const ended_attempt& attempt : ended_) {
    if (now - attempt.at > window)
      continue;
    crash.record.requests.push_back(attempt.place.traits);
    crash.record.at = attempt.at;
  }
  if (crash.record.requests.empty())
    return;
  ended_.clear();
  is_down_ = true;
  crash.record.id = {.server = options_.self.value,
                     .incarnation = options_.own_incarnation.value,
                     .ordinal = next_ordinal_++};
  hooks_.count("engine_crashes");
  hooks_.log(log_event::kEngineCrashed,
             "crash=" + std::to_string(crash.record.id.ordinal) +
                 " requests=" + std::to_string(crash.record.requests.size()) +
                 " parts=" + std::to_string(PartsOf(crash.record).size()) +
                 " after_ms=" + std::to_string(ToMs(now - crash.record.at)));
  history_.AddCrash(now, crash.record);
  SendCrash(now, crash);
  own_crashes_.push_back(std::move(crash));
  Decide(now);
}

void crash_monitor::ReportCrash(time_point now, const crash_record& crash) {
  history_.AddCrash(now, crash);
  auto known = std::find_if(
      own_crashes_.begin(), own_crashes_.end(),
      [&](const own_crash& item) { return item.record.id == crash.id; });
  if (known != own_crashes_.end()) {
    auto& requests = known->record.requests;
    requests.insert(requests.end(), crash.requests.begin(),
                    crash.requests.end());
    known->sent = 0;
  } else {
    hooks_.count("servers_crashed");
    hooks_.log(log_event::kServerCrashed,
               "server=" + crash.id.server +
                   " requests=" + std::to_string(crash.requests.size()) +
                   " after_ms=" + std::to_string(ToMs(now - crash.at)));
    own_crashes_.push_back({.record = crash, .observed_at = now});
    SendCrash(now, own_crashes_.back());
  }
  Decide(now);
}

void crash_monitor::WithdrawCrash(time_point now, const crash_id& id) {
  std::erase_if(own_crashes_,
                [&](const own_crash& item) { return item.record.id == id; });
  hooks_.count("crashes_withdrawn");
  for (const fingerprint& trait : history_.RemoveCrash(id)) {
    hooks_.count("quarantines_released");
    hooks_.log(log_event::kQuarantineReleased, "trait=" + Hex(trait));
  }
  Decide(now);
}

void crash_monitor::OnAnswered(time_point now,
                               time_point granted_at,
                               const request_traits& traits) {
  const bool was_suspect = history_.CrashesOf(now, traits.request) > 0;
  const auto released = history_.OnAnswered(now, granted_at, traits);
  if (!released.empty())
    return SendReleased(now, released);
  if (!was_suspect || history_.CrashesOf(now, traits.request) > 0)
    return;
  for (const auto& [peer, forgotten_at] : peers_)
    SendSound(now, peer, {traits.request});
}

void crash_monitor::SendCrash(time_point now, const own_crash& crash) {
  proto::envelope message =
      MakeEnvelope(options_.self, options_.own_incarnation);
  proto::crash_note* note = message.mutable_crash_note();
  note->set_ordinal(crash.record.id.ordinal);
  if (crash.record.id.server != options_.self.value) {
    note->set_server(crash.record.id.server);
    note->set_server_incarnation(crash.record.id.incarnation);
  }
  note->set_age_ms(AgeMs(now, crash.record.at));
  for (const request_traits& request : crash.record.requests) {
    if (static_cast<size_t>(note->requests_size()) ==
        options_.max_requests_sent)
      break;
    auto* added = note->add_requests();
    added->set_fingerprint(request.request.value);
    for (const fingerprint& part : request.parts)
      added->add_parts(part.value);
  }
  for (const fingerprint& part : PartsOf(crash.record)) {
    if (auto at = history_.SoundAt(now, part))
      AddTrait(note->add_sound(), part, AgeMs(now, *at));
  }
  for (const auto& [peer, forgotten_at] : peers_)
    hooks_.send(peer, message);
}

void crash_monitor::SendSound(time_point now,
                              const std::string& to,
                              const std::vector<fingerprint>& traits) {
  if (traits.empty())
    return;
  proto::envelope message =
      MakeEnvelope(options_.self, options_.own_incarnation);
  for (const fingerprint& trait : traits) {
    if (auto at = history_.SoundAt(now, trait)) {
      AddTrait(message.mutable_crash_note()->add_sound(), trait,
               AgeMs(now, *at));
    }
  }
  hooks_.send(to, message);
}

void crash_monitor::SendReleased(time_point now,
                                 const std::vector<fingerprint>& traits) {
  for (const fingerprint& trait : traits) {
    hooks_.count("quarantines_released");
    hooks_.log(log_event::kQuarantineReleased, "trait=" + Hex(trait));
  }
  for (const auto& [peer, forgotten_at] : peers_)
    SendSound(now, peer, traits);
}

void crash_monitor::OnMessage(time_point now,
                              const std::string& from,
                              const proto::envelope& message) {
  const proto::crash_note& note = message.crash_note();
  for (const auto& item : note.sound()) {
    const fingerprint trait(item.trait());
    if (history_.OnSound(now, trait, now - milliseconds(item.age_ms())))
      hooks_.log(log_event::kQuarantineReleased, "trait=" + Hex(trait));
  }
  OnCrash(now, from, message);
  OnQuarantined(now, from, note);
  OnQuestions(now, from, note);
  Decide(now);
}

void crash_monitor::Ask(time_point now) {
  const auto questions = history_.TakeQuestions(now);
  if (questions.empty())
    return;
  proto::envelope message =
      MakeEnvelope(options_.self, options_.own_incarnation);
  for (const quarantine_question& question : questions) {
    AddTrait(message.mutable_crash_note()->add_questions(), question.part,
             AgeMs(now, question.first_crash));
  }
  for (const auto& [peer, forgotten_at] : peers_)
    hooks_.send(peer, message);
}

void crash_monitor::OnQuestions(time_point now,
                                const std::string& from,
                                const proto::crash_note& note) {
  std::vector<fingerprint> sound;
  for (const auto& item : note.questions()) {
    const auto sound_at = history_.SoundAt(now, fingerprint(item.trait()));
    if (sound_at && *sound_at > now - milliseconds(item.age_ms()))
      sound.emplace_back(item.trait());
  }
  SendSound(now, from, sound);
}

void crash_monitor::OnCrash(time_point now,
                            const std::string& from,
                            const proto::envelope& message) {
  const proto::crash_note& note = message.crash_note();
  const auto read = ReadCrash(now, message);
  if (!read || now - read->at > options_.history.retention)
    return;
  const crash_record& crash = *read;
  history_.AddCrash(now, crash);
  std::set<uint64_t> known_sound;
  for (const auto& item : note.sound())
    known_sound.insert(item.trait());
  // The sender did not know that these parts are sound, and tells all others.
  std::vector<fingerprint> objections;
  for (const fingerprint& part : PartsOf(crash)) {
    if (!known_sound.contains(part.value) && history_.SoundAt(now, part))
      objections.push_back(part);
  }
  SendSound(now, from, objections);
}

void crash_monitor::OnQuarantined(time_point now,
                                  const std::string& from,
                                  const proto::crash_note& note) {
  std::vector<fingerprint> objections;
  for (const auto& item : note.quarantined()) {
    const quarantined_trait received{
        .trait = fingerprint(item.trait()),
        .last_crash = now - milliseconds(item.age_ms())};
    const auto sound_at = history_.SoundAt(now, received.trait);
    if (sound_at && *sound_at > received.last_crash) {
      objections.push_back(received.trait);
    } else if (history_.Adopt(now, received,
                              AdoptedUntil(now, received.last_crash))) {
      hooks_.count("quarantines_adopted");
      hooks_.log(log_event::kRequestQuarantined,
                 "trait=" + Hex(received.trait) + " from=" + from);
    }
  }
  SendSound(now, from, objections);
}

time_point crash_monitor::AdoptedUntil(time_point now,
                                       time_point last_crash) const {
  if (options_.adopted_time.count() > 0)
    return now + options_.adopted_time;
  return last_crash + options_.history.retention;
}

void crash_monitor::Decide(time_point now) {
  const auto decided = history_.Decide(now);
  for (const fingerprint& trait : decided) {
    hooks_.count("quarantines");
    hooks_.log(log_event::kRequestQuarantined,
               "trait=" + Hex(trait) +
                   " of=" + (history_.IsPart(trait) ? "part" : "request"));
  }
  if (!decided.empty())
    gossip_at_ = now;
}

void crash_monitor::Gossip(time_point now) {
  std::erase_if(entries_, [&](const auto& item) {
    return now - item.second > options_.entry_retention;
  });
  std::erase_if(peers_, [&](const auto& item) { return now >= item.second; });
  auto quarantined = history_.Quarantined(now);
  if (options_.adopted_time.count() > 0)
    std::erase_if(quarantined,
                  [](const auto& item) { return item.is_adopted; });
  if (quarantined.empty())
    return;
  proto::envelope message =
      MakeEnvelope(options_.self, options_.own_incarnation);
  std::vector<quarantined_trait> sent;
  std::sample(quarantined.begin(), quarantined.end(), std::back_inserter(sent),
              options_.max_requests_sent, random_);
  for (const quarantined_trait& item : sent) {
    AddTrait(message.mutable_crash_note()->add_quarantined(), item.trait,
             AgeMs(now, item.last_crash));
  }
  std::vector<std::string> peers;
  for (const auto& [peer, forgotten_at] : peers_)
    peers.push_back(peer);
  for (const auto& [entry, at] : entries_)
    peers.push_back(entry);
  std::vector<std::string> chosen;
  std::sample(peers.begin(), peers.end(), std::back_inserter(chosen),
              options_.gossip_peers, random_);
  for (const std::string& peer : chosen)
    hooks_.send(peer, message);
}

void crash_monitor::RunDue(time_point now) {
  for (own_crash& crash : own_crashes_) {
    if (crash.sent < options_.resend_after.size() &&
        now - crash.observed_at >= options_.resend_after[crash.sent]) {
      ++crash.sent;
      SendCrash(now, crash);
    }
  }
  while (!own_crashes_.empty() && !is_down_ &&
         now - own_crashes_.front().observed_at > options_.late_window) {
    own_crashes_.pop_front();
  }
  Ask(now);
  Decide(now);
  if (now >= gossip_at_) {
    gossip_at_ = now + options_.gossip_interval;
    Gossip(now);
  }
}

}  // namespace fuchsiafall
