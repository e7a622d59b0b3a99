/// @file weight_transfer_base.h Transfer of weights: from whom each chunk is
/// fetched, and to whom it is sent.
#ifndef WEIGHT_TRANSFER_BASE_H_
#define WEIGHT_TRANSFER_BASE_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "blob_store_base.h"
#include "output_type.h"
#include "rate_pacer_base.h"

namespace fuchsiafall {

struct weight_transfer_options {
  vm_id self;
  domain_id domain;
  incarnation own_incarnation;
  double rate = 8388608;  ///< Of the VM's link each way, in bytes per second.
  milliseconds chunk_timeout{
      2500};  ///< Silence after which a holder is passed over.
  size_t upload_queue =
      4;  ///< Chunks queued for sending before others are refused.
  uint64_t staging_bytes = 1ULL << 36;
  size_t neighbours =
      10;  ///< Servers of the own domain to exchange chunks with.
  milliseconds map_interval{
      100};  ///< Between have-maps to the same neighbours.
  milliseconds outside_probe{
      250};  ///< Between probes of holders in other domains.
  /// Whether times in which no chunk moved at all are left out of patience.
  bool leaves_out_stalls = false;
  /// Time without any request on its way after which, near the end, another
  /// server's imports are taken over: its link may be far slower than ours.
  milliseconds idle_takeover{60000};
  milliseconds most_origin_backoff{
      60000};              ///< Longest pause for an origin that fails.
  bool is_direct = false;  ///< Draws everything from the origin by itself.
  uint64_t seed = 1;       ///< Of the random choices among equals.
};

/// Blob that arrived from a peer or from the origin.
struct blob_arrival {
  enum class status_type { kOk, kNotHere, kBusy, kUnreachable };
  std::optional<vm_id> giver;  ///< Empty for the origin.
  uint64_t request_id = 0;     ///< Of requests to peers.
  digest wanted;
  digest actual;  ///< Computed from the bytes by the thread that received them.
  status_type status = status_type::kOk;
  shared_bytes bytes;  ///< Null unless the status is kOk.
};

/// What is known of another server that may hold chunks of one artifact.
struct holder {
  std::vector<bool> chunks;  ///< Empty while it has no manifest.
  size_t count = 0;          ///< Chunks that it has.
  bool has_manifest = false;
  bool is_neighbour = false;  ///< Exchanges chunks of any index with us.
  bool was_heard = false;     ///< Whether it has said what it holds.
  bool was_asked =
      false;  ///< Whether something has gone unanswered since asked_since.
  time_point asked_since{};
  time_point last_probe{};
  time_point busy_until{};
  time_point avoided_until{};
  uint32_t failures = 0;   ///< Unanswered requests in a row.
  size_t outstanding = 0;  ///< Requests on their way.

  bool Has(size_t chunk) const {
    return chunk < chunks.size() && chunks[chunk];
  }
};

/// Stages of the transfer of one artifact.
enum class transfer_stage { kManifest, kChunks, kComplete, kFailed };

/// One version or adapter that is being transferred.
struct artifact {
  load_part part;
  transfer_stage stage = transfer_stage::kManifest;
  std::string last_reason;  ///< Why it cannot go on.
  proto::manifest manifest;
  std::vector<digest> chunks;  ///< Digests from the manifest.
  std::vector<bool> have;
  std::vector<bool> in_flight;
  size_t have_count = 0;
  std::vector<uint16_t> rarity;  ///< Neighbours that have each chunk.
  std::map<vm_id, holder> holders;
  std::map<std::string, std::vector<vm_id>>
      chains;  ///< Importers by domain, in order.
  std::map<size_t, size_t>
      import_place;          ///< Own place in the order for each chunk.
  time_point since{};        ///< When it became a target, stalls left out.
  duration stalled{};        ///< Stalls left out of since.
  time_point idle_since{};   ///< Since when nothing is on its way.
  time_point progress_at{};  ///< When a chunk last arrived here or nearby.
  bool is_late = false;      ///< May have joined a swarm that was under way.
  bool map_changed = true;
  time_point last_map_sent{};
  time_point next_manifest_try{};
  milliseconds manifest_backoff{0};
};

/// Bytes of weights taken in for the present target, by source.
struct source_bytes {
  uint64_t origin = 0;
  uint64_t own_domain = 0;
  uint64_t other_domains = 0;
};

/// Fetches the chunks of the target, verified, and serves them to others.
class weight_transfer {
 public:
  weight_transfer(weight_transfer_options options,
                  std::shared_ptr<blob_store> blobs);

  /// Sets what should be held; what the old target had in common is kept.
  /// @param is_first Whether this process has just started.
  void SetTarget(time_point now,
                 const topology_ptr& where,
                 const std::string& service,
                 const std::vector<load_part>& parts,
                 bool is_first,
                 output_list* out);
  void OnHaveMap(time_point now,
                 const vm_id& from,
                 const proto::have_map& map,
                 output_list* out);
  void OnBlobRequest(time_point now,
                     const vm_id& from,
                     const proto::blob_request& request,
                     output_list* out);
  void OnBlob(time_point now, const blob_arrival& blob, output_list* out);
  void Step(time_point now, output_list* out);

