/// @file hosted_agent.cc Sockets of an agent that runs on a hosting platform,
/// beside its engine.
#include <algorithm>
#include <iostream>
#include <zmq.hpp>

#include "platform/documents.h"
#include "engine_steward_base.h"
#include "hash_func.h"
#include "hosted_process.h"
#include "network/datagram_link.h"
#include "network/message_link.h"
#include "piece_stager_base.h"
#include "place_table_base.h"
#include "weight_transfer_base.h"

namespace fuchsiafall {

namespace {

constexpr milliseconds kReportInterval{100};  // Reports are free on this VM.
constexpr milliseconds kTick{20};  // While weights are on their way.
constexpr milliseconds kLocalTimeout{1000};  // Of calls to the engine.
/// A piece takes 30 ms over the origin's link, and a few may wait there.
constexpr milliseconds kOriginTimeout{2500};
constexpr milliseconds kManifestRetry{300};
/// Of a holder of pieces: its queue and the way, several times over.
constexpr milliseconds kChunkTimeout{700};
/// Part of the link for weights; answers of the engine share it.
constexpr double kBulkShare = 0.85;
constexpr uint64_t kFirstVersion = 1;  // Until operators name another.

/// Call of the agent to its engine or to the origin.
struct agent_call {
  std::string address;
  std::string bytes;
  milliseconds timeout{0};
  std::function<void(time_point, int status, std::string body)> on_done;
};

/// The agent with its sockets. Everything runs in the traffic loop, but for
/// the bulk link's own thread.
class hosted_agent {
 public:
  explicit hosted_agent(const site_settings& settings)
      : base_(
            settings,
            [this](time_point now) { OnView(now); },
            [this](time_point) { base_.Finish(); }),
        self_(settings.ip),
        blobs_(std::make_shared<blob_store>()),
        transfer_({.self = self_,
                   .domain = domain_id(settings.domain),
                   .own_incarnation = base_.OwnIncarnation(),
                   .rate = settings.link_bytes * kBulkShare,
                   .chunk_timeout = kChunkTimeout,
                   .seed = base_.OwnIncarnation().value},
                  blobs_),
        stager_({}),
        steward_({.bound = settings.weights_bound}),
        places_({.cold_factor = settings.cold_factor}),
        pool_(&base_.Loop(), {}),
        control_(&base_.Loop(),
                 [this](time_point now, const std::string& from,
                        const proto::envelope& message) {
                   OnMessage(now, from, message);
                 }),
        context_(std::make_unique<zmq::context_t>(1)),
        bulk_({.name = "bulk",
               .listen_address = settings.ip + ":" +
                                 std::to_string(settings.first_port + 1)},
              context_.get(),
              &base_.Metrics(),
              [this](proto::envelope&& message) { OnBulk(std::move(message)); }) {
  }

  ~hosted_agent() { bulk_.Stop(); }

  exit_code Run() {
    const site_settings& settings = base_.Settings();
    base_.Start();
    for (outcome<done> started :
         {control_.Bind(settings.ip + ":" +
                        std::to_string(settings.first_port)),
          bulk_.Start()}) {
      if (!started) {
        std::cerr << "fuchsiafall: " << started.LastReason() << "\n";
        return exit_code::kFailed;
      }
    }
    AskReport(BootNow());
    Tick(BootNow());
    base_.Run();
    bulk_.Stop();
    return exit_code::kOk;
  }

 private:
  // ---- What the site wants ----

  void OnView(time_point now) {
    if (base_.Index() == nullptr)
      return;
    const site_view& view = base_.Index()->View();
    const site_service* service =
        base_.Index()->FindService(base_.Settings().service);
    if (service == nullptr || !service->engine ||
        service->engine->models.empty()) {
      return;
    }
    figures_ = *service->engine;
    places_.SetFigures(figures_, service->cold_rate);
    model_ = figures_.models.front();
    for (const auto& [name, other] : view.configuration.services) {
      if (!other.origin_address.empty())
        origin_ = other.origin_address;
    }
    uint64_t wanted = kFirstVersion;
    time_point wanted_at = now;
    if (auto it = view.weights.find(model_); it != view.weights.end()) {
      wanted = std::max(wanted, it->second.version);
      wanted_at = it->second.seen_at;
    }
    UpdateWorld(now, view);
    steward_.SetWanted(model_, wanted, figures_.layers, wanted_at, Turn());
    if (wanted != target_version_) {
      target_version_ = wanted;
      manifest_.reset();
      FetchManifest(now);
    }
    is_leaving_ = false;
    for (const auto& [id, server] : view.servers) {
      if (server.address == base_.Settings().engine_address)
        is_leaving_ = server.is_draining;
    }
    is_evacuated_ = view.evacuated.contains(base_.Settings().domain);
  }

