/// @file hosted_agent.cc Process of an agent that runs on a hosting platform
/// beside its engine.
#include <algorithm>
#include <cmath>
#include <iostream>
#include <utility>
#include <zmq.hpp>

#include "crash_monitor_base.h"
#include "envelope_func.h"
#include "hash_func.h"
#include "hosted_places_base.h"
#include "hosted_process.h"
#include "manifest_book_base.h"
#include "network/async_http_call.h"
#include "network/datagram_link.h"
#include "network/http_status.h"
#include "network/message_link.h"
#include "platform/documents.h"
#include "transfer_topology_func.h"
#include "weight_loader_base.h"
#include "weight_transfer_base.h"
#include "weights_plan_func.h"

namespace fuchsiafall {

namespace {

/// Interval between reports of the engine, which is on the same VM.
constexpr milliseconds kReportInterval{100};
constexpr milliseconds kDoubtInterval{10};     // While a report is in doubt.
constexpr milliseconds kTransferInterval{20};  // Of ticks during a transfer.
/// Time without a tick that is logged as a pause of the process.
constexpr milliseconds kMinLoggedPause{500};
constexpr milliseconds kEngineTimeout{1000};
/// Longer, since a write without an answer delays the next load.
constexpr milliseconds kWriteTimeout{3000};
/// Longer than the interval of the reports and the timeout of one of them.
constexpr milliseconds kMaxReportAge{1500};
/// A piece takes 30 ms over the origin's link, where a few may be queued.
constexpr milliseconds kOriginTimeout{1500};
/// Delay of a further read of a manifest of which reads differ.
constexpr milliseconds kManifestRetryDelay{300};
/// Time without an outstanding request after which another server's imports are
/// taken over: several times the transmission time of a piece at the nominal
/// rate.
constexpr milliseconds kIdleTakeover{200};
/// No request may begin on weights past their bound, so a recovered origin must
/// be noticed quickly.
constexpr milliseconds kMaxOriginBackoff{600};
/// The origin accepts a bounded number of connections, idle ones included.
constexpr milliseconds kMaxOriginIdle{1000};
/// Time in which the store lists a server that starts together with its agent.
constexpr milliseconds kMaxListingDelay{5000};
/// Each failure domain has four importers, so that with five domains at most
/// twenty pieces share the origin's link.
constexpr size_t kMaxOriginRequests = 1;
/// Several times the queueing and transmission time at a holder of a chunk.
constexpr milliseconds kChunkTimeout{700};
/// Chunks queued for upload. A longer queue holds chunks that are no longer the
/// rarest, and place replies wait behind it.
constexpr size_t kUploadQueue = 2;
/// Servers to exchange chunks with; each gets a have-map for every chunk.
constexpr size_t kNeighbours = 8;
/// Minimum interval between have-maps. A piece takes 27 ms over a link; its
/// announcement should not take much longer.
constexpr milliseconds kMapInterval{40};
/// Interval between probes of holders in other failure domains.
constexpr milliseconds kOutsideProbeInterval{60};
/// Share of the link for weights. Place requests use the same link, and their
/// datagrams are lost when it is saturated.
constexpr double kBulkShare = 0.9;
constexpr uint64_t kFirstVersion = 1;  // Served until operators set another.

/// Agent with its sockets. Everything runs in the event loop, except for the
/// thread of the bulk link.
class hosted_agent {
 public:
  explicit hosted_agent(const site_settings& settings)
      : process_(
            settings,
            [this](time_point now) { OnSiteChanged(now); },
            [this](time_point) { process_.Finish(); }),
        self_(settings.ip),
        blobs_(std::make_shared<blob_store>()),
        transfer_({.self = self_,
                   .domain = domain_id(settings.domain),
                   .own_incarnation = process_.OwnIncarnation(),
                   .rate = settings.link_bytes * kBulkShare,
                   .chunk_timeout = kChunkTimeout,
                   .upload_queue = kUploadQueue,
                   .neighbours = kNeighbours,
                   .map_interval = kMapInterval,
                   .outside_probe_interval = kOutsideProbeInterval,
                   .excludes_stalls = true,
                   .idle_takeover_delay = kIdleTakeover,
                   .max_origin_requests = kMaxOriginRequests,
                   .max_origin_backoff = kMaxOriginBackoff,
                   .max_listing_delay = kMaxListingDelay,
                   .has_named_manifests = true,
                   .on_manifest =
                       [this](const artifact_ref& part,
                              const named_manifest& manifest) {
                         OnPeerManifest(part, manifest);
                       },
                   .seed = process_.OwnIncarnation().value},
                  blobs_),
        loader_({}, LoaderHooks()),
        places_({.max_report_age = kMaxReportAge}, PlaceHooks()),
        crash_monitor_({.self = self_,
                        .own_incarnation = process_.OwnIncarnation(),
                        .seed = process_.OwnIncarnation().value},
                       CrashHooks()),
        pool_(&process_.Loop(), {.connection = {.budget = process_.Budget()}}),
        origin_pool_(&process_.Loop(),
                     {.connection = {.budget = process_.Budget()},
                      .max_idle = kMaxOriginIdle}),
        control_(&process_.Loop(),
                 [this](time_point now,
                        const std::string& from,
                        const proto::envelope& message) {
                   OnMessage(now, from, message);
                 }),
        context_(std::make_unique<zmq::context_t>(1)),
        bulk_(
            {.name = "bulk",
             .listen_address =
                 settings.ip + ":" + std::to_string(settings.first_port + 1)},
            context_.get(),
            &process_.Metrics(),
            [this](proto::envelope&& message) { OnBulk(std::move(message)); }) {
  }

