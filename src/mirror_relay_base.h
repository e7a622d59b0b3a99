/// @file mirror_relay_base.h Relay of the store's items within a failure
/// domain, and the choice of whom to ask.
#ifndef MIRROR_RELAY_BASE_H_
#define MIRROR_RELAY_BASE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "proto/fuchsiafall.pb.h"
#include "store_mirror_base.h"

namespace fuchsiafall {

/// Answers the other processes of a domain out of one mirror, so that the store
/// and the links between regions carry each change once for a domain.
class mirror_relay {
 public:
  /// Takes what the mirror holds now.
  void Update(time_point now, const store_mirror& mirror);
  /// Whether one that knows everything up to a revision can be told more.
  /// @param after 0 for a whole listing.
  bool HasNews(uint64_t after) const {
    return revision_ != 0 && (after == 0 || after < revision_);
  }
  proto::mirror_answer Answer(time_point now, uint64_t after) const;
  uint64_t Revision() const { return revision_; }

 private:
  std::map<std::string, store_item> items_;  ///< Deleted ones among them.
  /// When deleted ones went. Entries that lapsed go without a new revision, so
  /// that all are told of them for a while.
  std::map<std::string, time_point> gone_at_;
  uint64_t revision_ = 0;
  uint64_t horizon_ = 0;  ///< From here on deletions are remembered.
};

/// Process of the own domain that registered as able to relay.
struct relay_place {
  std::string node;
  std::string address;  ///< ip:port
};

struct mirror_source_options {
  std::string node;  ///< Of this process.
  std::string store_address;
  /// Of a domain. The first asks the store; each other one asks those before
  /// it, and takes their part when they are silent or cut off. The store may
  /// turn a third of all machines away.
  size_t relays = 4;
  size_t most_silent = 2;  ///< Silent ones before the store is asked.
  /// Age of a relay's word at which it counts as cut off from the store. One
  /// that is not hears from it every half second, and somewhat later when its
  /// processor is busy.
  milliseconds most_age{1100};
  milliseconds avoid{3000};  ///< Of a source that is silent.
  /// Of one whose word is too old: it may be fresh again with its next answer.
  milliseconds avoid_old{600};
  /// Between two calls to the store that fail, of one whose relays are there
  /// and have no word from it either: they hear of its return first, and all
  /// their readers at it would fill the link just then. Varies by a half with
  /// the process.
  milliseconds direct_pause{2000};
  /// Least time that a process which has just started leaves its relays to read
  /// the store, when all of a domain start at once, and up to twice that by the
  /// process. A listing over a link between regions takes half a second.
  milliseconds settle{1500};
  /// Of a relay that fails meanwhile: it may be starting too.
  milliseconds avoid_starting{250};
  /// After which a relay that only failed counts as removed for good.
  milliseconds lost{20000};
};

/// Chooses whom to ask for the store's items: a relay of the own domain, or the
/// store itself. All processes compute the same relays.
class mirror_source {
 public:
  explicit mirror_source(mirror_source_options options)
      : options_(std::move(options)) {}

  void SetRelays(const std::vector<relay_place>& registered);
  /// Address to ask now; empty while the relays are to be asked first.
  const std::string& Choose(time_point now) const;
  /// This process knows nothing yet but who relays.
  void Settle(time_point now);
  /// The store has failed to answer this process itself.
  void OnStoreFailed(time_point now);
  bool IsRelay(const std::string& address) const {
    return !address.empty() && address != options_.store_address;
  }
  /// @param is_old Whether it answered, with a word that is too old.
  void OnFailed(time_point now, const std::string& address, bool is_old);
  void OnAnswered(const std::string& address) { failing_since_.erase(address); }
  /// Finds a relay that has failed for so long that its registration is stale.
  /// It registers again if it lives.
  /// @return Its node; none where all answer.
  std::optional<std::string> LostRelay(time_point now) const;
  /// Whether a relay's word is too old to go on with it.
  bool IsTooOld(milliseconds age) const { return age > options_.most_age; }

 private:
  mirror_source_options options_;
  std::vector<relay_place> relays_;  ///< Best first.
  bool is_relay_ = false;            ///< Whether others ask this process.
  time_point direct_at_{};           ///< The store is not asked before.
  time_point settled_at_{};          ///< Nor before this, if there are relays.
  struct avoidance {
    time_point until{};
    bool is_silent = false;
  };

  /// Varies a pause by a half with the process.
  duration Spread(milliseconds pause) const;

  std::map<std::string, avoidance> avoided_;         ///< By address.
  std::map<std::string, time_point> failing_since_;  ///< By address.
};

}  // namespace fuchsiafall

#endif  // MIRROR_RELAY_BASE_H_