  /// Part of all servers that go before this one, by the hash of their
  /// addresses, so that neighbours don't go together.
  double Turn() const {
    if (members_.empty())
      return 0;
    std::vector<std::string> ids;
    for (const auto& [id, domain] : members_)
      ids.push_back(id);
    const auto order = RendezvousRank("turn", ids, ids.size());
    for (size_t i = 0; i < order.size(); ++i) {
      if (ids[order[i]] == self_.value)
        return static_cast<double>(i) / static_cast<double>(order.size());
    }
    return 0;
  }

  /// Makes the world that the transfer of weights knows out of the servers.
  void UpdateWorld(time_point now, const site_view& view) {
    std::map<std::string, std::string> members;
    for (const auto& [id, server] : view.servers) {
      if (server.service == base_.Settings().service)
        members[server.address.substr(0, server.address.rfind(':'))] =
            server.domain;
    }
    members[self_.value] = base_.Settings().domain;
    if (members == members_)
      return;
    members_ = std::move(members);
    world_ = MakeWorld();
    if (manifest_)
      SetTransferTarget(now);
  }

  world_ptr MakeWorld() const {
    proto::configuration configuration;
    proto::inventory* inventory = configuration.mutable_inventory();
    std::set<std::string> domains;
    for (const auto& [ip, domain] : members_) {
      if (domains.insert(domain).second) {
        proto::failure_domain* made = inventory->add_domains();
        made->set_id(domain);
        auto region = base_.Settings().regions.find(domain);
        if (region != base_.Settings().regions.end())
          made->set_region(region->second);
      }
      proto::vm* vm = inventory->add_vms();
      vm->set_id(ip);
      vm->set_ip(ip);
      vm->set_domain(domain);
      vm->set_role(proto::vm::AGENT);
      vm->set_port(base_.Settings().first_port);
      vm->set_service(base_.Settings().service);
    }
    return std::make_shared<world>(std::move(configuration));
  }

  // ---- Weights ----

  void FetchManifest(time_point now) {
    if (origin_.empty() || is_fetching_manifest_)
      return;
    is_fetching_manifest_ = true;
    const uint64_t version = target_version_;
    Call(now,
         {.address = origin_,
          .bytes = platform::WriteManifestCall(origin_, model_, version),
          .timeout = kOriginTimeout,
          .on_done = [this](time_point at, int status, std::string body) {
            is_fetching_manifest_ = false;
            OnManifest(at, status, body);
          }});
  }

  void OnManifest(time_point now, int status, const std::string& body) {
    auto read = status == 200 ? platform::DecodeManifest(body)
                              : failure{"status " + std::to_string(status)};
    if (!read || read->version != target_version_) {
      if (!read) {
        LogEvent(log_event::kOriginFailed, "manifest version=" +
                                               std::to_string(target_version_) +
                                               " why=" + read.LastReason());
        base_.Metrics().Count("origin_failed");
      }
      base_.Loop().StartTimer(now + kManifestRetry, [this](time_point at) {
        if (!manifest_)
          FetchManifest(at);
      });
      return;
    }
    proto::manifest manifest;
    manifest.set_chunk_bytes(read->chunk_bytes);
    manifest.set_total_bytes(static_cast<uint64_t>(read->chunk_bytes) *
                             read->digests.size());
    std::vector<digest> pieces;
    std::string all;
    for (const std::string& hex : read->digests) {
      auto piece = DigestFromHex(hex);
      if (!piece) {
        base_.Metrics().Count("origin_failed");
        base_.Loop().StartTimer(now + kManifestRetry, [this](time_point at) {
          FetchManifest(at);
        });
        return;
      }
      manifest.add_chunk_digests(piece->value);
      all += piece->value;
      pieces.push_back(*piece);
    }
    manifest.set_whole_digest(DigestOf(all).value);
    auto bytes = std::make_shared<std::string>(manifest.SerializeAsString());
    manifest_ = DigestOf(*bytes);
    manifest_bytes_ = bytes;
    piece_index_.clear();
    for (uint32_t i = 0; i < pieces.size(); ++i)
      piece_index_[pieces[i]] = i;
    stager_.SetTarget(std::move(pieces));
    has_transfer_ = false;
    Tick(now);
  }