  ~hosted_agent() { bulk_.Stop(); }

  exit_code Run() {
    const site_settings& settings = process_.Settings();
    for (const outcome<done>& started :
         {process_.Start(),
          control_.Bind(settings.ip + ":" +
                        std::to_string(settings.first_port)),
          bulk_.Start()}) {
      if (!started) {
        std::cerr << "fuchsiafall: " << started.LastReason() << "\n";
        return exit_code::kFailed;
      }
    }
    RequestReport(BootNow());
    Tick(BootNow());
    process_.Run();
    bulk_.Stop();
    return exit_code::kOk;
  }

 private:
  // ---- Target state of the site ----

  void OnSiteChanged(time_point now) {
    if (process_.Index() == nullptr)
      return;
    const site_view& view = process_.Index()->View();
    const site_service* service =
        process_.Index()->FindService(process_.Settings().service);
    if (service == nullptr || !service->engine ||
        service->engine->models.empty()) {
      return;
    }
    profile_ = *service->engine;
    places_.Table().SetProfile(profile_, service->cold_rate);
    places_.Table().SetRanked(process_.Index()->IsRanked(service->name));
    model_ = profile_.models.front();
    for (const auto& [name, other] : view.configuration.services) {
      if (!other.origin_address.empty())
        origin_ = other.origin_address;
    }
    loader_.SetModel(model_, profile_.layers);
    target_since_.emplace(kFirstVersion, now);
    if (auto it = view.weights.find(model_); it != view.weights.end()) {
      for (const auto& [version, announcement] : it->second.announcements) {
        // A version set before this process began to watch may be due already.
        target_since_.emplace(version,
                              announcement.was_watched
                                  ? announcement.announced_after
                                  : announcement.announced_after -
                                        process_.Settings().weights_bound);
      }
    }
    UpdateTopology(now, view);
    Plan(now);
    is_draining_ = false;
    for (const auto& [id, server] : view.servers) {
      if (server.address != process_.Settings().engine_address)
        continue;
      is_draining_ = server.is_draining;
      has_been_listed_ = true;
    }
    is_evacuated_ = view.evacuated.contains(process_.Settings().domain);
  }

