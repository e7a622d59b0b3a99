/// @file site_standin.h Stand-ins of backend servers and of the weight origin
/// for the soak test. They record which requests ran and which guarantees
/// failed.
#ifndef TESTS_SOAK_SITE_STANDIN_H_
#define TESTS_SOAK_SITE_STANDIN_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "tests/soak/store_standin.h"

namespace fuchsiafall::soak {

inline constexpr char kModel[] = "m0";
inline constexpr char kModelService[] = "llm";
inline constexpr char kPlainService[] = "desk";
inline constexpr char kOriginService[] = "weights";
inline constexpr int kLayers = 4;
inline constexpr uint32_t kChunks = 16;
inline constexpr uint32_t kChunkBytes = 4096;

/// Returns the bytes of one chunk, the same in each run. They begin with the
/// version.
std::string ChunkOf(uint64_t version, uint32_t chunk);
/// Returns the services of a configuration, with their stand-ins' values.
std::string ServicesOf(const std::string& origin_address);
/// Returns how many events the stream of a path has.
uint32_t EventCountOf(const std::string& target);

/// Record of all requests and violated guarantees, shared by servers and
/// callers.
struct run_record {
  struct request {
    time_point sent_at{};
    std::string key;
    bool may_repeat = false;
    uint32_t runs = 0;
    bool was_refused = false;    ///< Its caller was told that it did not run.
    bool was_passed_on = false;  ///< Whether it has reached a server.
  };
  std::map<std::string, request> requests;
  std::map<std::string, time_point> revoked;  ///< Time of revocation, by key.
  std::vector<std::string> violations;        ///< Guarantee and request.
  std::map<std::string, uint64_t> counts;
  /// Calls sent since then met no unplanned fault.
  time_point calm_since = time_point::max();

  /// Records a violated guarantee.
  void AddViolation(const std::string& guarantee, const std::string& detail);
  /// Records that a server started to run a request, and checks that it was
  /// allowed to.
  /// @param revocation_delay Time after which a revoked key must be refused.
  void RecordRun(const std::string& id, milliseconds revocation_delay);
};

/// Faults in force at all stand-ins of the site.
struct site_faults {
  bool is_origin_down = false;
  double origin_corrupt_share = 0;     ///< Of its answers.
  double lost_plain_answer_share = 0;  ///< Of the plain runs.
  double silent_share = 0;             ///< Of the streams and plain runs.
  /// Of the streams, which a server breaks off or spoils before some event, or
  /// after the last one.
  double spoilt_stream_share = 0;
  /// Of the orders, which servers take late; of the calls of staged chunks and
  /// the reports a smaller part is late as well.
  double held_share = 0;
};

/// Backend server with an address of its own.
class server_standin {
 public:
  server_standin(event_loop* loop,
                 store_standin* store,
                 run_record* record,
                 site_faults* faults,
                 std::string domain,
                 bool is_model);
  /// @param address Address that it listens on.
  /// @param proxy_address Address of the proxy in front of it, announced in
  /// the store.
  outcome<done> Listen(const std::string& address,
                       const std::string& proxy_address);
  /// Breaks all streams, drops the loaded layers, and restarts after a pause.
  /// @param has_new_id Whether it restarts under a new instance id.
  void Crash(time_point now, bool has_new_id);
  /// Corrupts one staged chunk, as silent corruption would. A chunk that is
  /// corrupted stays as it is.
  void CorruptStagedChunk(time_point now, std::mt19937_64* random);
  /// Announces in the store that it takes no new calls.
  void Drain();
  const std::string& Id() const { return id_; }
  /// Returns the version of the loaded layers; 0 for none.
  uint64_t LoadedVersion() const { return loaded_version_; }
  /// Called when an order is held back.
  std::function<void()> on_order_held;

