/// @file mirror_series_test.cc Drawn series of changes, outages, lost answers
/// and changes of source against processes that mirror the store, in virtual
/// time.
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <random>

#include "mirror_relay_base.h"

namespace fuchsiafall::tests {

namespace {

using status_type = store_answer::status_type;

const time_point kStart{std::chrono::hours(1)};
constexpr size_t kRelays = 3;
constexpr size_t kProcesses = 6;
/// Confirmed age from which a relay's answer is used, but another source asked.
constexpr milliseconds kMaxRelayAge{1100};

/// Content of the store at all revisions that it has had.
class fake_history {
 public:
  void Write(const std::string& key, bool is_deleted) {
    if (is_deleted && !ValueAt(key, revision_))
      return;
    ++revision_;
    events_.push_back({.key = key,
                       .value = is_deleted ? "" : std::to_string(revision_),
                       .revision = revision_,
                       .is_deleted = is_deleted});
  }
  uint64_t Revision() const { return revision_; }
  std::optional<std::string> ValueAt(const std::string& key,
                                     uint64_t revision) const {
    std::optional<std::string> value;
    for (const store_item& event : events_) {
      if (event.key == key && event.revision.number <= revision)
        value = event.is_deleted ? std::nullopt : std::optional(event.value);
    }
    return value;
  }
  /// First revision from a given one on at which an item had that value.
  std::optional<uint64_t> FindRevision(const std::string& key,
                                       const std::optional<std::string>& value,
                                       uint64_t from) const {
    for (uint64_t at = from; at <= revision_; ++at) {
      if (ValueAt(key, at) == value)
        return at;
    }
    return std::nullopt;
  }
  store_answer Answer(const store_call& call, size_t page_size) const {
    store_answer answer{.status = status_type::kOk, .revision = {1, revision_}};
    if (call.kind == store_call::kind_type::kWatch) {
      for (const store_item& event : events_) {
        if (event.revision.number > call.after_revision.number)
          answer.items.push_back(event);
      }
      return answer;
    }
    std::map<std::string, store_item> present;
    for (const store_item& event : events_) {
      present.erase(event.key);
      if (!event.is_deleted && event.key > call.after_key)
        present[event.key] = event;
    }
    for (const auto& [key, item] : present) {
      answer.has_more = answer.items.size() == page_size;
      if (answer.has_more)
        break;
      answer.items.push_back(item);
    }
    return answer;
  }

 private:
  uint64_t revision_ = 0;
  std::vector<store_item> events_;
};

/// One series, drawn from a seed.
class mirror_series {
 public:
  explicit mirror_series(uint64_t seed) : random_(seed) {
    for (int i = 0; i < 6; ++i)
      keys_.push_back("servers/s" + std::to_string(i));
    keys_.insert(keys_.end(), {"op/config", "op/evacuate/z", "relays/r"});
    for (const std::string& key : keys_)
      store_.Write(key, false);
    for (size_t i = 0; i < kProcesses; ++i)
      processes_.push_back(std::make_unique<process>());
    page_size_ = Draw(2) == 0 ? 3 : 100;
  }

  /// @return What went wrong first; empty if nothing did.
  std::string Run() {
    for (size_t i = 0; i < kProcesses; ++i)
      RunProcess(i, processes_[i]->life);
    At(milliseconds(50), [this] { Disturb(); });
    while (!events_.empty() && failure_.empty() &&
           events_.begin()->first < kStart + kEnd) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    for (size_t i = 0; i < kProcesses && failure_.empty(); ++i)
      CheckEnd(i);
    return failure_;
  }

 private:
  struct process {
    store_mirror mirror{{}};
    mirror_relay relay;
    std::string source;
    time_point frozen_until{};
    uint64_t life = 0;          ///< Calls of an earlier one are forgotten.
    uint64_t relayed_call = 0;  ///< Number of the one in flight; 0 for none.
    /// Lowest revision of which the item may be.
    std::map<std::string, uint64_t> seen;
  };

  struct relayed_call {
    size_t reader;
    uint64_t life;  ///< Of the reader.
    uint64_t number;
    size_t source;
    store_call call;
    time_point until;
  };