  /// Rebuilds the topology for the weight transfer when the servers change.
  void UpdateTopology(time_point now, const site_view& view) {
    std::map<std::string, std::string> members;
    for (const auto& [id, server] : view.servers) {
      if (server.service == process_.Settings().service)
        members[server.address.substr(0, server.address.rfind(':'))] =
            server.domain;
    }
    members[self_.value] = process_.Settings().domain;
    if (members == members_)
      return;
    members_ = std::move(members);
    crash_monitor_.SetPeers(now, OtherAgents());
    topology_ = MakeTransferTopology(process_.Settings(), members_);
    load_slot_ = ComputeLoadSlot(members_, self_.value);
    // Makes the next plan give the new topology to the transfer.
    target_versions_.clear();
  }

  // ---- Weights ----

  /// Lists the versions newer than the served one, oldest first.
  std::vector<wanted_version> WantedVersions() const {
    std::vector<wanted_version> wanted;
    const uint64_t served = loader_.ServedVersion();
    for (const auto& [version, at] : target_since_) {
      if (version > served)
        wanted.push_back({version, at, ProgressOf(version)});
    }
    return wanted;
  }

  /// Returns when the served version must be out of use, because a newer one
  /// was set; nullopt while there is none.
  std::optional<time_point> OutdatedAt() const {
    if (loader_.ServedVersion() == 0)
      return std::nullopt;
    auto next = target_since_.upper_bound(loader_.ServedVersion());
    if (next == target_since_.end())
      return std::nullopt;
    return next->second + process_.Settings().weights_bound;
  }

  /// Tells the places when grants on the served version end and when this
  /// server is expected to serve again.
  /// @return When the last request may be granted; nullopt while there is no
  /// newer version.
  std::optional<time_point> UpdateGrantsEnd(time_point now) {
    const bool is_loading = loader_.Report().is_loading;
    const milliseconds back_in =
        ServesAgainIn(now, plan_, WantedVersions(), is_loading);
    places_.Table().SetServesAgainAt(back_in > milliseconds(0) &&
                                             !is_draining_ && !is_evacuated_
                                         ? std::optional(now + back_in)
                                         : std::nullopt);
    const auto outdated_at = OutdatedAt();
    if (!outdated_at) {
      places_.Table().SetGrantsEnd(std::nullopt, std::nullopt);
      return std::nullopt;
    }
    const time_point last_grant =
        *outdated_at - FreeSlotGrantMargin(now, last_piece_at_);
    places_.Table().SetGrantsEnd(
        *outdated_at -
            GrantMargin(now, last_piece_at_, loader_.Report().waiting),
        last_grant);
    return last_grant;
  }

  /// Unloads the served version right before it is outdated, so that the engine
  /// itself begins no request that waits in its queue or arrives late.
  void UnloadOutdated(time_point now) {
    const auto outdated_at = OutdatedAt();
    if (!outdated_at || !IsUnloadDue(now, *outdated_at))
      return;
    if (const auto order = loader_.MakeUnloadOrder(now))
      PerformStep(now, *order);
  }

  double ProgressOf(uint64_t version) const {
    const transfer_manifest* manifest = manifests_.Find(version);
    if (manifest == nullptr)
      return 0;
    const auto& pieces = manifest->pieces;
    const auto held = std::count_if(
        pieces.begin(), pieces.end(),
        [this](const digest& piece) { return blobs_->Find(piece) != nullptr; });
    return static_cast<double>(held) / static_cast<double>(pieces.size());
  }

