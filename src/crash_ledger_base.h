/// @file crash_ledger_base.h Detection of requests, and of shared parts of
/// prompts, that crash engines.
#ifndef CRASH_LEDGER_BASE_H_
#define CRASH_LEDGER_BASE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "ids_type.h"
#include "request_traits_type.h"
#include "time_type.h"

namespace fuchsiafall {

/// Identifies a crash in all processes.
struct crash_id {
  std::string server;
  uint64_t incarnation = 0;  ///< Of the process that observed it.
  uint64_t ordinal = 0;      ///< Counts the crashes that it observed.
  auto operator<=>(const crash_id&) const = default;
};

struct crash_record {
  crash_id id;
  time_point at{};
  std::vector<request_traits> requests;  ///< Aborted by the crash.
};

struct quarantined_trait {
  fingerprint trait;
  time_point last_crash{};
  bool is_adopted = false;  ///< Decided by another process.
};

/// Question to other processes whether a part is sound.
struct quarantine_question {
  fingerprint part;
  time_point first_crash{};  ///< The first that counts against it.
};

struct crash_history_options {
  uint32_t request_crashes = 2;  ///< Crashes that quarantine a request.
  /// Crashes within this time after the first of them count as one against a
  /// whole request.
  milliseconds wave_time{0};
  uint32_t part_crashes = 3;  ///< Crashes that quarantine a part.
  /// Different requests with a part that its crashes must have aborted.
  uint32_t part_requests = 2;
  /// Time from the first crash, or from a question, in which other processes
  /// may report that a part is sound.
  milliseconds objection_time{400};
  /// Time after which a question to other processes is asked again.
  milliseconds question_time{2000};
  /// Time of answering requests after which an unknown part is a new one.
  seconds warm_up{3};
  /// Time without a full answer after which a part that was sound before counts
  /// as the cause of its crashes. Longer than most streams.
  milliseconds settle_time{4000};
  /// Requests without such a part that must have been answered meanwhile.
  size_t other_answers = 20;
  seconds retention{600};       ///< Time that a crash is remembered.
  seconds sound_retention{60};  ///< Time that a full answer is remembered.
  size_t max_crashes = 4096;
  size_t max_requests = 4096;  ///< In all crashes.
  size_t max_quarantined = 1024;
  size_t max_sound_parts = 8192;  ///< Remembered at least, if as many are seen.
};

/// Crashes of engines, with the requests that each of them aborted, and the
/// parts of prompts that were answered in full. The cause of a series of
/// crashes is a trait that takes part in each of them and in no full answer.
class crash_history {
 public:
  explicit crash_history(crash_history_options options) : options_(options) {}

  /// Adds a crash. A further record of a known crash adds its new requests.
  void AddCrash(time_point now, const crash_record& crash);
  /// Removes a crash that has turned out to be none.
  /// @return Traits that this releases from quarantine.
  std::vector<fingerprint> RemoveCrash(const crash_id& id);
  /// Returns when a known crash happened.
  std::optional<time_point> CrashedAt(const crash_id& id) const;
  /// Records that a request was answered in full.
  /// @return Traits that it releases from quarantine.
  std::vector<fingerprint> OnAnswered(time_point now,
                                      time_point granted_at,
                                      const request_traits& traits);
  /// Records that a request with a trait was answered in full.
  /// @return Whether this releases the trait from quarantine.
  bool OnSound(time_point now, fingerprint trait, time_point granted_at);
  /// Adopts a quarantine decided by another process.
  /// @return Whether it is new here.
  bool Adopt(time_point now,
             const quarantined_trait& item,
             time_point expires_at);
  /// Returns parts that were sound before and would be quarantined now. Others
  /// may have answered requests with them since their crashes, so they are to
  /// be asked before Decide() quarantines these parts.
  std::vector<quarantine_question> TakeQuestions(time_point now);
  /// Decides which traits to quarantine.
  /// @return Those newly quarantined.
  std::vector<fingerprint> Decide(time_point now);

