/// @file crash_ledger.cc Detection of requests, and of shared parts of prompts,
/// that crash engines.
#include "crash_ledger_base.h"

#include <algorithm>
#include <tuple>

namespace fuchsiafall {

void crash_history::Index(uint64_t key, const request_traits& traits) {
  auto add = [&](fingerprint trait, bool is_part) {
    if (trait.value == 0)
      return;
    auto [it, is_new] = traits_.try_emplace(trait);
    trait_state& state = it->second;
    if (is_new) {
      state.is_part = is_part;
      state.sound_at = LastSound(trait);
    }
    if (state.crashes.empty() || state.crashes.back() != key)
      state.crashes.push_back(key);
  };
  add(traits.request, false);
  for (const fingerprint& part : traits.parts)
    add(part, true);
}

void crash_history::AddCrash(time_point now, const crash_record& crash) {
  RemoveExpired(now);
  auto [known, is_new] = keys_.try_emplace(crash.id, next_key_);
  if (is_new) {
    stored_crash& added = crashes_[next_key_++];
    added.record = {.id = crash.id, .at = crash.at, .requests = {}};
    added.received_at = now;
  }
  const uint64_t key = known->second;
  stored_crash& stored = crashes_.at(key);
  for (const request_traits& traits : crash.requests) {
    auto& requests = stored.record.requests;
    if (std::find(requests.begin(), requests.end(), traits) != requests.end())
      continue;
    requests.push_back(traits);
    ++request_count_;
    Index(key, traits);
    for (const fingerprint& part : traits.parts) {
      auto it = quarantined_.find(part);
      if (it == quarantined_.end())
        continue;
      stored.culprit = part;
      Quarantine(
          part, std::max(it->second.last_crash, crash.at),
          std::max(it->second.expires_at, crash.at + options_.retention));
    }
  }
  while (crashes_.size() > options_.max_crashes ||
         (request_count_ > options_.max_requests && crashes_.size() > 1)) {
    EraseCrash(crashes_.begin());
  }
}

void crash_history::EraseCrash(crash_map::iterator crash) {
  const crash_record& record = crash->second.record;
  request_count_ -= record.requests.size();
  keys_.erase(record.id);
  auto remove = [&](fingerprint trait) {
    auto it = traits_.find(trait);
    if (it == traits_.end())
      return;
    std::erase(it->second.crashes, crash->first);
    if (it->second.crashes.empty())
      traits_.erase(it);
  };
  for (const request_traits& traits : record.requests) {
    remove(traits.request);
    for (const fingerprint& part : traits.parts)
      remove(part);
  }
  crashes_.erase(crash);
}

std::vector<fingerprint> crash_history::RemoveCrash(const crash_id& id) {
  auto known = keys_.find(id);
  if (known == keys_.end())
    return {};
  auto crash = crashes_.find(known->second);
  const std::vector<request_traits> requests = crash->second.record.requests;
  EraseCrash(crash);
  std::vector<fingerprint> released;
  for (const request_traits& traits : requests) {
    auto state = traits_.find(traits.request);
    const bool is_still_suspect =
        state != traits_.end() &&
        EvidenceOf(traits.request, state->second).crashes >=
            options_.request_crashes;
    if (!is_still_suspect && Release(traits.request))
      released.push_back(traits.request);
  }
  return released;
}

std::optional<time_point> crash_history::CrashedAt(const crash_id& id) const {
  auto known = keys_.find(id);
  if (known == keys_.end())
    return std::nullopt;
  return crashes_.at(known->second).record.at;
}

void crash_history::RemoveExpired(time_point now) {
  while (!crashes_.empty() &&
         now - crashes_.begin()->second.received_at > options_.retention) {
    EraseCrash(crashes_.begin());
  }
  std::erase_if(quarantined_, [&](const auto& item) {
    return now >= item.second.expires_at;
  });
}

void crash_history::RememberSound(time_point now,
                                  fingerprint part,
                                  time_point granted_at) {
  if (sound_.size() >= options_.max_sound_parts ||
      now - sound_since_ > options_.sound_retention) {
    older_sound_ = std::move(sound_);
    sound_.clear();
    sound_since_ = now;
  }
  time_point& at = sound_[part];
  at = std::max(at, granted_at);
}

bool crash_history::OnSound(time_point now,
                            fingerprint trait,
                            time_point granted_at) {
  auto state = traits_.find(trait);
  if (state != traits_.end()) {
    auto& at = state->second.sound_at;
    at = std::max(at.value_or(granted_at), granted_at);
  }
  RememberSound(now, trait, granted_at);
  auto it = quarantined_.find(trait);
  return it != quarantined_.end() && granted_at > it->second.last_crash &&
         Release(trait);
}

std::vector<fingerprint> crash_history::OnAnswered(
    time_point now,
    time_point granted_at,
    const request_traits& traits) {
  if (!first_answer_at_)
    first_answer_at_ = now;
  recent_grants_.push_back(granted_at);
  if (recent_grants_.size() > options_.other_answers)
    recent_grants_.pop_front();
  std::vector<fingerprint> released;
  // Whole requests are mostly unique, so only suspects are worth remembering.
  if (traits_.contains(traits.request) &&
      OnSound(now, traits.request, granted_at)) {
    released.push_back(traits.request);
  }
  for (const fingerprint& part : traits.parts) {
    if (OnSound(now, part, granted_at))
      released.push_back(part);
  }
  return released;
}

std::optional<time_point> crash_history::LastSound(fingerprint trait) const {
  std::optional<time_point> at;
  for (const sound_map* generation : {&older_sound_, &sound_}) {
    if (auto it = generation->find(trait); it != generation->end())
      at = std::max(at.value_or(it->second), it->second);
  }
  return at;
}

std::optional<time_point> crash_history::SoundAt(time_point now,
                                                 fingerprint trait) const {
  const auto at = LastSound(trait);
  if (at && now - *at > options_.sound_retention)
    return std::nullopt;
  return at;
}

crash_history::evidence crash_history::EvidenceOf(
    fingerprint trait,
    const trait_state& state) const {
  evidence against;
  std::vector<time_point> times;
  for (uint64_t key : state.crashes) {
    const stored_crash& crash = crashes_.at(key);
    if (crash.culprit || (state.sound_at && crash.record.at < *state.sound_at))
      continue;
    times.push_back(crash.record.at);
    against.first_at = std::min(against.first_at, crash.record.at);
    against.first_received_at =
        std::min(against.first_received_at, crash.received_at);
    if (!state.is_part)
      continue;
    for (const request_traits& request : crash.record.requests) {
      const auto& parts = request.parts;
      if (std::find(parts.begin(), parts.end(), trait) == parts.end())
        continue;
      ++against.requests;
      against.distinct_requests.insert(request.request);
    }
  }
  against.crashes = state.is_part ? static_cast<uint32_t>(times.size())
                                  : CountWaves(std::move(times));
  return against;
}

uint32_t crash_history::CountWaves(std::vector<time_point> crashes) const {
  std::sort(crashes.begin(), crashes.end());
  uint32_t count = 0;
  time_point wave_end = time_point::min();
  for (const time_point at : crashes) {
    if (at <= wave_end && options_.wave_time.count() > 0)
      continue;
    ++count;
    wave_end = at + options_.wave_time;
  }
  return count;
}

bool crash_history::IsCandidate(const evidence& against) const {
  return against.crashes >= options_.part_crashes &&
         against.distinct_requests.size() >= options_.part_requests;
}

bool crash_history::IsMissed(time_point now, const evidence& against) const {
  // No answer since the first of these crashes was to a request with this part,
  // so the answers show that other requests are served.
  return now - against.first_at >= options_.settle_time &&
         recent_grants_.size() >= options_.other_answers &&
         *std::min_element(recent_grants_.begin(), recent_grants_.end()) >
             against.first_at;
}

bool crash_history::IsConclusive(time_point now,
                                 fingerprint part,
                                 const trait_state& state,
                                 const evidence& against) const {
  if (!IsCandidate(against))
    return false;
  if (IsNew(now, part))
    return now - against.first_received_at >= options_.objection_time;
  return state.asked_at && now - *state.asked_at >= options_.objection_time &&
         now - *state.asked_at < options_.question_time &&
         IsMissed(now, against);
}

std::vector<quarantine_question> crash_history::TakeQuestions(time_point now) {
  std::vector<quarantine_question> questions;
  for (auto& [trait, state] : traits_) {
    if (!state.is_part || state.crashes.size() < options_.part_crashes ||
        quarantined_.contains(trait) || IsNew(now, trait) ||
        (state.asked_at && now - *state.asked_at < options_.question_time)) {
      continue;
    }
    const evidence against = EvidenceOf(trait, state);
    if (!IsCandidate(against) || !IsMissed(now, against))
      continue;
    state.asked_at = now;
    questions.push_back({.part = trait, .first_crash = against.first_at});
  }
  return questions;
}

std::optional<fingerprint> crash_history::FindCulprit(time_point now) const {
  std::optional<fingerprint> culprit;
  std::tuple<bool, int64_t, uint32_t, fingerprint> best;
  for (const auto& [trait, state] : traits_) {
    if (!state.is_part || state.crashes.size() < options_.part_crashes ||
        quarantined_.contains(trait)) {
      continue;
    }
    const evidence against = EvidenceOf(trait, state);
    if (!IsConclusive(now, trait, state, against))
      continue;
    // Of parts in equally many crashes, a common one is in more of the requests
    // that they aborted.
    const std::tuple rank(SoundAt(now, trait).has_value(),
                          -static_cast<int64_t>(against.crashes),
                          against.requests, trait);
    if (!culprit || rank < best) {
      culprit = trait;
      best = rank;
    }
  }
  return culprit;
}

void crash_history::Quarantine(fingerprint trait,
                               time_point last_crash,
                               time_point expires_at,
                               bool is_adopted) {
  quarantined_[trait] = {.last_crash = last_crash,
                         .expires_at = expires_at,
                         .is_adopted = is_adopted};
  if (quarantined_.size() <= options_.max_quarantined)
    return;
  quarantined_.erase(std::min_element(quarantined_.begin(), quarantined_.end(),
                                      [](const auto& a, const auto& b) {
                                        return a.second.expires_at <
                                               b.second.expires_at;
                                      }));
}

void crash_history::QuarantinePart(time_point now, fingerprint part) {
  time_point last_crash{};
  auto state = traits_.find(part);
  if (state != traits_.end()) {
    for (uint64_t key : state->second.crashes) {
      stored_crash& crash = crashes_.at(key);
      crash.culprit = part;
      last_crash = std::max(last_crash, crash.record.at);
      // Whole requests in this crash were quarantined for it wrongly.
      for (const request_traits& request : crash.record.requests)
        quarantined_.erase(request.request);
    }
  }
  Quarantine(part, last_crash, now + options_.retention);
}

bool crash_history::Release(fingerprint trait) {
  if (quarantined_.erase(trait) == 0)
    return false;
  for (auto& [key, crash] : crashes_) {
    if (crash.culprit == trait)
      crash.culprit.reset();
  }
  return true;
}

bool crash_history::Adopt(time_point now,
                          const quarantined_trait& item,
                          time_point expires_at) {
  if (now >= expires_at)
    return false;
  auto known = quarantined_.find(item.trait);
  const bool is_new = known == quarantined_.end();
  auto state = traits_.find(item.trait);
  if (is_new && state != traits_.end() && state->second.is_part)
    QuarantinePart(now, item.trait);
  Quarantine(
      item.trait,
      std::max(item.last_crash,
               is_new ? time_point() : known->second.last_crash),
      std::max(expires_at, is_new ? time_point() : known->second.expires_at),
      is_new || known->second.is_adopted);
  return is_new;
}

std::vector<fingerprint> crash_history::Decide(time_point now) {
  RemoveExpired(now);
  std::vector<fingerprint> decided;
  while (auto culprit = FindCulprit(now)) {
    QuarantinePart(now, *culprit);
    decided.push_back(*culprit);
  }
  for (const auto& [trait, state] : traits_) {
    if (state.is_part || state.crashes.size() < options_.request_crashes)
      continue;
    auto known = quarantined_.find(trait);
    const bool is_adopted =
        known != quarantined_.end() && known->second.is_adopted;
    if (known != quarantined_.end() && !is_adopted)
      continue;
    if (EvidenceOf(trait, state).crashes < options_.request_crashes)
      continue;
    const time_point last_crash = crashes_.at(state.crashes.back()).record.at;
    Quarantine(trait, last_crash, last_crash + options_.retention);
    if (!is_adopted)
      decided.push_back(trait);
  }
  return decided;
}

std::optional<fingerprint> crash_history::FindQuarantined(
    time_point now,
    const request_traits& traits) const {
  auto is_quarantined = [&](fingerprint trait) {
    auto it = quarantined_.find(trait);
    return it != quarantined_.end() && now < it->second.expires_at;
  };
  for (const fingerprint& part : traits.parts) {
    if (is_quarantined(part))
      return part;
  }
  if (is_quarantined(traits.request))
    return traits.request;
  return std::nullopt;
}

bool crash_history::IsSuspect(time_point now,
                              const request_traits& traits) const {
  if (!IsWarm(now))
    return false;
  return std::any_of(traits.parts.begin(), traits.parts.end(),
                     [&](fingerprint part) {
                       return CrashesOf(now, part) > 0 && !SoundAt(now, part);
                     });
}

bool crash_history::IsPart(fingerprint trait) const {
  auto it = traits_.find(trait);
  return it != traits_.end() && it->second.is_part;
}

size_t crash_history::CrashesOf(time_point now, fingerprint trait) const {
  auto it = traits_.find(trait);
  if (it == traits_.end())
    return 0;
  return static_cast<size_t>(std::count_if(
      it->second.crashes.begin(), it->second.crashes.end(), [&](uint64_t key) {
        const stored_crash& crash = crashes_.at(key);
        return !crash.culprit &&
               now - crash.received_at <= options_.retention &&
               (!it->second.sound_at || crash.record.at > *it->second.sound_at);
      }));
}

std::vector<quarantined_trait> crash_history::Quarantined(
    time_point now) const {
  std::vector<quarantined_trait> items;
  for (const auto& [trait, state] : quarantined_) {
    if (now < state.expires_at)
      items.push_back({.trait = trait,
                       .last_crash = state.last_crash,
                       .is_adopted = state.is_adopted});
  }
  return items;
}

}  // namespace fuchsiafall