 private:
  struct staged_chunk {
    std::string written;
    time_point corrupted_at{};  ///< First corruption since; else zero.
  };
  struct stream {
    std::shared_ptr<http_server_connection> to;
    std::string id;
    uint32_t next = 1;
    uint32_t last = 0;
    uint64_t version = 0;
    uint32_t silent_before = 0;  ///< Event before which it falls silent.
    time_point silent_until{};
    uint32_t broken_before = 0;  ///< Event before which it is broken off.
    uint32_t spoilt_before = 0;  ///< Event before which it sends garbage.
  };

  void OnRequest(time_point now,
                 const std::shared_ptr<http_server_connection>& from,
                 const http_request& request);
  void OnOrder(time_point now,
               const std::shared_ptr<http_server_connection>& from,
               const std::string& body,
               bool was_held);
  void OnStage(time_point now,
               const std::shared_ptr<http_server_connection>& from,
               const http_request& request);
  /// Acts on a call later, also if its caller has closed the connection by
  /// then, unless the server crashes before.
  void ActAfter(time_point now,
                milliseconds span,
                const std::shared_ptr<http_server_connection>& from,
                const std::function<void(time_point)>& act);
  /// Draws for how long a call is held back before the server acts on it.
  milliseconds DrawHold(double share);
  /// Returns the first staged chunk that must not be loaded as part of a
  /// version, and what is wrong with it; empty if there is none.
  std::string FindSpoiltChunk(time_point now, uint64_t version);
  void OnCall(time_point now,
              const std::shared_ptr<http_server_connection>& from,
              const http_request& request);
  void BeginStream(time_point now,
                   const std::shared_ptr<http_server_connection>& from,
                   const http_request& request);
  /// Sends the next event of each stream and completes a load when none is
  /// left.
  void Tick(time_point now);
  /// Returns the JSON fields of its store record and report for the loaded
  /// layers.
  std::string LayerFields() const;
  std::string Report() const;
  /// Draws how long a sound server falls silent.
  milliseconds DrawSilence();
  /// Draws whether a stream is broken off or spoilt, and where.
  void DrawStreamFault(stream* item);
  bool IsBusy() const { return loading_version_ > 0 || is_unloading_; }
  /// Writes its record to the store.
  void WriteServerRecord();

  event_loop* loop_;
  store_standin* store_;
  run_record* record_;
  site_faults* faults_;
  std::string domain_;
  bool is_model_;
  std::string proxy_address_;
  std::string id_;
  uint32_t restart_count_ = 0;
  uint32_t crash_count_ = 0;
  int64_t start_ms_;
  bool is_down_ = false;
  bool is_draining_ = false;
  uint64_t loaded_version_ = 0;   ///< Version of the loaded layers; 0 for none.
  uint64_t loading_version_ = 0;  ///< Version that is being loaded; 0 for none.
  bool is_unloading_ = false;     ///< Whether the loaded version is unloaded.
  std::string loaded_fault_;      ///< Chunk spoilt in the loaded layers.
  std::string loading_fault_;     ///< Of the version that is being loaded.
  /// Requests with tokens of the spoilt layers.
  std::set<std::string> spoilt_requests_;
  uint64_t orders_ = 0;
  std::map<uint32_t, staged_chunk> staged_chunks_;
  std::map<http_server_connection*, stream> streams_;
  http_listener listener_;
  std::mt19937_64 random_;
  std::mt19937_64 held_random_;    ///< Of the calls that are held back.
  std::mt19937_64 spoilt_random_;  ///< Of the streams that are spoilt.
};

/// Origin of the weights of all versions.
class origin_standin {
 public:
  origin_standin(event_loop* loop, site_faults* faults);
  outcome<done> Listen(const std::string& address);
  uint64_t sent_bytes = 0;

 private:
  void OnRequest(time_point now,
                 const std::shared_ptr<http_server_connection>& from,
                 const http_request& request);
  site_faults* faults_;
  std::mt19937_64 random_{5};
  http_listener listener_;
};

}  // namespace fuchsiafall::soak

#endif  // TESTS_SOAK_SITE_STANDIN_H_