  uint64_t Draw(uint64_t bound) { return random_() % bound; }
  void At(milliseconds delay, std::function<void()> action) {
    events_.emplace(now_ + delay, std::move(action));
  }
  /// Runs an action in a process, after its pause if it is paused.
  void In(size_t i,
          uint64_t life,
          milliseconds delay,
          const std::function<void()>& action) {
    At(delay, [this, i, life, action] {
      process& it = *processes_[i];
      if (it.life != life)
        return;
      if (now_ < it.frozen_until) {
        events_.emplace(it.frozen_until, [this, i, life, action] {
          if (processes_[i]->life == life)
            action();
        });
      } else {
        action();
      }
    });
  }

  /// Changes an item, or brings about a fault, a few times a second.
  void Disturb() {
    At(milliseconds(20 + Draw(150)), [this] { Disturb(); });
    if (now_ >= kStart + kCalm) {
      silent_.clear();
      return;
    }
    const uint64_t kind = Draw(20);
    const size_t i = Draw(kProcesses);
    if (kind < 12)
      store_.Write(keys_[Draw(keys_.size())], Draw(3) == 0);
    else if (kind == 12)
      processes_[i]->frozen_until = now_ + milliseconds(Draw(6000));
    else if (kind == 13 && Draw(3) == 0)
      Restart(i);
    else if (kind < 16)
      silent_[i] = now_ + milliseconds(Draw(4000));
    else if (kind == 16)
      slow_until_ = now_ + milliseconds(Draw(3000));
    else if (kind == 17 && Draw(3) == 0)
      BeginOutage();
  }

  void Restart(size_t i) {
    const uint64_t life = processes_[i]->life + 1;
    processes_[i] = std::make_unique<process>();
    processes_[i]->life = life;
    RunProcess(i, life);
  }

  /// All leases lapse while nobody reaches the store; most servers write their
  /// items again after it.
  void BeginOutage() {
    const milliseconds length(500 + Draw(1500));
    for (size_t i = 0; i < kProcesses; ++i)
      silent_[i] = now_ + length;
    for (int i = 0; i < 6; ++i) {
      const std::string key = keys_[i];
      if (Draw(5) > 0)
        At(length / 2, [this, key] { store_.Write(key, true); });
      if (Draw(2) == 0)
        At(length + milliseconds(Draw(1200)),
           [this, key] { store_.Write(key, false); });
    }
  }

  void RunProcess(size_t i, uint64_t life) {
    process& it = *processes_[i];
    if (it.mirror.RunDue(now_))
      Publish(i);
    const size_t candidates = std::min(i, kRelays);
    const bool is_changed = it.source.empty() || Draw(5) == 0;
    size_t source = is_changed ? Draw(candidates + 1) : candidates;
    if (!is_changed && it.source != "store")
      source = std::stoul(it.source);
    const bool is_relayed = source < candidates;
    const std::string name = is_relayed ? std::to_string(source) : "store";
    const auto call = it.mirror.NextCall(now_, is_relayed, name != it.source);
    if (call)
      it.source = name;
    if (call && is_relayed)
      CallRelay(i, life, source, *call);
    else if (call)
      CallStore(i, life, *call);
    In(i, life, milliseconds(50), [this, i, life] { RunProcess(i, life); });
  }

  milliseconds DrawDelay(bool to_store) {
    const bool is_slow = to_store && now_ < slow_until_;
    return milliseconds(1 + Draw(is_slow ? 300 : 20));
  }

  void CallStore(size_t i, uint64_t life, const store_call& call) {
    At(DrawDelay(true), [this, i, life, call] {
      auto silent = silent_.find(i);
      const bool is_silent = silent != silent_.end() && now_ < silent->second;
      store_answer answer = store_.Answer(call, page_size_);
      if (is_silent)
        answer = {.status = i % 2 == 0 ? status_type::kRefused
                                       : status_type::kNoAnswer};
      In(i, life, DrawDelay(true), [this, i, answer] {
        processes_[i]->mirror.OnAnswer(now_, answer);
        Publish(i);
      });
    });
  }

  void CallRelay(size_t i,
                 uint64_t life,
                 size_t source,
                 const store_call& call) {
    const relayed_call made{.reader = i,
                            .life = life,
                            .number = ++calls_,
                            .source = source,
                            .call = call,
                            .until = now_ + call.wait};
    processes_[i]->relayed_call = made.number;
    In(source, processes_[source]->life, DrawDelay(false),
       [this, made] { AnswerAsRelay(made); });
    // The call is given up if there is no answer in time.
    In(i, life, call.wait + milliseconds(400), [this, made] {
      process& it = *processes_[made.reader];
      if (it.relayed_call != made.number)
        return;
      it.relayed_call = 0;
      it.mirror.CancelCall(now_);
      it.source.clear();
    });
  }

