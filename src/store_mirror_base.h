/// @file store_mirror_base.h Copy of the platform's store, kept by listings and
/// a watch.
#ifndef STORE_MIRROR_BASE_H_
#define STORE_MIRROR_BASE_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "time_type.h"

namespace fuchsiafall {

/// Item of the store, or the word that it was deleted.
struct store_item {
  std::string key;
  std::string value;
  uint64_t revision = 0;
  bool is_deleted = false;
};

/// Answer of the store to a listing or a watch.
struct store_answer {
  enum class status_type {
    kOk,
    kHistoryGone,  ///< The watch asked for history that is no longer kept.
    kRefused,      ///< The store turned the call away; nothing was done.
    kSilent,       ///< No answer, or none that can be read.
  };
  status_type status = status_type::kSilent;
  std::vector<store_item> items;
  bool has_more = false;  ///< Whether a listing has another page.
  uint64_t revision = 0;  ///< Of the store.
  /// Of answers that a relay gives: age of its own last sound word.
  milliseconds sound_age{0};
  /// For how long the call was held before it was answered, so that the answer
  /// is known to be that much younger than the call.
  milliseconds held{0};
};

/// Call that the mirror wants made.
struct store_call {
  enum class kind_type { kList, kWatch };
  kind_type kind = kind_type::kList;
  std::string prefix;           ///< Of listings: of the keys to be listed.
  bool may_be_stale = false;    ///< Of listings: may be some seconds old.
  std::string after_key;        ///< Of listings: where the page begins.
  uint64_t after_revision = 0;  ///< Of watches.
  milliseconds wait{0};         ///< Of watches: longest time without news.
};

struct store_mirror_options {
  /// Longest wait of a watch. Two of them in a row, at the worst, are the age
  /// of the last sound word.
  milliseconds watch{500};
  /// Longest wait of a watch at a relay, which costs the store nothing.
  milliseconds relayed_watch{400};
  /// Least time between two answers, so that a storm is read in batches.
  milliseconds spacing{250};
  /// Between two listings while changes come in a storm. A watch tells every
  /// version of an item that changed, a listing only the last one.
  milliseconds storm_spacing{350};
  /// Bytes a second that listings take in a storm: two relays leave room for
  /// requests on a link between regions of 20 Mbit/s.
  double storm_rate = 500000;
  /// Size from which an item that changes again and again makes a storm.
  size_t storm_item = 8192;
  /// After a call that failed. Short, since a machine that is reachable again
  /// has to know within seconds what it missed.
  milliseconds backoff{200};
  milliseconds most_backoff{600};
  /// When all entries lapsed while the store was away, those still missing
  /// after this time count as gone; what lives has written its own again by
  /// then.
  milliseconds lapse{1800};
  /// Share of a directory's entries that must be missing for a lapse. A few
  /// that are missing were removed, and count as gone at once.
  double lapsed_share = 0.5;
};

/// Decides which calls to make, and what the store holds by their answers.
class store_mirror {
 public:
  explicit store_mirror(store_mirror_options options) : options_(options) {}

  /// Chooses the next call; none while one is on its way or a pause lasts.
  /// @param is_relayed Whether a relay of the own domain is asked.
  std::optional<store_call> NextCall(time_point now, bool is_relayed = false);
  /// Takes the answer to the last call.
  /// @return Whether what is believed has changed.
  bool OnAnswer(time_point now, const store_answer& answer);
  /// Drops the call on its way, whose source has nothing to tell; another
  /// source may be asked at once.
  void Withdraw(time_point now) {
    is_waiting_ = false;
    next_at_ = now;
  }
  /// Drops missing entries whose time to come back is over.
  /// @return Whether any was dropped.
  bool Step(time_point now);

  /// Whether a first whole listing has been read.
  bool IsKnown() const { return is_known_; }
  const std::map<std::string, store_item>& Items() const { return items_; }
  uint64_t Revision() const { return revision_; }
  /// Time up to which the store is known to have held nothing else: when the
  /// last call that was answered had been sent.
  time_point SoundAt() const { return sound_at_; }
  /// Time up to which the store is known not to have held the last news yet.
  time_point NewsAfter() const { return news_after_; }
  bool IsReachable() const { return failures_ == 0; }
  time_point NextCallAt() const { return next_at_; }

 private:
  void Apply(const store_item& item);
  void Remove(time_point now, const std::vector<store_item>& gone);
  void FinishListing(time_point now);
  bool MayHaveLapsed(time_point now) const;
  bool IsStorm(const std::vector<store_item>& news) const;
  void BeginListing();
  /// Has listings stand in for the watch, paced by the size of all items.
  void BeginStorm(time_point now);

  store_mirror_options options_;
  std::map<std::string, store_item> items_;
  std::map<std::string, store_item> listed_;  ///< By the pages read so far.
  std::set<std::string> missing_;             ///< Keys that may have lapsed.
  uint64_t revision_ = 0;
  uint64_t listing_revision_ = 0;  ///< Of the first page.
  time_point listing_sent_at_{};   ///< When the first page was asked for.
  std::string after_key_;
  bool is_known_ = false;
  bool is_listing_ = true;
  bool is_storm_ = false;        ///< Whether listings stand in for the watch.
  bool has_large_news_ = false;  ///< Whether the present listing has.
  bool is_waiting_ = false;      ///< Whether a call is on its way.
  uint32_t failures_ = 0;        ///< Failed calls in a row.
  time_point sent_at_{};
  time_point next_at_{};
  time_point sound_at_{};
  time_point news_after_{};
  time_point away_until_{};  ///< When the store last came back.
};

}  // namespace fuchsiafall

#endif  // STORE_MIRROR_BASE_H_