  /// Returns the trait because of which a request must not run.
  std::optional<fingerprint> FindQuarantined(
      time_point now,
      const request_traits& traits) const;
  /// Whether a part of the request took part in a crash and, as far as is
  /// known, in no full answer.
  bool IsSuspect(time_point now, const request_traits& traits) const;
  /// Returns when the latest request with a trait that was answered in full had
  /// been granted its place.
  std::optional<time_point> SoundAt(time_point now, fingerprint trait) const;
  std::vector<quarantined_trait> Quarantined(time_point now) const;
  /// Whether a trait of a known crash is a part of prompts.
  bool IsPart(fingerprint trait) const;
  /// Number of crashes that count against a trait.
  size_t CrashesOf(time_point now, fingerprint trait) const;

 private:
  struct stored_crash {
    crash_record record;
    time_point received_at{};
    /// Quarantined part that this crash is attributed to.
    std::optional<fingerprint> culprit;
  };
  struct trait_state {
    std::vector<uint64_t> crashes;  ///< Keys of crashes_.
    std::optional<time_point> sound_at;
    std::optional<time_point> asked_at;  ///< When others were asked about it.
    bool is_part = false;
  };
  struct quarantine_state {
    time_point last_crash{};
    time_point expires_at{};
    bool is_adopted = false;
  };
  /// Crashes that count against a trait.
  struct evidence {
    uint32_t crashes = 0;
    uint32_t requests = 0;  ///< Aborted by these crashes.
    std::set<fingerprint> distinct_requests;
    time_point first_at = time_point::max();
    time_point first_received_at = time_point::max();
  };

  void Index(uint64_t key, const request_traits& traits);
  using crash_map = std::map<uint64_t, stored_crash>;
  void EraseCrash(crash_map::iterator crash);
  void RemoveExpired(time_point now);
  evidence EvidenceOf(fingerprint trait, const trait_state& state) const;
  /// Counts crashes, those of one wave as one.
  uint32_t CountWaves(std::vector<time_point> crashes) const;
  /// Whether a part takes part in enough crashes to be their cause.
  bool IsCandidate(const evidence& against) const;
  /// Whether a candidate is not known to be sound by earlier answers.
  bool IsNew(time_point now, fingerprint part) const {
    return IsWarm(now) && !SoundAt(now, part);
  }
  /// Whether other requests have been answered for so long that an answer with
  /// this part is missing.
  bool IsMissed(time_point now, const evidence& against) const;
  /// Whether the evidence suffices to quarantine a part.
  bool IsConclusive(time_point now,
                    fingerprint part,
                    const trait_state& state,
                    const evidence& against) const;
  std::optional<fingerprint> FindCulprit(time_point now) const;
  void QuarantinePart(time_point now, fingerprint part);
  void Quarantine(fingerprint trait,
                  time_point last_crash,
                  time_point expires_at,
                  bool is_adopted = false);
  bool Release(fingerprint trait);
  std::optional<time_point> LastSound(fingerprint trait) const;
  void RememberSound(time_point now, fingerprint part, time_point granted_at);
  bool IsWarm(time_point now) const {
    return first_answer_at_ && now - *first_answer_at_ >= options_.warm_up;
  }

  using sound_map = std::unordered_map<fingerprint, time_point>;

  crash_history_options options_;
  crash_map crashes_;                  ///< By order of arrival.
  std::map<crash_id, uint64_t> keys_;  ///< Of crashes_.
  uint64_t next_key_ = 1;
  size_t request_count_ = 0;                             ///< In crashes_.
  std::unordered_map<fingerprint, trait_state> traits_;  ///< Of crashes_.
  std::map<fingerprint, quarantine_state> quarantined_;
  /// Two generations; the older one is dropped when the newer one is full.
  sound_map sound_;
  sound_map older_sound_;
  time_point sound_since_{};  ///< Start of the newer generation.
  std::optional<time_point> first_answer_at_;
  /// When the last requests answered in full had been granted their places.
  std::deque<time_point> recent_grants_;
};

}  // namespace fuchsiafall

#endif  // CRASH_LEDGER_BASE_H_