  /// Updates the plan, and starts the transfers and the staging that it needs.
  void Plan(time_point now) {
    if (origin_.empty() || topology_ == nullptr)
      return;
    const auto wanted = WantedVersions();
    const uint64_t served = loader_.ServedVersion();
    plan_ = PlanWeights(now, {.bound = process_.Settings().weights_bound},
                        served, wanted, load_slot_);
    places_.Table().SetDrainDeadline(served > 0 ? plan_.load_at : std::nullopt);
    std::vector<uint64_t> fetch = plan_.fetch;
    // The served version stays available to servers that join, and its manifest
    // is needed to verify it.
    if (served > 0 && (fetch.empty() || loader_.NeedsHeldDigests()))
      fetch.push_back(served);
    transfer_.SetListed(now, has_been_listed_);
    SetTransferTarget(now, fetch);
    for (uint64_t version : fetch) {
      // Bytes from the origin did not match it.
      if (manifests_.Find(version) != nullptr &&
          manifests_.NeedsRead(now, version))
        ReadManifest(now, version);
    }
    const uint64_t wanted_stage = plan_.stage != 0 ? plan_.stage : served;
    const uint64_t stage = loader_.ChooseTarget(now, wanted_stage);
    const transfer_manifest* manifest = manifests_.Find(stage);
    if (stage != loader_.TargetVersion() && manifest != nullptr)
      loader_.SetTarget(stage, manifest->pieces);
    if (manifest == nullptr && manifests_.Find(wanted_stage) != nullptr)
      loader_.OnHeldDigestsMissing(now);
    loader_.SetTargetConfirmed(manifests_.IsConfirmed(loader_.TargetVersion()));
    // Pieces staged at the engine already are not fetched.
    transfer_.SetMayRequestChunks(now, loader_.HasCompared());
  }

  /// Reads a manifest from the origin until enough reads agree on it.
  void ReadManifest(time_point now, uint64_t version) {
    if (manifests_.IsReading(version))
      return;
    if (manifests_.IsConfirmed(version)) {
      PassManifestToTransfer(now, version);
      return;
    }
    manifests_.OnReadStarted(version);
    CallOrigin(
        now, {.address = origin_,
              .request = platform::EncodeManifestCall(origin_, model_, version),
              .timeout = kOriginTimeout,
              .on_done = [this, version](time_point at, int status,
                                         const std::string& body) {
                OnManifest(at, version, status, body);
              }});
  }

  void OnManifest(time_point now,
                  uint64_t version,
                  int status,
                  const std::string& body) {
    auto read = status == 200 ? platform::DecodeManifest(body)
                              : failure{"status " + std::to_string(status)};
    const auto is_changed = manifests_.OnReadResult(now, version, read);
    if (!is_changed) {
      LogEvent(log_event::kOriginFailed,
               "manifest version=" + std::to_string(version) +
                   " why=" + is_changed.LastReason());
      process_.Metrics().Count("origin_failed");
      blob_arrival failed{.wanted = ManifestName(model_, version)};
      failed.status = status == kHttpNotFound || status == kHttpGone
                          ? blob_arrival::status_type::kNotHere
                          : blob_arrival::status_type::kUnreachable;
      OnBlob(now, failed);
      return;
    }
    if (*is_changed)
      RefreshTarget(version);
    if (manifests_.IsConfirmed(version)) {
      PassManifestToTransfer(now, version);
      Tick(now);
      return;
    }
    const bool is_first_read = manifests_.Reads(version) == 1;
    process_.Loop().StartTimer(
        now + (is_first_read ? milliseconds(0) : kManifestRetryDelay),
        [this, version](time_point at) { ReadManifest(at, version); });
  }

  /// Gives a manifest read from the origin to the transfer, which spreads it.
  void PassManifestToTransfer(time_point now, uint64_t version) {
    const transfer_manifest* manifest = manifests_.Find(version);
    output_list out;
    transfer_.ReplaceManifest(
        now, ManifestName(model_, version),
        {.bytes = manifest->bytes, .reads = manifests_.Reads(version)}, &out);
    Perform(now, &out);
  }

  /// Uses a manifest that the transfer got from a peer.
  void OnPeerManifest(const artifact_ref& part,
                      const named_manifest& manifest) {
    const uint64_t version = std::stoull(part.name);
    if (manifests_.Adopt(version, manifest.bytes, manifest.reads))
      RefreshTarget(version);
  }

  /// Compares the staged pieces with the manifest in use, if it is that of the
  /// version to be staged.
  void RefreshTarget(uint64_t version) {
    const transfer_manifest* manifest = manifests_.Find(version);
    if (version == loader_.TargetVersion() && manifest != nullptr)
      loader_.SetTarget(version, manifest->pieces);
  }