  /// Begins the transfer once what lies at the engine has been surveyed.
  void SetTransferTarget(time_point now) {
    if (world_ == nullptr || !manifest_ || !stager_.IsSurveyed())
      return;
    blobs_->Put(*manifest_, manifest_bytes_);
    output_list out;
    transfer_.SetTarget(now, world_, base_.Settings().service,
                        {{std::to_string(target_version_), *manifest_}},
                        !has_transfer_ && target_version_ == kFirstVersion,
                        &out);
    has_transfer_ = true;
    Perform(now, &out);
  }

  void Perform(time_point now, output_list* out) {
    for (output& item : out->Items()) {
      if (auto* send = std::get_if<send_message>(&item)) {
        if (send->where == plane::kBulk) {
          // The link's thread keeps the system's steady clock.
          send->send_at = std::chrono::steady_clock::now() +
                          std::max<duration>(duration(0), send->send_at - now);
          bulk_.Send(std::move(*send));
        } else {
          control_.Send(send->address, send->message);
        }
      } else if (auto* fetch = std::get_if<fetch_from_origin>(&item)) {
        FetchPiece(now, fetch->wanted);
      } else if (auto* reset = std::get_if<reset_link>(&item)) {
        bulk_.Reset(reset->address);
      } else if (auto* line = std::get_if<log_line>(&item)) {
        LogEvent(line->event, line->detail);
      } else if (auto* count = std::get_if<count_event>(&item)) {
        base_.Metrics().Count(count->name, count->amount);
      }
    }
  }

  void FetchPiece(time_point now, const digest& wanted) {
    auto piece = piece_index_.find(wanted);
    if (piece == piece_index_.end())
      return;
    Call(now,
         {.address = origin_,
          .bytes = platform::WritePieceCall(origin_, model_, target_version_,
                                            piece->second),
          .timeout = kOriginTimeout,
          .on_done = [this, wanted](time_point at, int status,
                                    std::string body) {
            blob_arrival blob{.wanted = wanted};
            if (status == 200) {
              blob.actual = DigestOf(body);
              blob.bytes = std::make_shared<std::string>(std::move(body));
            } else {
              blob.status = blob_arrival::status_type::kUnreachable;
            }
            OnBlob(at, blob);
          }});
  }

  void OnBlob(time_point now, const blob_arrival& blob) {
    output_list out;
    transfer_.OnBlob(now, blob, &out);
    transfer_.Step(now, &out);
    Perform(now, &out);
    Stage(now);
  }

