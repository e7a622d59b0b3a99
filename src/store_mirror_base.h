/// @file store_mirror_base.h Local copy of the platform's store, maintained by
/// listings and watches.
#ifndef STORE_MIRROR_BASE_H_
#define STORE_MIRROR_BASE_H_

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "store_revision_type.h"
#include "time_type.h"

namespace fuchsiafall {

/// Item of the store, or a notice that it was deleted.
struct store_item {
  std::string key;
  std::string value;
  store_revision revision;
  bool is_deleted = false;
  /// Answers of relays: maximum age of the change at the relay's last confirmed
  /// read of the store; nullopt if the relay does not know it.
  std::optional<milliseconds> max_age;
  /// Revision of the item that the change replaced, in the same era; 0 if there
  /// was none.
  uint64_t replaced_revision = 0;
  /// Answers of relays: revision by which the store has removed the item, which
  /// the relay keeps for the time below; 0 if it was not removed.
  uint64_t removed_revision = 0;
  milliseconds kept_for{0};
  /// Mirror: earliest time from which the change counts; time_point{} if
  /// unknown.
  time_point changed_after{};
};

/// Item that the store has removed, but that is kept for a while, since its
/// live writer may write it again.
struct kept_item {
  store_revision removed;  ///< Revision by which it was removed.
  time_point until{};      ///< An outage of the store seen here extends it.
};

/// Answer of the store to a listing or a watch.
struct store_answer {
  enum class status_type {
    kOk,
    kHistoryCompacted,  ///< The watch asked for history that is no longer kept.
    kRefused,           ///< The store refused the call; nothing was done.
    kNoAnswer,          ///< No answer, or one that cannot be parsed.
  };
  status_type status = status_type::kNoAnswer;
  std::vector<store_item> items;
  bool is_limited = false;  ///< Refused by a limit on the calls of machines.
  bool has_more = false;    ///< Whether a listing has another page.
  /// Revision of the store. Refusals state only its era.
  store_revision revision;
  /// Answers of relays to a listing: what they know of an older era and still
  /// go by, although the restored store has older content or none, and the
  /// revision that it is of.
  std::vector<store_item> earlier_items;
  store_revision earlier_revision;
  /// Answers of relays to a watch: whether changes may be left out that were
  /// undone before this revision.
  bool has_gap = false;
  /// Answers of relays: age of the relay's last confirmed read of the store.
  milliseconds confirmed_age{0};
  /// Time for which the call was held before it was answered: the answer is at
  /// least that much newer than the call.
  milliseconds held{0};
};

/// Call for the mirror's owner to send.
struct store_call {
  enum class kind_type { kList, kWatch };
  kind_type kind = kind_type::kList;
  std::string prefix;         ///< Listings: prefix of the keys to list.
  bool may_be_stale = false;  ///< Listings: may be some seconds old.
  std::string after_key;      ///< Listings: last key of the previous page.
  /// Watches: report changes after this. Listings: number 0 in the known era.
  store_revision after_revision;
  milliseconds wait{0};  ///< Watches: maximum wait for a change.
  /// Whether a relay is asked, which answers a listing with all items at once.
  bool is_relayed = false;
};

/// Listing of all items as far as it has been read: pages of the store, or the
/// one answer of a relay. The content of different sources is never joined.
struct store_listing {
  /// Revision of the page that had the item, or would have had it.
  store_revision RevisionOf(const std::string& key) const {
    auto page = pages.lower_bound(key);
    return page == pages.end() ? newest_revision : page->second;
  }

  /// Lowest revision of the pages. They are not a consistent snapshot: a watch
  /// after this revision reports what changed meanwhile.
  store_revision revision;
  time_point sent_at{};   ///< When the first page was requested.
  std::string after_key;  ///< Last key of the pages; empty before the first.
  std::map<std::string, store_item> items;
  std::map<std::string, store_revision> pages;  ///< By last key.
  store_revision newest_revision;               ///< Newest of the pages.
  bool has_large_changes = false;
};

/// Which changes of the store a mirror has seen one by one. A reader with the
/// content of an older revision needs them all: an item that it has may be gone
/// without the mirror ever having had it.
struct mirror_history {
  /// Whether the changes after a revision are known.
  bool Covers(store_revision after) const {
    return after >= start &&
           std::none_of(gaps.begin(), gaps.end(), [&](const auto& gap) {
             return gap.first < after && after < gap.second;
           });
  }
  /// Whether a gap follows a revision.
  bool HasGapAfter(store_revision after) const {
    return !gaps.empty() && gaps.back().first >= after;
  }