  void AnswerAsRelay(const relayed_call& made) {
    const process& from = *processes_[made.source];
    const store_revision after = made.call.after_revision;
    if (from.mirror.IsLoaded() && !from.relay.HasChanges(after) &&
        now_ < made.until) {
      In(made.source, from.life, milliseconds(25),
         [this, made] { AnswerAsRelay(made); });
      return;
    }
    store_answer answer{.status = status_type::kRefused};
    if (from.mirror.IsLoaded() && from.mirror.IsReachable() &&
        !from.relay.IsBehind(after)) {
      auto message = from.relay.Answer(now_, after);
      message.set_sound_age_ms(
          static_cast<uint32_t>(ToMs(now_ - from.mirror.ConfirmedAt())));
      answer = DecodeRelayAnswer(message);
    }
    In(made.reader, made.life, DrawDelay(false),
       [this, made, answer] { TakeRelayed(made, answer); });
  }

  void TakeRelayed(const relayed_call& made, const store_answer& answer) {
    process& it = *processes_[made.reader];
    if (it.relayed_call != made.number)
      return;
    it.relayed_call = 0;
    const bool is_failed =
        answer.status == status_type::kRefused || it.mirror.IsBehind(answer);
    if (!is_failed) {
      it.mirror.OnAnswer(now_, answer);
      Publish(made.reader);
    }
    if (is_failed || answer.confirmed_age > kMaxRelayAge) {
      it.mirror.CancelCall(now_);
      it.source.clear();
    }
  }

  /// Compares the content with what the store had, and hands it on.
  void Publish(size_t i) {
    process& it = *processes_[i];
    if (!it.mirror.IsLoaded())
      return;
    it.relay.Update(it.mirror);
    for (const std::string& key : keys_) {
      if (it.mirror.Kept().contains(key))
        continue;
      const auto held = ValueOf(it.mirror, key);
      uint64_t& seen = it.seen[key];
      const auto found = store_.FindRevision(
          key, held, std::max(seen, it.mirror.Revision().number));
      if (!found)
        return Fail(i, key, "is of no revision after " + std::to_string(seen));
      seen = *found;
    }
  }

  void CheckEnd(size_t i) {
    for (const std::string& key : keys_) {
      const auto held = ValueOf(processes_[i]->mirror, key);
      if (held != store_.ValueAt(key, store_.Revision()))
        return Fail(i, key, "differs at the end");
    }
  }

  static std::optional<std::string> ValueOf(const store_mirror& mirror,
                                            const std::string& key) {
    auto it = mirror.Items().find(key);
    return it == mirror.Items().end() ? std::nullopt
                                      : std::optional(it->second.value);
  }

  void Fail(size_t i, const std::string& key, const std::string& why) {
    const store_mirror& mirror = processes_[i]->mirror;
    failure_ = "process " + std::to_string(i) + " after " +
               std::to_string(ToMs(now_ - kStart)) + " ms at revision " +
               std::to_string(mirror.Revision().number) + ": " + key + "=" +
               ValueOf(mirror, key).value_or("none") + " " + why;
  }

  static constexpr seconds kCalm{12};  ///< When the last disturbance begins.
  static constexpr seconds kEnd{24};

  std::mt19937_64 random_;
  std::vector<std::string> keys_;
  fake_history store_;
  size_t page_size_ = 0;
  std::multimap<time_point, std::function<void()>> events_;
  time_point now_ = kStart;
  std::vector<std::unique_ptr<process>> processes_;
  uint64_t calls_ = 0;                   ///< To relays.
  std::map<size_t, time_point> silent_;  ///< Until when the store is, to whom.
  time_point slow_until_{};
  std::string failure_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(mirror_series_suite)

// Guards against content that no revision of the store had, and against items
// that come back after a process has taken them for removed.
BOOST_AUTO_TEST_CASE(no_series_takes_a_mirror_back) {
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    const std::string failure = mirror_series(seed).Run();
    BOOST_TEST(failure.empty(), "seed " << seed << ": " << failure);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
