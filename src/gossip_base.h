/// @file gossip_base.h Membership by heartbeats, and the spread of revisions.
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
  std::string
      own_address;  ///< Control address, for peers without a configuration.
  std::vector<std::string> first_peers;  ///< Control addresses asked at start.
  milliseconds watch{14000};  ///< Time between heartbeats to a watched server.
  milliseconds heartbeat{3000};  ///< Time between heartbeats to a neighbour.
  milliseconds suspect{9000};    ///< Silence after which a peer is suspected.
  size_t neighbours = 6;         ///< Neighbours in the own failure domain.
};

/// What direct evidence says of another process.
struct peer {
  time_point last_heard{};
  time_point last_sent{};
  time_point asked_since{};  ///< First heartbeat sent after last_heard.
  bool was_heard = false;
  bool was_asked =
      false;  ///< Whether a heartbeat has gone unanswered since asked_since.
  bool watches = false;     ///< Whether it wants our state with each heartbeat.
  time_point watched_at{};  ///< When it last said so.
  revision known_revision;
  incarnation known_incarnation;
  proto::server_state state;  ///< Of agents; default until heard.
  time_point state_at{};
  bool has_state = false;
};

/// Crashes that a request caused, as known here.
struct crash_memory {
  uint32_t crashes = 0;
  time_point last{};
};

/// Keeps heartbeats with a bounded set of neighbours, and spreads over them the
/// revisions, the list of leaving VMs and the requests that crash servers.
class gossip {
 public:
  explicit gossip(gossip_options options);

  /// Sends the heartbeats that are due.
  void Step(time_point now, output_list* out);
  /// Takes any control message; others are ignored.
  /// @return Whether a new revision was adopted.
  bool OnMessage(time_point now,
                 const proto::envelope& message,
                 output_list* out);
  /// Takes what the store holds.
  bool OnStore(time_point now,
               const proto::configuration* snapshot,
               const google::protobuf::RepeatedPtrField<proto::edit>& edits,
               output_list* out);
  /// Takes the platform's list of leaving VMs.
  void OnVmList(time_point now, const proto::vm_list& list, output_list* out);
  /// Adds crashes that a request caused to those known.
  void AddCrash(time_point now, fingerprint request, uint32_t crashes);
  /// Forgets the crashes of a request that has since run well.
  void ForgetCrash(fingerprint request) { crashes_.erase(request); }

  /// Sets the state sent to peers that watch; urgent ones are told at once.
  void SetOwnState(time_point now,
                   const proto::server_state& state,
                   bool urgent,
                   output_list* out);
  /// Names VMs outside the own neighbourhood to exchange heartbeats with, whose
  /// state is wanted.
  void SetExtraPeers(std::set<vm_id> extra);

  /// Notes that another process routes to this one, and wants its state.
  void NoteWatcher(time_point now, const vm_id& id);

  /// Whether this process is one of the two of its domain that watch the store.
  bool WatchesStore(time_point now) const;
  /// Whether a VM was asked and stayed silent for longer than the given time.
  bool IsSilent(time_point now, const vm_id& id, milliseconds longest) const;
  bool IsSuspect(time_point now, const vm_id& id) const {
    return IsSilent(now, id, options_.suspect);
  }
  bool IsLeaving(const vm_id& id) const { return leaving_.contains(id.value); }
  const peer* FindPeer(const vm_id& id) const;
  uint32_t CrashesOf(time_point now, fingerprint request) const;

  const configuration_log& Log() const { return log_; }
  const world_ptr& World() const { return log_.World(); }
  const std::set<vm_id>& Neighbours() const { return neighbours_; }
  /// Time at which a revision was last confirmed by a peer or the store.
  time_point LastConfirmed() const { return last_confirmed_; }

 private:
  bool MayKnow(const vm_id& id) const;
  void RebuildNeighbours();
  void AddBridges(const failure_domain& own);
  void AddWatchers(const failure_domain& own);
  void SendHeartbeat(time_point now, const vm_id& id, output_list* out);
  void AskFirstPeers(time_point now, output_list* out);
  void FillHeartbeat(time_point now,
                     bool with_state,
                     proto::heartbeat* heartbeat) const;
  void OnHeartbeat(time_point now,
                   const proto::envelope& message,
                   output_list* out);
  bool Adopt(time_point now, outcome<bool> adopted, output_list* out);
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
  std::set<vm_id> extra_;
  std::vector<vm_id> watchers_;  ///< Ranked candidates for watching the store.
  std::map<vm_id, peer> peers_;
  proto::server_state own_state_;
  proto::vm_list vm_list_;
  std::set<std::string> leaving_;
  std::map<fingerprint, crash_memory> crashes_;
  time_point last_asked_first_{};
  time_point last_confirmed_{};
  std::optional<time_point> push_at_;  ///< When the newest revision goes out.
};

}  // namespace fuchsiafall

#endif  // GOSSIP_BASE_H_
