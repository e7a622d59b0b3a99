/// @file gossip_base.h Membership by heartbeats and propagation of revisions.
#ifndef GOSSIP_BASE_H_
#define GOSSIP_BASE_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "configuration_log_base.h"
#include "output_type.h"

namespace fuchsiafall {

struct gossip_options {
  vm_id self;
  domain_id domain;
  incarnation own_incarnation;
  /// Control address, for peers without a configuration.
  std::string own_address;
  std::vector<std::string> seed_peers;  ///< Control addresses to contact first.
  milliseconds watch{14000};     ///< Heartbeat interval to a watched server.
  milliseconds heartbeat{3000};  ///< Heartbeat interval to a neighbour.
  milliseconds suspect{9000};    ///< Time without answer until suspected.
  size_t neighbours = 6;         ///< Neighbours within the failure domain.
};

/// State of another process, as observed from its own messages.
struct peer {
  time_point last_heard{};
  time_point last_sent{};
  time_point awaits_reply_since{};  ///< First heartbeat sent after last_heard.
  bool was_heard = false;
  /// Whether a heartbeat sent at awaits_reply_since is unanswered.
  bool awaits_reply = false;
  bool wants_state = false;  ///< Whether to include our state in heartbeats.
  time_point state_wanted_at{};  ///< When the peer last asked for that.
  revision known_revision;
  incarnation known_incarnation;
  proto::server_state state;  ///< Agents only; empty until received.
  time_point state_at{};
  bool has_state = false;
};

/// Known crashes that one request caused.
struct known_crashes {
  uint32_t crashes = 0;
  time_point last{};
};

/// Exchanges heartbeats with a bounded set of neighbours and, through them,
/// propagates configuration revisions, the list of leaving VMs and the
/// fingerprints of requests that crash servers.
class gossip {
 public:
  explicit gossip(gossip_options options);

  /// Sends the heartbeats and updates that are due.
  void RunDue(time_point now, output_list* out);
  /// Handles a control message; other kinds of message are ignored.
  /// @return Whether a new revision was adopted.
  bool OnMessage(time_point now,
                 const proto::envelope& message,
                 output_list* out);
  /// Adopts a snapshot and edits read from the store.
  /// @param snapshot Null if there is none.
  /// @return Whether a new revision was adopted.
  bool OnStoreChanges(
      time_point now,
      const proto::configuration* snapshot,
      const google::protobuf::RepeatedPtrField<proto::edit>& edits,
      output_list* out);
  /// Updates the list of leaving VMs and announces its index to the neighbours.
  void OnVmList(time_point now, const proto::vm_list& list, output_list* out);
  /// Records crashes that a request caused.
  void AddCrash(time_point now, fingerprint request, uint32_t crashes);
  /// Clears the crashes of a request that has since completed normally.
  void ClearCrashes(fingerprint request) { crashes_.erase(request); }

  /// Sets the state to send to peers that watch this server.
  /// @param urgent Whether to send it at once instead of with the next
  /// heartbeats.
  void SetOwnState(time_point now,
                   const proto::server_state& state,
                   bool urgent,
                   output_list* out);
  /// Sets the servers to watch: VMs, besides the neighbours, to exchange
  /// heartbeats with and to request state from.
  void SetWatchedPeers(std::set<vm_id> watched);

  /// Records that another process routes requests here and needs this server's
  /// state.
  void AddStateWatcher(time_point now, const vm_id& id);

  /// Whether this process is one of those of its failure domain that watch the
  /// store.
  bool WatchesStore(time_point now) const;
  /// Whether a VM has left a heartbeat unanswered for longer than the given
  /// time.
  bool IsUnresponsive(time_point now,
                      const vm_id& id,
                      milliseconds max_time) const;
  bool IsSuspect(time_point now, const vm_id& id) const {
    return IsUnresponsive(now, id, options_.suspect);
  }
  bool IsLeaving(const vm_id& id) const { return leaving_.contains(id.value); }
  const peer* FindPeer(const vm_id& id) const;
  uint32_t CrashesOf(time_point now, fingerprint request) const;

  const configuration_log& Log() const { return log_; }
  const topology_ptr& Topology() const { return log_.Topology(); }
  const std::set<vm_id>& Neighbours() const { return neighbours_; }
  /// Time at which a peer or the store last confirmed the current revision.
  time_point LastConfirmed() const { return last_confirmed_; }

 private:
  /// Makes room for the crashes of a request: forgets those that no longer
  /// count, else the request with the fewest and oldest crashes.
  void MakeRoomForCrashes(time_point now, fingerprint request);
  /// Whether a sender is known or there is room for another unknown peer.
  bool MayTrack(const vm_id& id) const;
  void RebuildNeighbours();
  void AddBridges(const failure_domain& own);
  void AddStoreWatchers(const failure_domain& own);
  void SendHeartbeat(time_point now, const vm_id& id, output_list* out);
  void ContactSeedPeers(time_point now, output_list* out);
  void FillHeartbeat(time_point now,
                     bool with_state,
                     proto::heartbeat* heartbeat) const;
  void OnHeartbeat(time_point now,
                   const proto::envelope& message,
                   output_list* out);
  /// Handles the result of adopting a snapshot or edits.
  /// @return Whether a new revision was adopted.
  bool HandleAdoption(time_point now, outcome<bool> adopted, output_list* out);
  void PushUpdates(output_list* out);
  void PushTo(const vm_id& id, output_list* out);
  void SendUpdate(const vm_id& id,
                  revision from,
                  const std::string& address,
                  output_list* out);
  std::string AddressOf(const vm_id& id) const;
  void MergeCrashes(time_point now, const proto::heartbeat& heartbeat);

  gossip_options options_;
  configuration_log log_;
  std::set<vm_id> neighbours_;
  std::set<vm_id> watched_peers_;
  std::vector<vm_id> store_watchers_;  ///< Store watcher candidates, by rank.
  std::map<vm_id, peer> peers_;
  proto::server_state own_state_;
  proto::vm_list vm_list_;
  std::set<std::string> leaving_;
  std::map<fingerprint, known_crashes> crashes_;
  time_point last_seed_contact_{};
  time_point last_confirmed_{};
  std::optional<time_point> push_at_;  ///< When to push the newest revision.
};

}  // namespace fuchsiafall

#endif  // GOSSIP_BASE_H_
