/// @file agent_process.cc Threads and sockets that drive the agent's state
/// machine.
#include "agent_process.h"

#include <Poco/ThreadPool.h>
#include <google/protobuf/util/json_util.h>

#include <iostream>

#include "call_record_func.h"
#include "hash_func.h"
#include "network/engine_client.h"
#include "network/http_call.h"
#include "network/pool_work.h"
#include "network/role_process.h"

namespace fuchsiafall {

namespace {

/// Polling interval of the engine's state.
constexpr milliseconds kReportInterval{300};
constexpr int kOriginThreads = 4;
constexpr int kRecordThreads = 16;
constexpr seconds kOriginTimeout{10};
/// Lets the links send the last answers before the process exits.
constexpr milliseconds kFlushDelay{300};

agent_options OptionsOf(const settings& from, incarnation own) {
  const vm_id self(from.vm);
  const domain_id domain(from.domain);
  agent_options options{.self = self, .domain = domain};
  options.gossip = GossipOptionsOf(from, own);
  options.weights = {.self = self,
                     .domain = domain,
                     .own_incarnation = own,
                     .rate = static_cast<double>(from.weight_rate),
                     .chunk_timeout = milliseconds(from.chunk_timeout_ms),
                     .upload_queue = static_cast<size_t>(from.upload_queue),
                     .staging_bytes = static_cast<uint64_t>(from.staging_mb)
                                      << 20,
                     .neighbours = static_cast<size_t>(from.weight_neighbours),
                     .is_direct = from.direct != 0,
                     .seed = own.value};
  options.server = {.self = self,
                    .domain = domain,
                    .own_incarnation = own,
                    .max_report_age = milliseconds(from.max_report_age_ms)};
  options.calls.self = self;
  options.calls.own_incarnation = own;
  options.calls.admission.admits_all = from.baseline != 0;
  options.calls.admission.queue_length = static_cast<size_t>(from.queue_length);
  return options;
}

/// Agent with its threads and HTTP handlers.
class agent_process {
 public:
  explicit agent_process(const settings& from)
      : settings_(from),
        process_(from, Hooks()),
        engine_({.address = from.engine,
                 .weights_address =
                     from.http_ip + ":" + std::to_string(from.http_port)},
                [this](engine_part part) { process_.Post(std::move(part)); }) {}

  exit_code Run() { return process_.Run(); }

 private:
  role_hooks<agent> Hooks() {
    role_hooks<agent> hooks;
    hooks.role = "agent";
    hooks.make_machine = [this](incarnation own) {
      return std::make_unique<agent>(OptionsOf(settings_, own), blobs_);
    };
    hooks.perform = [this](output* item) { Perform(item); };
    hooks.is_ready = [](const agent& machine) {
      return machine.State().accepting();
    };
    hooks.answer = [this](auto* request, auto* response) {
      Answer(request, response);
    };
    hooks.is_finished = [this](const agent& machine, duration passed) {
      if (!machine.IsDrained() || machine.Calls().Queued() > 0)
        return false;
      if (!drained_after_)
        drained_after_ = passed;
      return passed - *drained_after_ > kFlushDelay;
    };
    hooks.on_started = [this] {
      report_thread_ = std::thread([this] { WatchEngine(); });
    };
    hooks.on_stopped = [this] {
      is_stopping_ = true;
      report_thread_.join();
      engine_.Stop();
      origin_pool_.joinAll();
      record_pool_.joinAll();
    };
    return hooks;
  }

  void Perform(output* item) {
    if (const auto* fetch = std::get_if<fetch_from_origin>(item)) {
      StartWork(&origin_pool_,
                [this, wanted = fetch->wanted] { FetchFromOrigin(wanted); });
    } else if (const auto* order = std::get_if<order_load>(item)) {
      const time_point issued_at = std::chrono::steady_clock::now();
      StartWork(&record_pool_, [this, copy = *order, issued_at] {
        process_.Post(engine_.Load(copy, issued_at));
      });
    } else if (const auto* call = std::get_if<start_call>(item)) {
      engine_.Start(*call);
    } else if (const auto* cancel = std::get_if<cancel_call>(item)) {
      engine_.Cancel({cancel->entry, cancel->attempt});
    } else if (const auto* record = std::get_if<create_record>(item)) {
      StartRecord(*record);
    } else if (const auto* release = std::get_if<release_record>(item)) {
      StartWork(&record_pool_, [this, copy = *release] {
        ReleaseRecordIn(process_.Runtime().Store(), copy);
      });
    }
  }