  void SetTransferTarget(time_point now, const std::vector<uint64_t>& fetch) {
    if (fetch.empty() || fetch == target_versions_)
      return;
    target_versions_ = fetch;
    std::vector<artifact_ref> parts;
    for (uint64_t version : fetch) {
      parts.push_back({std::to_string(version), ManifestName(model_, version)});
    }
    output_list out;
    transfer_.SetTarget(now, topology_, process_.Settings().service, parts,
                        !has_transfer_ && fetch.front() == kFirstVersion, &out);
    has_transfer_ = true;
    Perform(now, &out);
    for (uint64_t version : fetch) {
      if (manifests_.IsConfirmed(version))
        PassManifestToTransfer(now, version);
    }
  }

  void Perform(time_point now, output_list* out) {
    for (output& item : out->Items()) {
      if (auto* send = std::get_if<send_message>(&item)) {
        if (send->where == plane::kBulk) {
          // The link's thread uses std::chrono::steady_clock.
          send->send_at = std::chrono::steady_clock::now() +
                          std::max<duration>(duration(0), send->send_at - now);
          bulk_.Send(std::move(*send));
        } else {
          control_.Send(send->address, send->message);
        }
      } else if (auto* fetch = std::get_if<fetch_from_origin>(&item)) {
        FetchFromOrigin(now, fetch->wanted);
      } else if (auto* reset = std::get_if<reset_link>(&item)) {
        bulk_.Reset(reset->address);
      } else if (auto* line = std::get_if<log_line>(&item)) {
        LogEvent(line->event, line->detail);
      } else if (auto* count = std::get_if<count_event>(&item)) {
        process_.Metrics().Count(count->name, count->amount);
      }
    }
  }

  void FetchFromOrigin(time_point now, const digest& wanted) {
    for (uint64_t version : target_versions_) {
      if (ManifestName(model_, version) == wanted)
        return ReadManifest(now, version);
    }
    const auto piece = manifests_.LocatePiece(wanted);
    if (!piece)
      return;
    CallOrigin(now, {.address = origin_,
                     .request = platform::EncodePieceCall(
                         origin_, model_, piece->version, piece->index),
                     .timeout = kOriginTimeout,
                     .max_pause = kOriginTimeout,
                     .on_done = [this, wanted](time_point at, int status,
                                               std::string body) {
                       blob_arrival blob{.wanted = wanted};
                       if (status == 200) {
                         blob.actual = DigestOf(body);
                         if (blob.actual != wanted)
                           manifests_.OnPieceMismatch(wanted);
                         blob.bytes =
                             std::make_shared<std::string>(std::move(body));
                       } else {
                         blob.status = blob_arrival::status_type::kUnreachable;
                       }
                       OnBlob(at, blob);
                     }});
  }

  void OnBlob(time_point now, const blob_arrival& blob) {
    if (blob.bytes)
      last_piece_at_ = now;
    output_list out;
    transfer_.OnBlob(now, blob, &out);
    transfer_.RunDue(now, &out);
    Perform(now, &out);
    Stage(now);
  }

  /// Runs in the thread of the bulk link.
  void OnBulk(proto::envelope&& message) {
    auto shared = std::make_shared<proto::envelope>(std::move(message));
    process_.Loop().Post([this, shared] {
      const time_point now = BootNow();
      output_list out;
      if (shared->has_blob_request()) {
        transfer_.OnBlobRequest(now, vm_id(shared->vm()),
                                shared->blob_request(), &out);
        Perform(now, &out);
      } else if (shared->has_blob_answer()) {
        OnBlob(now, ReadBlob(shared.get()));
      }
    });
  }

  static blob_arrival ReadBlob(proto::envelope* message) {
    proto::blob_answer* answer = message->mutable_blob_answer();
    blob_arrival blob{.source_vm = vm_id(message->vm()),
                      .request_id = answer->request_id(),
                      .wanted = digest(answer->digest())};
    if (answer->status() == proto::blob_answer::OK) {
      auto bytes = std::make_shared<std::string>();
      bytes->swap(*answer->mutable_data());
      blob.actual = DigestOf(*bytes);
      blob.bytes = std::move(bytes);
    } else {
      blob.status = answer->status() == proto::blob_answer::BUSY
                        ? blob_arrival::status_type::kBusy
                        : blob_arrival::status_type::kNotHere;
    }
    return blob;
  }