  store_revision start;  ///< Changes up to it are not known.
  /// Pairs of revisions between which only the difference is known, as a
  /// listing has replaced the content. Oldest first.
  std::vector<std::pair<store_revision, store_revision>> gaps;
  /// Revision by which an item that is not held was removed, by key.
  std::map<std::string, store_revision> removed;
};

struct store_mirror_options {
  /// Maximum wait of a watch. In the worst case the confirmed age reaches two
  /// waits in a row.
  milliseconds watch_wait{500};
  /// Maximum wait of a watch at a relay, which puts no load on the store.
  milliseconds relayed_watch_wait{400};
  /// Minimum time between calls, so that bursts of changes are read in batches.
  milliseconds spacing{250};
  /// Minimum time between listings during a burst of changes. A watch reports
  /// every version of a changed item, a listing only the last one.
  milliseconds burst_spacing{350};
  /// Maximum rate of listings during a burst, bytes/s: two relays at this rate
  /// leave room for requests on a 20 Mbit/s link between regions.
  double burst_rate = 500000;
  /// Minimum size in bytes for repeated changes of one item to count as a
  /// burst.
  size_t burst_item_bytes = 8192;
  /// Pause after a failed call, doubled up to the maximum. Short, since a
  /// machine that is reachable again has to catch up within seconds.
  milliseconds backoff{200};
  milliseconds max_backoff{600};
  /// When many items expire at once during an outage of the store, they are
  /// kept for this time after it: live processes have written their items again
  /// by then, and those still missing are removed.
  milliseconds expiry_grace{1800};
  /// Share of a directory's items that must be missing to count as a mass
  /// expiry. Fewer missing items were removed on purpose, and are dropped at
  /// once.
  double mass_expiry_share = 0.5;
  /// Whether calls without an answer show an outage of the store. They do not
  /// on a VM whose link is saturated by weights at times.
  bool trusts_silence = true;
  /// Time after the store's return from an older copy within which all that
  /// live have written their items again, and items of silent servers have
  /// expired.
  milliseconds copy_grace{5000};
};

/// Chooses the calls to make, and derives the store's content from the answers.
class store_mirror {
 public:
  explicit store_mirror(store_mirror_options options) : options_(options) {}

  /// Chooses the next call.
  /// @param is_relayed Whether the call goes to a relay of this failure domain.
  /// @param is_new_source Whether the last call went to another source.
  /// @return None while a call is in flight or a pause lasts.
  std::optional<store_call> NextCall(time_point now,
                                     bool is_relayed = false,
                                     bool is_new_source = false);
  /// Handles the answer to the call in flight.
  /// @return Whether the known state has changed.
  bool OnAnswer(time_point now, const store_answer& answer);
  /// Cancels the call in flight because its source cannot answer it; another
  /// source may be asked at once.
  void CancelCall(time_point now) {
    has_call_in_flight_ = false;
    next_at_ = now;
  }
  /// Whether an answer to the call in flight tells less than is known here: it
  /// is of an older era, or a listing of an older revision. Such an answer is
  /// not taken, since a listing replaces the whole content.
  bool IsBehind(const store_answer& answer) const;
  /// Takes content of an older era from a relay, as if it had been read before
  /// the store was restored. Before the first listing only.
  void TakeEarlier(const store_answer& answer);
  /// Removes expired items that were not written again in time, and ends the
  /// time in which items may come from a copy.
  /// @return Whether the known state has changed.
  bool RunDue(time_point now);

