/// @file entry_process.cc Threads and sockets around the entry's state machine.
#include "entry_process.h"

#include <iostream>
#include <map>

#include "entry_base.h"
#include "network/caller_http.h"
#include "network/control_loop.h"
#include "network/http_server.h"

namespace fuchsiafall {

namespace {

constexpr milliseconds kReadinessLead{
    500};  // For the balancer to notice before the exit.

entry_options OptionsOf(const settings& from, incarnation own) {
  const vm_id self(from.vm);
  const domain_id domain(from.domain);
  entry_options options{.self = self, .domain = domain};
  options.gossip = GossipOptionsOf(from, own);
  options.routing = {.self = self,
                     .domain = domain,
                     .subset = static_cast<size_t>(from.subset),
                     .is_random = from.baseline != 0,
                     .seed = own.value};
  options.requests = {
      .self = self,
      .own_incarnation = own,
      .own_traffic_address = from.ip + ":" + std::to_string(from.port + 2),
      .deadline = milliseconds(from.deadline_ms),
      .progress = milliseconds(from.progress_ms),
      .retry_share = from.baseline != 0
                         ? 100
                         : static_cast<double>(from.retry_percent) / 100};
  return options;
}

/// The entry with its threads.
class entry_process {
 public:
  explicit entry_process(const settings& from)
      : settings_(from),
        runtime_(from, Hooks()),
        machine_(OptionsOf(from, runtime_.OwnIncarnation())),
        loop_({.pause = milliseconds(from.pause_ms)},
              &machine_,
              [this](std::vector<output>&& items) {
                Perform(std::move(items));
              }) {}

  exit_code Run() {
    outcome<done> started = runtime_.Start();
    if (!started)
      return Fail(started.LastReason());
    auto server = StartHttpServer(
        {settings_.http_ip, settings_.http_port, settings_.http_threads},
        [this](auto& request, auto& response) { Answer(&request, &response); });
    if (!server)
      return Fail(server.LastReason());
    LogEvent(log_event::kProcessStarted, "role=entry vm=" + settings_.vm);
    loop_.Run([this] { return IsFinished(); });
    RefuseOpen();
    (*server)->stopAll(true);
    runtime_.Stop();
    LogEvent(log_event::kProcessStopped, "role=entry vm=" + settings_.vm);
    return exit_code::kOk;
  }

 private:
  node_hooks Hooks() {
    return {
        .on_message = [this](message_arrival m) { loop_.Post(std::move(m)); },
        .on_store = [this](store_news n) { loop_.Post(std::move(n)); },
        .on_vm_list = [this](proto::vm_list l) { loop_.Post(std::move(l)); },
        .on_shutdown =
            [this] {
              LogEvent(log_event::kProcessStopping,
                       "role=entry vm=" + settings_.vm);
              loop_.Post(shutdown_order());
            }};
  }

  static exit_code Fail(const std::string& why) {
    std::cerr << "fuchsiafall: " << why << "\n";
    return exit_code::kFailed;
  }

  bool IsFinished() {
    const time_point now = std::chrono::steady_clock::now();
    runtime_.SetWatch(machine_.Gossip().World()->Revision(),
                      machine_.Gossip().WatchesStore(now));
    if (!machine_.IsShuttingDown())
      return false;
    if (!stop_begun_)
      stop_begun_ = now;
    const duration passed = now - *stop_begun_;
    if (passed > seconds(settings_.drain_s))
      return true;
    return machine_.IsDrained() && passed > kReadinessLead;
  }

  void Perform(std::vector<output>&& items) {
    for (output& item : items) {
      if (runtime_.Perform(&item))
        continue;
      if (auto* part = std::get_if<answer_part>(&item)) {
        Deliver(part->request, std::move(*part));
      } else if (auto* refusal = std::get_if<answer_refusal>(&item)) {
        Deliver(refusal->request, *refusal);
      }
    }
  }

  /// Ends what is still open when the longest time to drain is over.
  void RefuseOpen() {
    std::lock_guard lock(mutex_);
    is_closed_ = true;
    for (auto& [id, channel] : channels_) {
      channel->Push(
          answer_refusal{id, reason::kShuttingDown, true, milliseconds(0)});
    }
  }

  void Deliver(uint64_t request, caller_event event) {
    std::lock_guard lock(mutex_);
    auto it = channels_.find(request);
    if (it != channels_.end())
      it->second->Push(std::move(event));
  }

  void Answer(Poco::Net::HTTPServerRequest* request,
              Poco::Net::HTTPServerResponse* response) {
    const std::string& path = request->getURI();
    if (path == "/metrics") {
      AnswerHttp(response, 200, "text/plain", runtime_.DescribeMetrics());
    } else if (path == "/healthz") {
      AnswerHttp(response, 200, "text/plain", "ok\n");
    } else if (path == "/readyz") {
      bool ready = loop_.Ask([](const entry& e) { return e.IsReady(); });
      AnswerHttp(response, ready ? 200 : 503, "text/plain",
                 ready ? "ready\n" : "not ready\n");
    } else {
      AnswerCaller(request, response);
    }
  }

  void AnswerCaller(Poco::Net::HTTPServerRequest* request,
                    Poco::Net::HTTPServerResponse* response) {
    outcome<caller_request> read = ReadCallerRequest(request);
    if (!read) {
      runtime_.Metrics().CountRefusal(reason::kBadRequest);
      WriteRefusal(response, {.why = reason::kBadRequest}, read.LastReason());
      return;
    }
    const time_point begun = std::chrono::steady_clock::now();
    auto channel = std::make_shared<caller_channel>();
    {
      std::unique_lock lock(mutex_);
      if (is_closed_) {
        lock.unlock();
        WriteRefusal(response, {.why = reason::kShuttingDown},
                     "the process is shutting down");
        return;
      }
      read->id = next_request_++;
      channels_[read->id] = channel;
    }
    const uint64_t id = read->id;
    loop_.Post(std::move(*read));
    bool stayed = false;
    try {
      stayed = WriteAnswer(channel.get(), response);
    } catch (const Poco::Exception&) {
      stayed = false;
    }
    if (!stayed)
      loop_.Post(caller_gone{id});
    runtime_.Metrics().Time("request",
                            std::chrono::steady_clock::now() - begun);
    std::lock_guard lock(mutex_);
    channels_.erase(id);
  }

  settings settings_;
  node_runtime runtime_;
  entry machine_;
  control_loop<entry, entry_input> loop_;
  std::mutex mutex_;
  std::map<uint64_t, std::shared_ptr<caller_channel>>
      channels_;  ///< By request id.
  uint64_t next_request_ = 1;
  bool is_closed_ = false;  ///< Whether the control thread has ended.
  std::optional<time_point> stop_begun_;
};

}  // namespace

exit_code RunEntry(const settings& from) {
  return entry_process(from).Run();
}

}  // namespace fuchsiafall
