/// @file mirror_relay_base.h Relay of the store's items within a failure
/// domain, and choice of the source to read them from.
#ifndef MIRROR_RELAY_BASE_H_
#define MIRROR_RELAY_BASE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "proto/fuchsiafall.pb.h"
#include "store_mirror_base.h"

namespace fuchsiafall {

/// Serves the other processes of a failure domain from one mirror, so that the
/// store and the links between regions carry each change once per domain.
class mirror_relay {
 public:
  /// Updates the items from the mirror.
  void Update(const store_mirror& mirror);
  /// Whether there are changes after a revision.
  /// @param after Revision that the reader has; 0 for a whole listing.
  bool HasChanges(store_revision after) const {
    return revision_.number != 0 && (after.number == 0 || after < revision_);
  }
  /// Makes the answer for a reader at a revision.
  /// @param after Revision that the reader has; 0 for a whole listing.
  proto::mirror_answer Answer(time_point now, store_revision after) const;
  /// Whether a reader has read a newer era of the store than this relay.
  bool IsBehind(store_revision after) const {
    return after.era > revision_.era;
  }
  store_revision Revision() const { return revision_; }

 private:
  std::map<std::string, store_item> items_;  ///< Includes deleted ones.
  /// Those that the store has removed. Readers keep them for as long as this
  /// process, and drop them by themselves: the end of that time has no revision
  /// after which a reader could ask for it.
  std::map<std::string, kept_item> kept_;
  store_revision revision_;
  mirror_history history_;
  /// What the process knows of an older era of the store and still goes by.
  std::map<std::string, store_item> earlier_;
  store_revision earlier_revision_;
};

/// Reads the answer of a relay.
store_answer DecodeRelayAnswer(const proto::mirror_answer& message);

/// Process of this failure domain that is registered as a relay.
struct relay_registration {
  std::string node;
  std::string address;  ///< ip:port
};

struct relay_selector_options {
  std::string node;  ///< Name of this process's VM.
  std::string store_address;
  /// Relays per failure domain. The first reads from the store; each other one
  /// reads from those before it, and replaces them when they are unresponsive
  /// or cut off from the store. There are several since the store may refuse a
  /// third of all machines.
  size_t max_relays = 4;
  /// Number of unresponsive relays after which the store is asked.
  size_t max_unresponsive = 2;
  /// Maximum confirmed age of a relay's answer; an older one counts as stale. A
  /// relay with access to the store confirms its items every 500 ms, and
  /// somewhat later while its processor is busy.
  milliseconds max_confirmed_age{1100};
  /// The same for a relay's reads of another one, as a share of that age. A
  /// stand-by turns to the store before its readers turn to the stand-by.
  double standby_age_share = 0.6;
  /// Time for which an unresponsive relay is not asked.
  milliseconds unresponsive_pause{3000};
  /// Time for which a relay with stale answers is not asked: its next answer
  /// may be fresh again.
  milliseconds stale_pause{600};
  /// Mean time for which a process whose relays all have stale answers goes on
  /// asking them before it asks the store. Their answers are stale too if the
  /// store is slow, and direct reads by all processes would make it slower.
  /// Each process adds its own jitter of up to 50 %.
  milliseconds stale_store_delay{600};
  /// Mean pause after a failed call to the store, for a process whose relays
  /// answer but cannot read the store either. The relays notice first when the
  /// store is reachable again; direct reads by all processes would saturate the
  /// link at that time. Each process adds its own jitter of up to 50 %.
  milliseconds store_retry_pause{2000};
  /// Minimum time after the start for which a process reads from relays only,
  /// since all processes of a failure domain may start at once. Jitter adds up
  /// to the same time again. A listing over a link between regions takes 500
  /// ms.
  milliseconds startup_delay{1500};
  /// Time for which a relay that fails during that time is not asked: it may be
  /// starting as well.
  milliseconds starting_pause{250};
  /// Time of continuous failure after which a relay counts as removed for good.
  milliseconds removal_timeout{20000};
};

/// Chooses the source to read the store's items from: a relay of this failure
/// domain, or the store itself. All processes compute the same ranking of
/// relays.
class relay_selector {
 public:
  explicit relay_selector(relay_selector_options options)
      : options_(std::move(options)) {}

  /// Ranks the registered relays.
  void SetRelays(const std::vector<relay_registration>& registered);
  /// Chooses the address to ask now.
  /// @return Empty while neither a relay nor the store may be asked.
  const std::string& Choose(time_point now) const;
  /// Begins the start phase, in which only the list of relays has been read.
  void BeginStartup(time_point now);
  /// Records that a direct call to the store failed.
  void OnStoreFailed(time_point now);
  /// Records that a relay answered, but has no recent read of the store.
  void OnRelayStale(time_point now) {
    if (!stale_since_)
      stale_since_ = now;
  }
  /// Records that the store answered a direct call.
  void OnStoreAnswered(time_point now) {
    if (stale_since_)
      stale_since_ = now;
  }
  bool IsRelay(const std::string& address) const {
    return !address.empty() && address != options_.store_address;
  }
  /// Records that a relay failed.
  /// @param is_stale Whether it answered, but has no recent read of the store.
  void OnRelayFailed(time_point now, const std::string& address, bool is_stale);
  void OnRelayAnswered(const std::string& address) {
    failing_since_.erase(address);
    stale_since_.reset();
  }
  /// Finds a relay that has failed for so long that its registration can be
  /// removed. A live relay registers again.
  /// @return Its node; none if there is no such relay.
  std::optional<std::string> FindLostRelay(time_point now) const;
  /// Whether a confirmed age is too high to keep reading from that relay.
  bool IsTooOld(milliseconds age) const {
    return age > options_.max_confirmed_age *
                     (is_relay_ ? options_.standby_age_share : 1);
  }

 private:
  relay_selector_options options_;
  std::vector<relay_registration> relays_;  ///< Best first.
  bool is_relay_ = false;        ///< Whether this process is a relay.
  time_point store_retry_at_{};  ///< Earliest next direct call to the store.
  /// Since when no relay has had a recent read of the store, or the last direct
  /// read meanwhile.
  std::optional<time_point> stale_since_;
  time_point startup_until_{};  ///< End of the start phase, before which the
                                ///< store is not asked if there are relays.
  struct avoidance {
    time_point until{};
    bool is_unresponsive = false;
  };

  /// Adds the jitter of this process to a pause: 50 % to 150 % of it.
  duration AddJitter(milliseconds pause) const;

  std::map<std::string, avoidance> avoided_;         ///< By address.
  std::map<std::string, time_point> failing_since_;  ///< By address.
};

}  // namespace fuchsiafall

#endif  // MIRROR_RELAY_BASE_H_