  /// Whether the first whole listing has been read.
  bool IsLoaded() const { return is_loaded_; }
  const std::map<std::string, store_item>& Items() const { return items_; }
  /// Those of the items that the store has removed, by key.
  const std::map<std::string, kept_item>& Kept() const { return kept_; }
  time_point KeptUntil(const kept_item& kept) const {
    return std::max<time_point>(kept.until,
                                outage_ended_at_ + options_.expiry_grace);
  }
  const mirror_history& History() const { return history_; }
  /// Items that the copy of a restored store has replaced, by key, until they
  /// are written again.
  const std::map<std::string, store_item>& Superseded() const {
    return superseded_;
  }
  /// Revision of the content before the store was restored.
  store_revision EarlierRevision() const { return earlier_revision_; }
  /// Revision of the content.
  store_revision Revision() const { return revision_; }
  /// Newest known era of the store; the content may still be of an older one.
  uint64_t Era() const { return era_; }
  /// Notes the era that any other answer of the store states. A newer one
  /// begins a listing.
  /// @return Whether it is newer.
  bool OnEra(time_point now, uint64_t era);
  /// Whether the store was restored so lately that its content may lack or
  /// precede what was known before.
  bool IsRestored() const { return restored_at_.has_value(); }
  /// Whether an item may come from the copy that the store was restored from,
  /// so that it may be older than what was known before.
  bool MayBeFromCopy(const store_item& item) const {
    return restored_at_ && item.revision <= restored_revision_;
  }
  /// Time of the last confirmed read: the store is known to have had no other
  /// content when the last answered call was sent.
  time_point ConfirmedAt() const { return confirmed_at_; }
  /// Earliest time from which the changes of the last answer count: the
  /// confirmed read before it did not have them yet, and an outage suspends the
  /// bounds on their age.
  time_point ChangedAfter() const {
    return std::max(previous_confirmed_at_, outage_seen_at_);
  }
  /// Whether an outage of the store was seen after that read.
  bool HasSeenOutage() const {
    return outage_seen_at_ > previous_confirmed_at_;
  }
  /// Records that this process did not run for a time. Calls may have failed
  /// because of that.
  void OnPause(time_point now) { resumed_at_ = now; }
  bool IsReachable() const { return failures_ == 0; }
  time_point NextCallAt() const { return next_at_; }

 private:
  /// Records an outage if a failed call shows one.
  void CheckOutage(const store_answer& answer);
  /// @return Whether the era is newer than the known one.
  bool EnterEra(uint64_t era);
  /// Revision of the present era.
  store_revision OfEra(store_revision of) const { return {era_, of.number}; }
  /// @param confirmed_at Time of the confirmed read that the item comes from.
  void Apply(const store_item& item, time_point confirmed_at);
  /// Takes an item that a relay keeps although the store has removed it.
  void ApplyKept(time_point now,
                 const store_item& item,
                 time_point confirmed_at);
  void Remove(time_point now, const std::vector<store_item>& removed_items);
  /// Adds the answer to the call in flight to the listing that it belongs to.
  /// @return Whether the listing is complete, so that the content has changed.
  bool ReadListing(time_point now, const store_answer& answer);
  /// Replaces the content by a whole listing.
  void FinishListing(time_point now, const store_listing& listing);
  /// Drops an item.
  /// @param removed Revision by which it was removed.
  void Drop(const std::string& key, store_revision removed);
  /// Moves the content's revision on.
  /// @param gap_begin First revision to which only the difference is known;
  /// nullopt if all changes are.
  void SetRevision(store_revision revision,
                   std::optional<store_revision> gap_begin);
  bool IsInExpiryGrace(time_point now) const;
  bool IsBurst(const std::vector<store_item>& changes) const;
  /// Begins a listing of the store from its first page.
  void BeginListing();
  /// Watches again, as the content is whole.
  void EndListing();
  /// Replaces the watch by listings, paced by the size of all items.
  void BeginBurst(time_point now);

  store_mirror_options options_;
  std::map<std::string, store_item> items_;
  /// Pages of the store read so far. A relay's whole answer replaces them, and
  /// they are continued after relays that have failed.
  store_listing pages_;
  std::map<std::string, kept_item> kept_;  ///< By key.
  std::map<std::string, store_item> superseded_;
  store_revision earlier_revision_;
  mirror_history history_;
  /// Newest revision that a part of the content is of. It is after the
  /// content's revision if pages of a listing have shown changes that the watch
  /// has yet to report.
  store_revision newest_;
  uint64_t era_ = 0;
  store_revision revision_;
  bool is_loaded_ = false;
  bool is_listing_ = true;  ///< Whether the store is to be asked for a listing.
  bool is_listing_relays_ = true;  ///< The same for relays.
  bool is_burst_ = false;          ///< Whether listings replace the watch.
  store_call last_call_;
  bool has_call_in_flight_ = false;
  bool is_call_void_ = false;  ///< Whether the one in flight is of an old era.
  uint32_t failures_ = 0;      ///< Consecutive failed calls.
  time_point sent_at_{};
  time_point next_at_{};
  time_point confirmed_at_{};
  time_point previous_confirmed_at_{};
  time_point outage_seen_at_{};   ///< An outage lasted at least until then.
  time_point resumed_at_{};       ///< End of the last pause of this process.
  time_point outage_ended_at_{};  ///< End of the store's last outage.
  /// When the first listing after a restoration was read, while its items may
  /// still come from the copy.
  std::optional<time_point> restored_at_;
  store_revision restored_revision_;  ///< Revision of that listing.
};

}  // namespace fuchsiafall

#endif  // STORE_MIRROR_BASE_H_