  /// Whether all of the target is held and verified.
  bool IsComplete() const;
  /// Why the transfer cannot finish at present; empty when it can.
  std::string LastReason() const;
  uint32_t ProgressPercent() const;
  const source_bytes& Sources() const { return sources_; }
  /// Sums the sizes of the target's parts whose manifests are known, in bytes.
  uint64_t TargetBytes() const;
  time_point TargetSince() const { return target_since_; }
  const std::vector<load_part>& Target() const { return target_; }
  /// Collects the chunks of a complete artifact, in order; empty when it is not
  /// complete.
  std::vector<shared_bytes> Weights(const digest& manifest) const;
  const proto::manifest* FindManifest(const digest& manifest) const;

 private:
  /// Request on its way to a peer, or to the origin under id 0.
  struct pending {
    size_t artifact_index = 0;
    std::optional<size_t> chunk;  ///< Empty for the manifest.
    std::optional<vm_id> giver;   ///< Empty for the origin.
    time_point deadline{};
    uint64_t bytes = 0;  ///< Booked on the link.
  };
  /// Where a chunk can be had from outside the domain.
  struct outside_source {
    std::optional<vm_id> giver;  ///< Empty for the origin.
  };

  void BuildChains(artifact* item);
  void BuildNeighbours(artifact* item);
  void AdoptManifest(time_point now,
                     artifact* item,
                     const shared_bytes& bytes,
                     output_list* out);
  void BuildImportPlaces(artifact* item);
  static void CountRarity(artifact* item);
  void DropUnneeded();
  void CheckMemory(artifact* item, output_list* out);
  std::vector<vm_id> ImportOrder(const artifact& item,
                                 const std::string& domain,
                                 const digest& chunk) const;

  // Choice of sources.
  bool IsSilent(time_point now, const holder& who) const;
  bool IsPassedOver(time_point now, const holder& who) const;
  bool IsUsable(time_point now, const holder& who) const;
  bool HasWillingNeighbour(time_point now,
                           const artifact& item,
                           size_t chunk) const;
  void Avoid(time_point now, holder* who) const;
  bool ActsAsImporter(time_point now,
                      artifact* item,
                      const std::vector<vm_id>& order,
                      size_t place);
  std::optional<outside_source> ChooseOutside(time_point now,
                                              artifact* item,
                                              const digest& blob,
                                              std::optional<size_t> chunk);
  milliseconds Patience(const artifact& item) const;
  void RequestManifest(time_point now, size_t index, output_list* out);
  void RequestImports(time_point now, size_t index, output_list* out);
  void RequestFromNeighbours(time_point now, size_t index, output_list* out);
  std::optional<size_t> RarestChunk(time_point now, const artifact& item);
  holder* LeastUsedNeighbour(time_point now,
                             artifact* item,
                             size_t chunk,
                             vm_id* id);
  bool HasRoom(time_point now) const;
  void Request(time_point now,
               size_t index,
               std::optional<size_t> chunk,
               const std::optional<vm_id>& giver,
               output_list* out);
  void Expire(time_point now, output_list* out);
  void Release(const pending& request, bool refund);
  /// Takes a chunk that arrived after its request had expired.
  void TakeLate(time_point now, const blob_arrival& blob, output_list* out);
  /// Keeps a chunk that arrived whole.
  void TakeChunk(time_point now,
                 const pending& request,
                 const blob_arrival& blob,
                 output_list* out);
  std::optional<pending> TakePending(const blob_arrival& blob);

  // Arrivals.
  void OnRefusedBlob(time_point now,
                     const pending& request,
                     const blob_arrival& blob,
                     output_list* out);
  void OnCorruptBlob(time_point now, const pending& request, output_list* out);
  void AvoidOrigin(time_point now);
  void NoteProgress(time_point now, artifact* item) const;
  void NoteIdle(time_point now, size_t index);
  void CountSource(const pending& request, uint64_t bytes, output_list* out);

  // Have-maps.
  void SendMaps(time_point now, artifact* item, output_list* out);
  void SendMap(const digest& manifest,
               const std::vector<bool>& have,
               const vm_id& to,
               bool reply_wanted,
               output_list* out);
  void Probe(time_point now,
             artifact* item,
             const vm_id& id,
             milliseconds interval,
             output_list* out);
  void MarkAsked(time_point now, holder* who);

  artifact* FindArtifact(const std::string& manifest);
  std::string AddressOf(const vm_id& id, plane where) const;

  weight_transfer_options options_;
  std::shared_ptr<blob_store> blobs_;
  std::mt19937_64 random_;
  topology_ptr world_;
  std::string service_;
  std::vector<load_part> target_;
  std::vector<artifact> artifacts_;
  std::map<uint64_t, pending> pending_;  ///< Requests to peers, by request id.
  std::map<digest, pending> origin_pending_;  ///< Fetches from the origin.
  source_bytes sources_;
  time_point target_since_{};
  uint64_t next_request_id_ = 1;
  rate_pacer upload_;
  rate_pacer download_;
  /// Most requests on their way; enough for pieces that wait in the queues of
  /// their holders (four pieces) and on the way.
  static constexpr double kMostWindow = 8;
  static constexpr double kFirstWindow = 4;
  /// Requests that may be on their way. Grows by one with each piece that comes
  /// and, once some have expired, only by one for all of them together. Halved
  /// when some expire, since what is on its way fills a link that is slower
  /// than it should be, and calls wait behind it.
  double window_ = kFirstWindow;
  double slow_from_ = kMostWindow;  ///< Where the slower growth begins.
  time_point window_cut_at_{};      ///< Last halving.
  time_point origin_avoided_until_{};
  milliseconds origin_backoff_{0};
};

}  // namespace fuchsiafall

#endif  // WEIGHT_TRANSFER_BASE_H_