  // ---- Staging and load orders ----

  void Stage(time_point now) {
    loader_.MarkAvailable(
        [this](const digest& piece) { return blobs_->Find(piece) != nullptr; });
    if (const auto step = loader_.NextStep(now, plan_.load))
      PerformStep(now, *step);
  }

  void PerformStep(time_point now, const engine_step& step) {
    if (const auto* read = std::get_if<read_piece>(&step)) {
      ReadPiece(now, *read);
    } else if (const auto* write = std::get_if<write_piece>(&step)) {
      WritePiece(now, *write);
    } else {
      SendOrder(now, std::get<send_order>(step));
    }
  }

  /// Sends a request to the engine.
  void CallEngine(time_point now,
                  const std::string& request,
                  milliseconds timeout,
                  const std::function<void(time_point,
                                           const engine_call_result&,
                                           const std::string&)>& on_done) {
    auto is_given_up = std::make_shared<bool>(false);
    Call(now, {.address = process_.Settings().engine_address,
               .request = request,
               .timeout = timeout,
               .on_done =
                   [is_given_up, on_done](time_point at, int status,
                                          const std::string& body) {
                     on_done(at,
                             {.status = status, .is_given_up = *is_given_up},
                             body);
                   },
               .on_timeout = [is_given_up](time_point,
                                           size_t) { *is_given_up = true; }});
  }

  void WritePiece(time_point now, const write_piece& write) {
    const shared_bytes bytes =
        blobs_->Find(loader_.ExpectedDigest(write.piece));
    CallEngine(now,
               platform::EncodeStageWrite(process_.Settings().engine_address,
                                          model_, write.piece, *bytes),
               kWriteTimeout,
               [this, write](time_point at, const engine_call_result& result,
                             const std::string&) {
                 loader_.OnWriteEnded(at, write, result);
                 Stage(at);
               });
  }

  void ReadPiece(time_point now, const read_piece& read) {
    CallEngine(
        now,
        platform::EncodeStageRead(process_.Settings().engine_address, model_,
                                  read.piece),
        kEngineTimeout,
        [this, now, read](time_point at, const engine_call_result& result,
                          const std::string& body) {
          OnPieceRead(at, now, read, result, body);
          Stage(at);
          UpdateServing(at);
        });
  }

  void OnPieceRead(time_point now,
                   time_point sent_at,
                   const read_piece& read,
                   const engine_call_result& result,
                   const std::string& body) {
    std::optional<digest> actual;
    if (result.status == kHttpOk)
      actual = DigestOf(body);
    const bool is_match =
        loader_.OnReadEnded(now, sent_at, read, result, actual);
    // A piece staged already need not be fetched.
    if (is_match && blobs_->Find(*actual) == nullptr)
      blobs_->Put(*actual, std::make_shared<std::string>(body));
  }

  void SendOrder(time_point now, const send_order& step) {
    const engine_order& order = step.order;
    LogEvent(
        order.is_unload ? log_event::kEngineUnloads : log_event::kEngineOrdered,
        "version=" + std::to_string(order.version) +
            " served=" + std::to_string(loader_.ServedVersion()) +
            " orders=" + std::to_string(order.reported_orders) +
            (order.is_unload
                 ? ""
                 : " checked_ms=" + std::to_string(ToMs(
                                        loader_.OldestVerificationAge(now)))));
    process_.Metrics().Count("orders");
    places_.SetAccepting(now, false);
    CallEngine(
        now,
        platform::EncodeEngineOrder(process_.Settings().engine_address, order),
        kEngineTimeout,
        [this, now, step](time_point at, const engine_call_result& result,
                          const std::string&) {
          loader_.OnOrderEnded(at, step, result);
          process_.Metrics().Count("order_status_" +
                                   std::to_string(result.status));
          LogEvent(log_event::kEngineOrderAnswered,
                   "version=" + std::to_string(step.order.version) +
                       " unload=" + std::to_string(step.order.is_unload) +
                       " status=" + std::to_string(result.status) +
                       " after_ms=" + std::to_string(ToMs(at - now)));
        });
  }