  /// In the link's own thread.
  void OnBulk(proto::envelope&& message) {
    auto shared = std::make_shared<proto::envelope>(std::move(message));
    base_.Loop().Post([this, shared] {
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
    blob_arrival blob{.giver = vm_id(message->vm()),
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

  // ---- Staging and orders ----

  void Stage(time_point now) {
    if (is_staging_ || !stager_.HasTarget())
      return;
    const std::string& engine = base_.Settings().engine_address;
    for (uint32_t i = 0; i < stager_.Pieces(); ++i) {
      if (blobs_->Find(stager_.Wanted(i)) != nullptr)
        stager_.OnAtHand(i);
    }
    if (auto order = steward_.Order(now, stager_.IsFresh(now))) {
      SendOrder(now, *order);
      return;
    }
    auto next = stager_.Next(now, steward_.WantsOrder(now));
    if (!next) {
      if (!has_transfer_ && stager_.IsSurveyed())
        SetTransferTarget(now);
      return;
    }
    is_staging_ = true;
    const uint64_t version = target_version_;
    const uint32_t piece = next->piece;
    if (next->type == piece_stager::operation_type::kWrite) {
      const shared_bytes bytes = blobs_->Find(stager_.Wanted(piece));
      Call(now, {.address = engine,
                 .bytes = platform::WriteStageCall(engine, model_, piece,
                                                   *bytes),
                 .timeout = kLocalTimeout,
                 .on_done = [this, version, piece](time_point at, int status,
                                                   const std::string&) {
                   is_staging_ = false;
                   if (version != target_version_)
                     return Stage(at);
                   if (status / 100 == 2) {
                     stager_.OnWritten(piece);
                   } else {
                     stager_.OnFailed(at);
                   }
                   Stage(at);
                 }});
      return;
    }
    Call(now,
         {.address = engine,
          .bytes = platform::WriteStagedCall(engine, model_, piece),
          .timeout = kLocalTimeout,
          .on_done = [this, version, piece](time_point at, int status,
                                            std::string body) {
            is_staging_ = false;
            if (version == target_version_)
              OnStagedRead(at, piece, status, std::move(body));
            Stage(at);
          }});
  }

  void OnStagedRead(time_point now,
                    uint32_t piece,
                    int status,
                    std::string body) {
    constexpr int kNotFound = 404;
    if (status != 200 && status != kNotFound) {
      stager_.OnFailed(now);
      return;
    }
    std::optional<digest> actual;
    if (status == 200)
      actual = DigestOf(body);
    if (stager_.OnRead(now, piece, actual)) {
      // What lies there already need not be fetched.
      if (blobs_->Find(*actual) == nullptr)
        blobs_->Put(*actual, std::make_shared<std::string>(std::move(body)));
    } else if (actual) {
      base_.Metrics().Count("staged_pieces_wrong");
    }
  }

  void SendOrder(time_point now, const start_order& order) {
    const std::string& engine = base_.Settings().engine_address;
    LogEvent(log_event::kEngineOrdered,
             "version=" + std::to_string(order.version) + " served=" +
                 std::to_string(steward_.ServedVersion()) +
                 " orders=" + std::to_string(order.orders_before));
    base_.Metrics().Count("orders");
    places_.SetAccepting(false);
    Call(now, {.address = engine,
               .bytes = platform::WriteStartOrder(engine, order),
               .timeout = kLocalTimeout,
               .on_done = [this](time_point, int status, const std::string&) {
                 base_.Metrics().Count("order_status_" +
                                       std::to_string(status));
               }});
  }

  void AskReport(time_point now) {
    const std::string& engine = base_.Settings().engine_address;
    Call(now,
         {.address = engine,
          .bytes = platform::WriteReportCall(engine),
          .timeout = kLocalTimeout,
          .on_done = [this](time_point at, int status, std::string body) {
            OnReport(at, status, body);
            base_.Loop().StartTimer(
                at + kReportInterval,
                [this](time_point next) { AskReport(next); });
          }});
  }

  void OnReport(time_point now, int status, const std::string& body) {
    auto report = status == 200 ? platform::DecodeReport(body)
                                : failure{"status " + std::to_string(status)};
    const bool was_serving = is_serving_;
    const uint64_t served = steward_.ServedVersion();
    if (report) {
      if (steward_.OnReport(now, *report)) {
        LogEvent(log_event::kEngineRestarted,
                 "born=" + std::to_string(report->born_ms));
        places_.OnRestart(now);
        stager_.Recheck();
      }
      places_.OnReport(now, *report);
      if (report->cold_left > milliseconds(0))
        places_.SetCold(now + report->cold_left);
    } else {
      steward_.OnUnreachable();
    }
    is_serving_ = steward_.IsServing(now) && !is_leaving_ && !is_evacuated_;
    places_.SetAccepting(is_serving_);
    if (is_serving_ != was_serving || served != steward_.ServedVersion()) {
      LogEvent(log_event::kEngineState,
               "serving=" + std::to_string(is_serving_) + " version=" +
                   std::to_string(steward_.ServedVersion()) +
                   " loading=" + std::to_string(steward_.Report().is_loading) +
                   " reachable=" + std::to_string(steward_.IsReachable()) +
                   " load=" + std::to_string(places_.Load()));
    }
    Stage(now);
  }

  // ---- Places ----

  void OnMessage(time_point now,
                 const std::string& from,
                 const proto::envelope& message) {
    if (message.has_place_question()) {
      const proto::place_question& question = message.place_question();
      place_ask ask{.entry = from,
                    .incarnation = message.incarnation(),
                    .call = question.call(),
                    .prompt_tokens = question.prompt_tokens(),
                    .patience = milliseconds(question.patience_ms()),
                    .time_left = milliseconds(question.time_left_ms()),
                    .is_resumed = question.is_resumed()};
      const place_reply reply = places_.Ask(now, ask);
      base_.Metrics().Count(reply.is_granted ? "places_granted"
                                             : "places_denied");
      proto::envelope back;
      back.set_vm(self_.value);
      back.set_incarnation(base_.OwnIncarnation().value);
      proto::place_answer* answer = back.mutable_place_answer();
      answer->set_call(ask.call);
      answer->set_is_granted(reply.is_granted);
      answer->set_free_after_ms(
          static_cast<uint32_t>(reply.free_after.count()));
      answer->set_load(reply.load);
      answer->set_slots(reply.slots);
      control_.Send(from, back);
    } else if (message.has_place_return()) {
      places_.Return(now, from, message.place_return().call());
    } else if (message.has_have()) {
      output_list out;
      transfer_.OnHaveMap(now, vm_id(message.vm()), message.have(), &out);
      Perform(now, &out);
    }
  }

  // ---- Calls and time ----

  void Call(time_point now, agent_call call) {
    struct pending {
      int status = 0;
      std::string body;
      timer_id timeout = 0;
    };
    auto state = std::make_shared<pending>();
    auto done = std::make_shared<decltype(call.on_done)>(
        std::move(call.on_done));
    auto taken = pool_.Take(now, call.address);
    if (!taken) {
      base_.Loop().Post([done] { (*done)(BootNow(), 0, ""); });
      return;
    }
    std::shared_ptr<http_client_connection> connection = *taken;
    exchange_hooks hooks;
    hooks.on_head = [state](time_point, const Poco::Net::HTTPResponse& head) {
      state->status = head.getStatus();
      return true;
    };
    hooks.on_body = [state](time_point, std::string_view bytes) {
      state->body += bytes;
    };
    hooks.on_end = [this, state, done](time_point at, exchange_end end) {
      base_.Loop().CancelTimer(state->timeout);
      if (end != exchange_end::kComplete)
        state->status = 0;
      (*done)(at, state->status, std::move(state->body));
    };
    state->timeout = base_.Loop().StartTimer(
        now + call.timeout, [connection, done](time_point at) {
          connection->Abort();
          (*done)(at, 0, "");
        });
    connection->Start(call.bytes, false, std::move(hooks));
  }

  void Tick(time_point now) {
    if (tick_timer_ != 0)
      base_.Loop().CancelTimer(tick_timer_);
    output_list out;
    if (has_transfer_)
      transfer_.Step(now, &out);
    Perform(now, &out);
    Stage(now);
    pool_.CloseIdle(now);
    const bool is_busy = manifest_ && !transfer_.IsComplete();
    tick_timer_ = base_.Loop().StartTimer(
        now + (is_busy ? kTick : kReportInterval),
        [this](time_point at) {
          tick_timer_ = 0;
          Tick(at);
        });
  }

  hosted_base base_;
  vm_id self_;
  std::shared_ptr<blob_store> blobs_;
  weight_transfer transfer_;
  piece_stager stager_;
  engine_steward steward_;
  place_table places_;
  http_client_pool pool_;
  datagram_link control_;
  std::unique_ptr<zmq::context_t> context_;
  message_link bulk_;
  engine_figures figures_;
  std::string model_;
  std::string origin_;  ///< ip:port
  std::map<std::string, std::string> members_;  ///< Domain by address.
  world_ptr world_;
  uint64_t target_version_ = 0;
  std::optional<digest> manifest_;
  shared_bytes manifest_bytes_;
  std::map<digest, uint32_t> piece_index_;
  bool has_transfer_ = false;
  bool is_fetching_manifest_ = false;
  bool is_staging_ = false;
  bool is_serving_ = false;
  bool is_leaving_ = false;
  bool is_evacuated_ = false;
  timer_id tick_timer_ = 0;
};

}  // namespace

exit_code RunHostedAgent(const site_settings& settings) {
  return hosted_agent(settings).Run();
}

}  // namespace fuchsiafall
