/// @file entry_process.cc Process of an entry: threads, sockets and the state
/// machine.
#include "entry_process.h"

#include <map>

#include "entry_base.h"
#include "network/caller_http.h"
#include "network/role_process.h"

namespace fuchsiafall {

namespace {

/// Time for the load balancer to notice the failed readiness check before exit.
constexpr milliseconds kReadinessLead{500};

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
      // The port of plane::kTraffic, see topology::AddressOf().
      .own_traffic_address = from.ip + ":" + std::to_string(from.port + 2),
      .deadline = milliseconds(from.deadline_ms),
      .progress_timeout = milliseconds(from.progress_timeout_ms),
      .retry_share = from.baseline != 0
                         ? 100
                         : static_cast<double>(from.retry_percent) / 100};
  return options;
}

/// Entry process: connects HTTP threads to the control thread.
class entry_process {
 public:
  explicit entry_process(const settings& from)
      : settings_(from), process_(from, Hooks()) {}

  exit_code Run() { return process_.Run(); }

 private:
  role_hooks<entry> Hooks() {
    role_hooks<entry> hooks;
    hooks.role = "entry";
    hooks.make_machine = [this](incarnation own) {
      return std::make_unique<entry>(OptionsOf(settings_, own));
    };
    hooks.perform = [this](output* item) { Perform(item); };
    hooks.is_ready = [](const entry& machine) { return machine.IsReady(); };
    hooks.answer = [this](auto* request, auto* response) {
      AnswerCaller(request, response);
    };
    hooks.is_finished = [](const entry& machine, duration passed) {
      return machine.IsDrained() && passed > kReadinessLead;
    };
    hooks.on_started = [] {};
    hooks.on_stopped = [this] { RefuseOpen(); };
    return hooks;
  }

  void Perform(output* item) {
    if (auto* part = std::get_if<answer_part>(item)) {
      Deliver(part->request, std::move(*part));
    } else if (auto* refusal = std::get_if<answer_refusal>(item)) {
      Deliver(refusal->request, *refusal);
    }
  }

  /// Refuses the requests that are still open when the drain timeout has
  /// passed.
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

  void AnswerCaller(Poco::Net::HTTPServerRequest* request,
                    Poco::Net::HTTPServerResponse* response) {
    outcome<caller_request> read = ReadCallerRequest(request);
    if (!read) {
      process_.Runtime().Metrics().CountRefusal(reason::kBadRequest);
      WriteRefusal(response, {.why = reason::kBadRequest}, read.LastReason());
      return;
    }
    const time_point started_at = std::chrono::steady_clock::now();
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
    process_.Post(std::move(*read));
    bool is_connected = false;
    try {
      is_connected = WriteAnswer(channel.get(), response);
    } catch (const Poco::Exception&) {
      is_connected = false;
    }
    if (!is_connected)
      process_.Post(caller_disconnected{id});
    process_.Runtime().Metrics().RecordDuration(
        "request", std::chrono::steady_clock::now() - started_at);
    std::lock_guard lock(mutex_);
    channels_.erase(id);
  }

  settings settings_;
  std::mutex mutex_;
  /// Channels of the open requests, by request id.
  std::map<uint64_t, std::shared_ptr<caller_channel>> channels_;
  uint64_t next_request_ = 1;
  bool is_closed_ = false;  ///< Whether the control thread has ended.
  role_process<entry, entry_input> process_;
};

}  // namespace

exit_code RunEntry(const settings& from) {
  return entry_process(from).Run();
}

}  // namespace fuchsiafall