  void RequestReport(time_point now) {
    const std::string& engine = process_.Settings().engine_address;
    Call(now,
         {.address = engine,
          .request = platform::EncodeReportCall(engine),
          .timeout = kEngineTimeout,
          .on_done = [this, now](time_point at, int status,
                                 const std::string& body) {
            OnReport(at, now, status, body);
            process_.Loop().StartTimer(
                at + (loader_.NeedsReport() ? kDoubtInterval : kReportInterval),
                [this](time_point next) { RequestReport(next); });
          }});
  }

  void OnReport(time_point now,
                time_point requested_at,
                int status,
                const std::string& body) {
    auto report = status == 200 ? platform::DecodeEngineReport(body)
                                : failure{"status " + std::to_string(status)};
    bool is_restarted = false;
    if (report) {
      is_restarted = loader_.OnReport(now, requested_at, *report);
      if (is_restarted) {
        LogEvent(log_event::kEngineRestarted,
                 "born=" + std::to_string(report->started_at_ms));
      }
      places_.OnEngineReport(now, *report, is_restarted);
    } else {
      loader_.OnUnreachable();
    }
    process_.Metrics().SetGauge(
        "engine_slowdown_percent",
        std::lround(places_.Table().Slowdown(now) * 100));
    crash_monitor_.OnEngineReport(now, static_cast<bool>(report), is_restarted);
    Stage(now);
    UpdateServing(now);
  }

  /// Decides whether places are granted.
  void UpdateServing(time_point now) {
    const bool was_serving = is_serving_;
    const uint64_t before = std::exchange(served_, loader_.ServedVersion());
    const auto grants_end = UpdateGrantsEnd(now);
    is_serving_ = loader_.IsServing(now) && !is_draining_ && !is_evacuated_ &&
                  !(grants_end && now > *grants_end);
    places_.SetAccepting(now, is_serving_);
    if (is_serving_ != was_serving || served_ != before) {
      LogEvent(log_event::kEngineState,
               "serving=" + std::to_string(is_serving_) +
                   " version=" + std::to_string(served_) +
                   " loading=" + std::to_string(loader_.Report().is_loading) +
                   " reachable=" + std::to_string(loader_.IsReachable()) +
                   " load=" + std::to_string(places_.Table().Load()));
    }
  }

  weight_loader_hooks LoaderHooks() {
    return {.log = [](log_event event,
                      const std::string& detail) { LogEvent(event, detail); },
            .count =
                [this](const std::string& name) {
                  process_.Metrics().Count(name);
                }};
  }

  // ---- Crashes ----

  crash_monitor_hooks CrashHooks() {
    crash_monitor_hooks hooks;
    hooks.send = [this](const std::string& address,
                        const proto::envelope& message) {
      control_.Send(address, message);
    };
    hooks.log = [](log_event event, const std::string& detail) {
      LogEvent(event, detail);
    };
    hooks.count = [this](const std::string& name) {
      process_.Metrics().Count(name);
    };
    return hooks;
  }

  std::vector<std::string> OtherAgents() const {
    std::vector<std::string> agents;
    for (const auto& [ip, domain] : members_) {
      if (ip != self_.value) {
        agents.push_back(ip + ":" +
                         std::to_string(process_.Settings().first_port));
      }
    }
    return agents;
  }

  // ---- Places and messages ----