  void StartRecord(const create_record& record) {
    const call_id id{record.entry, record.attempt};
    bool started = StartWork(&record_pool_, [this, record, id] {
      const time_point begun = std::chrono::steady_clock::now();
      record_result::status_type status =
          CreateRecordIn(process_.Runtime().Store(), record);
      process_.Runtime().Metrics().RecordDuration(
          "record_create", std::chrono::steady_clock::now() - begun);
      process_.Post(record_result{id, status});
    });
    if (!started)
      process_.Post(
          record_result{id, record_result::status_type::kUnavailable});
  }

  void FetchFromOrigin(const digest& wanted) {
    http_result result = CallHttp({.address = settings_.origin,
                                   .path = "/blobs/" + ToHex(wanted.value),
                                   .timeout = kOriginTimeout,
                                   .max_duration = 2 * kOriginTimeout});
    blob_arrival blob{.wanted = wanted};
    const bool is_answered =
        result.status == http_result::status_type::kAnswered;
    if (is_answered && result.http_status == Poco::Net::HTTPResponse::HTTP_OK) {
      blob.actual = DigestOf(result.body);
      blob.bytes = std::make_shared<std::string>(std::move(result.body));
    } else if (is_answered &&
               result.http_status == Poco::Net::HTTPResponse::HTTP_NOT_FOUND) {
      blob.status = blob_arrival::status_type::kNotHere;
    } else {
      blob.status = blob_arrival::status_type::kUnreachable;
    }
    process_.Post(std::move(blob));
  }

  void WatchEngine() {
    while (!is_stopping_) {
      process_.Post(engine_.Report());
      std::this_thread::sleep_for(kReportInterval);
    }
  }

  void Answer(Poco::Net::HTTPServerRequest* request,
              Poco::Net::HTTPServerResponse* response) {
    const std::string& path = request->getURI();
    constexpr std::string_view kWeights = "/weights/";
    constexpr std::string_view kManifests = "/manifests/";
    if (path.starts_with(kWeights)) {
      AnswerWeights(path.substr(kWeights.size()), response);
    } else if (path.starts_with(kManifests)) {
      AnswerManifest(path.substr(kManifests.size()), response);
    } else if (path == "/status") {
      AnswerStatus(response);
    } else {
      AnswerHttp(response, Poco::Net::HTTPResponse::HTTP_NOT_FOUND,
                 "text/plain", "not found\n");
    }
  }

  void AnswerStatus(Poco::Net::HTTPServerResponse* response) {
    std::string text;
    auto state =
        process_.Loop().Query([](const agent& a) { return a.State(); });
    google::protobuf::util::JsonPrintOptions print_options;
    print_options.always_print_primitive_fields = true;
    auto status = google::protobuf::util::MessageToJsonString(state, &text,
                                                              print_options);
    AnswerHttp(response, status.ok() ? 200 : 500, "application/json", text);
  }

  void AnswerManifest(const std::string& hex,
                      Poco::Net::HTTPServerResponse* response) {
    outcome<digest> name = DigestFromHex(hex);
    shared_bytes bytes = name ? blobs_->Find(*name) : nullptr;
    if (bytes == nullptr) {
      AnswerHttp(response, 404, "text/plain", "no such manifest\n");
      return;
    }
    AnswerHttp(response, 200, "application/octet-stream", *bytes);
  }

  void AnswerWeights(const std::string& hex,
                     Poco::Net::HTTPServerResponse* response) {
    outcome<digest> manifest = DigestFromHex(hex);
    if (!manifest) {
      AnswerHttp(response, 400, "text/plain", manifest.LastReason() + "\n");
      return;
    }
    auto chunks = process_.Loop().Query(
        [&manifest](const agent& a) { return a.Weights().Weights(*manifest); });
    if (chunks.empty()) {
      AnswerHttp(response, 404, "text/plain",
                 "no complete weights of this digest\n");
      return;
    }
    std::streamsize length = 0;
    for (const shared_bytes& chunk : chunks)
      length += static_cast<std::streamsize>(chunk->size());
    response->setContentType("application/octet-stream");
    response->setContentLength(length);
    std::ostream& stream = response->send();
    for (const shared_bytes& chunk : chunks)
      stream << *chunk;
  }

  settings settings_;
  std::shared_ptr<blob_store> blobs_ = std::make_shared<blob_store>();
  std::atomic<bool> is_stopping_{false};
  /// Time from the start of the shutdown until the agent was drained.
  std::optional<duration> drained_after_;
  std::thread report_thread_;
  Poco::ThreadPool origin_pool_{1, kOriginThreads};
  Poco::ThreadPool record_pool_{1, kRecordThreads};
  role_process<agent, agent_input> process_;
  engine_client engine_;
};

}  // namespace

exit_code RunAgent(const settings& from) {
  return agent_process(from).Run();
}

}  // namespace fuchsiafall
