/// @file fake_weight_fleet.h Agents that spread weights with named manifests
/// over links of limited rate, in virtual time.
#ifndef TESTS_FAKE_WEIGHT_FLEET_H_
#define TESTS_FAKE_WEIGHT_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "manifest_book_base.h"
#include "tests/fake_load_agent.h"
#include "weight_transfer_base.h"

namespace fuchsiafall::tests {

struct fake_weight_fleet_options {
  size_t domains = 5;   ///< Each in a region of its own.
  size_t servers = 22;  ///< In each domain.
  size_t chunks = 96;
  uint32_t chunk_bytes = 24576;
  double vm_rate = 0.9 * 7.3e6 / 8;  ///< In bytes per second, each direction.
  double origin_rate = 7.3e6 / 8;    ///< In bytes per second.
  double region_rate = 0.5 * 27e6 / 8;  ///< Of a link between two regions.
  size_t max_origin_requests = 1;       ///< Of each agent.
  size_t corrupt_reads = 0;  ///< First reads of each manifest to corrupt.
  uint64_t seed = 1;
  /// If set, each agent serves version 1 and follows this plan when versions
  /// are named.
  std::optional<weights_plan_options> plan;
  bool has_free_slots = true;  ///< Whether calls find a free slot.
};

/// Progress of one version, from the first naming on.
struct fake_rollout {
  std::vector<double> complete_at;  ///< Seconds, one for each agent that is.
  std::vector<double> served_at;
};

/// Simulates the origin, the links and the agents' use of weight_transfer.
class fake_weight_fleet {
 public:
  explicit fake_weight_fleet(fake_weight_fleet_options options);

  /// Makes the agents want these versions, newest last.
  void SetVersions(const std::vector<uint64_t>& versions);
  /// Names a version, as operators do.
  void Name(uint64_t version);
  /// Reports when agents held and served a version.
  fake_rollout Rollout(uint64_t version) const;
  /// Changes the number of servers in each domain. New ones join empty.
  void Resize(size_t servers);
  /// Makes the agents want these versions while each knows only itself.
  /// Resize() makes them known to each other.
  void StartUnlisted(const std::vector<uint64_t>& versions);
  /// Lists the first servers of each domain. Each agent knows these and itself.
  void List(size_t servers);
  /// Adds servers that the others do not know until Resize() is called.
  void AddUnknown(size_t servers);
  void Run(duration span);
  bool RunUntil(const std::function<bool()>& condition, duration timeout);
  /// Ends an agent's process.
  void Kill(const std::string& vm) { nodes_.at(vm).is_dead = true; }
  /// Cuts an agent off from the origin, but not from its peers.
  void CutFromOrigin(const std::string& vm) {
    nodes_.at(vm).has_no_origin = true;
  }

  std::vector<std::string> Vms() const;
  /// Lists the agents in the order in which they read the origin's manifest.
  const std::vector<std::string>& ManifestReaders() const { return readers_; }
  /// Counts the living agents whose weights are complete and correct.
  size_t CompleteCount();
  bool AllComplete() const;
  /// Counts the agents that know the manifest of the newest version.
  size_t KnownManifests() const;

  time_point now{std::chrono::hours(1)};
  bool is_origin_down = false;
  std::set<uint64_t> dropped_versions;        ///< That the origin has no more.
  std::map<uint64_t, size_t> manifest_reads;  ///< Started, by version.
  size_t chunk_reads = 0;                     ///< Started at the origin.
  size_t max_open_reads = 0;    ///< Maximum open at the origin at once.
  uint64_t origin_bytes = 0;    ///< Sent by the origin.
  size_t chunks_delivered = 0;  ///< By agents to agents.
  double unusable = 0;          ///< Seconds without grants, of all agents.

 private:
  struct node {
    vm_id id;
    std::string domain;
    std::shared_ptr<blob_store> blobs;
    std::unique_ptr<weight_transfer> transfer;
    manifest_cache manifests{{}};
    std::unique_ptr<rate_pacer> upload;
    std::unique_ptr<rate_pacer> download;
    bool is_listed = true;
    bool is_dead = false;
    bool has_no_origin = false;
    std::vector<uint64_t> versions;  ///< Wanted, newest last.
    std::optional<fake_load_agent> loader;
    std::map<uint64_t, time_point> complete_at;
  };
  /// Answer that the origin is sending.
  struct origin_read {
    node* reader;
    double remaining = 0;  ///< In bytes.
    time_point deadline{};
    std::function<void(bool is_complete)> on_done;
  };

  void BuildTopology(size_t servers);
  void AddNode(const proto::vm& vm);
  void SetTarget(node* item);
  /// Makes the topology that an agent knows while only some are listed.
  topology_ptr MakePartialTopology(const node& item) const;
  void RunNode(node* item);
  /// Follows the plan of an agent.
  void RunLoader(node* item);
  double ProgressOf(const node& item, uint64_t version);
  void Perform(node* item, output_list* out);
  void Deliver(node* from, const send_message& message);
  void FetchFromOrigin(node* item, const digest& wanted);
  void ReadManifest(node* item, uint64_t version);
  void OnManifest(node* item, uint64_t version, bool is_complete);
  void StartRead(node* item,
                 double bytes,
                 std::function<void(bool is_complete)> on_done);
  void AdvanceOrigin(duration step);
  void Schedule(time_point at, std::function<void()> action);
  const std::vector<digest>& Chunks(uint64_t version);

  fake_weight_fleet_options options_;
  topology_ptr topology_;
  std::vector<uint64_t> versions_;
  std::map<uint64_t, time_point> named_;  ///< When each version was.
  std::map<std::string, node> nodes_;
  std::map<std::string, node*> by_address_;
  std::map<std::pair<std::string, std::string>, rate_pacer> region_links_;
  std::multimap<time_point, std::function<void()>> events_;
  std::vector<origin_read> reads_;
  std::map<uint64_t, size_t> reads_by_version_;
  std::vector<std::string> readers_;
  std::map<uint64_t, std::vector<digest>> chunks_;  ///< By version.
  shared_bytes chunk_content_;
  time_point last_run_{};
};

}  // namespace fuchsiafall::tests

#endif  // TESTS_FAKE_WEIGHT_FLEET_H_