  hosted_places_hooks PlaceHooks() {
    return {.send =
                [this](const std::string& entry,
                       const std::function<void(proto::place_answer*)>& write) {
                  proto::envelope envelope =
                      MakeEnvelope(self_, process_.OwnIncarnation());
                  write(envelope.mutable_place_answer());
                  control_.Send(entry, envelope);
                },
            .weights = [this] { return loader_.IntactWeights(); },
            .crashes = &crash_monitor_,
            .start_timer =
                [this](time_point at, std::function<void(time_point)> hook) {
                  return process_.Loop().StartTimer(at, std::move(hook));
                },
            .cancel_timer =
                [this](timer_id id) { process_.Loop().CancelTimer(id); },
            .log = LogEvent,
            .counters = &process_.Metrics()};
  }

  void OnMessage(time_point now,
                 const std::string& from,
                 const proto::envelope& message) {
    if (message.has_place_question()) {
      places_.OnPlaceQuestion(now, from, message.place_question());
    } else if (message.has_place_return()) {
      places_.OnPlaceReturn(now, from, message.place_return());
    } else if (message.has_crash_note()) {
      crash_monitor_.OnMessage(now, from, message);
    } else if (message.has_have()) {
      output_list out;
      transfer_.OnHaveMap(now, vm_id(message.vm()), message.have(), &out);
      Perform(now, &out);
    }
  }

  // ---- Calls and time ----

  void Call(time_point now, const async_http_call& call) {
    StartAsyncHttpCall(now, &process_.Loop(), &pool_, call);
  }

  /// Calls the origin of weights on a connection that is soon closed again.
  void CallOrigin(time_point now, const async_http_call& call) {
    StartAsyncHttpCall(now, &process_.Loop(), &origin_pool_, call);
  }

  void Tick(time_point now) {
    if (tick_timer_ != 0)
      process_.Loop().CancelTimer(tick_timer_);
    if (ticked_at_ && now - *ticked_at_ > kMinLoggedPause) {
      LogEvent(log_event::kPauseNoticed,
               "ms=" + std::to_string(ToMs(now - *ticked_at_)));
    }
    ticked_at_ = now;
    output_list out;
    if (has_transfer_)
      transfer_.RunDue(now, &out);
    Perform(now, &out);
    crash_monitor_.RunDue(now);
    Plan(now);
    Stage(now);
    UnloadOutdated(now);
    pool_.CloseIdle(now);
    origin_pool_.CloseIdle(now);
    const bool is_busy = has_transfer_ && !transfer_.IsComplete();
    tick_timer_ = process_.Loop().StartTimer(
        now + (is_busy ? kTransferInterval : kReportInterval),
        [this](time_point at) {
          tick_timer_ = 0;
          Tick(at);
        });
  }

  hosted_process process_;
  vm_id self_;
  std::shared_ptr<blob_store> blobs_;
  weight_transfer transfer_;
  weight_loader loader_;
  hosted_places places_;
  crash_monitor crash_monitor_;
  http_client_pool pool_;         ///< Connections to the engine.
  http_client_pool origin_pool_;  ///< Connections to the origin of weights.
  datagram_link control_;
  std::unique_ptr<zmq::context_t> context_;
  message_link bulk_;
  engine_profile profile_;
  std::string model_;
  std::string origin_;                          ///< ip:port
  std::map<std::string, std::string> members_;  ///< Domains by server IP.
  topology_ptr topology_;
  double load_slot_ = 0;  ///< Share of servers that load before this one.
  std::map<uint64_t, time_point> target_since_;  ///< When each version was set.
  manifest_cache manifests_{{}};
  weights_plan plan_;
  std::vector<uint64_t>
      target_versions_;  ///< Versions that the transfer has as its target.
  std::optional<time_point> last_piece_at_;  ///< When a piece last arrived.
  bool has_transfer_ = false;
  bool is_serving_ = false;
  uint64_t served_ = 0;  ///< Version, when this was last decided.
  bool is_draining_ = false;
  bool has_been_listed_ = false;  ///< The own server, in the store.
  bool is_evacuated_ = false;
  timer_id tick_timer_ = 0;
  std::optional<time_point> ticked_at_;  ///< Last run of Tick().
};

}  // namespace

exit_code RunHostedAgent(const site_settings& settings) {
  return hosted_agent(settings).Run();
}

}  // namespace fuchsiafall
