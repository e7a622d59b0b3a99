/// @file role_process.h Common process structure of all roles around their
/// state machine.
#ifndef NETWORK_ROLE_PROCESS_H_
#define NETWORK_ROLE_PROCESS_H_

#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "network/control_loop.h"
#include "network/http_server.h"
#include "network/node_runtime.h"

namespace fuchsiafall {

/// Hooks that differ between roles.
template <typename Machine>
struct role_hooks {
  std::string role;  ///< For logs.
  std::function<std::unique_ptr<Machine>(incarnation)> make_machine;
  std::function<void(output*)> perform;  ///< Role-specific outputs.
  std::function<bool(const Machine&)> is_ready;
  /// Answers role-specific HTTP paths.
  std::function<void(Poco::Net::HTTPServerRequest*,
                     Poco::Net::HTTPServerResponse*)>
      answer;
  /// Returns whether the shutdown is complete, given the time since its start.
  std::function<bool(const Machine&, duration)> is_finished;
  std::function<void()> on_started;
  std::function<void()>
      on_stopped;  ///< Called after the control thread has ended, before the
                   ///< links and servers stop.
};

/// State machine with its control thread, links and HTTP server.
template <typename Machine, typename Input>
class role_process {
 public:
  role_process(const settings& from, role_hooks<Machine> hooks)
      : settings_(from),
        hooks_(std::move(hooks)),
        runtime_(from, NodeHooks()),
        machine_(hooks_.make_machine(runtime_.OwnIncarnation())),
        loop_({.pause_threshold = milliseconds(from.pause_threshold_ms)},
              machine_.get(),
              [this](std::vector<output>&& items) {
                Perform(std::move(items));
              }) {}

  /// Runs until a graceful shutdown is complete.
  exit_code Run() {
    outcome<done> started = runtime_.Start();
    if (!started)
      return Fail(started.LastReason());
    auto started_server = StartHttpServer(
        {settings_.http_ip, settings_.http_port, settings_.http_threads},
        [this](auto& request, auto& response) { Answer(&request, &response); });
    if (!started_server)
      return Fail(started_server.LastReason());
    server_ = *started_server;
    LogEvent(log_event::kProcessStarted, Name());
    hooks_.on_started();
    loop_.Run([this] { return IsFinished(); });
    hooks_.on_stopped();
    runtime_.Stop();
    server_->StopWhenIdle(kAnswerTimeout);
    LogEvent(log_event::kProcessStopped, Name());
    return exit_code::kOk;
  }

  /// Queues an input for the control thread.
  void Post(Input input) { loop_.Post(std::move(input)); }
  control_loop<Machine, Input>& Loop() { return loop_; }
  node_runtime& Runtime() { return runtime_; }

 private:
  /// Time to send the answers that are ready at the end of a shutdown.
  static constexpr milliseconds kAnswerTimeout{2000};

  node_hooks NodeHooks() {
    node_hooks hooks;
    hooks.on_message = [this](message_arrival m) { Post(std::move(m)); };
    hooks.on_store = [this](store_changes n) { Post(std::move(n)); };
    hooks.on_vm_list = [this](proto::vm_list l) { Post(std::move(l)); };
    if constexpr (std::is_constructible_v<Input, blob_arrival>) {
      hooks.on_blob = [this](blob_arrival b) { Post(std::move(b)); };
    }
    hooks.on_shutdown = [this] {
      LogEvent(log_event::kProcessStopping, Name());
      Post(shutdown_order());
    };
    return hooks;
  }

  static exit_code Fail(const std::string& why) {
    std::cerr << "fuchsiafall: " << why << "\n";
    return exit_code::kFailed;
  }

  std::string Name() const {
    return "role=" + hooks_.role + " vm=" + settings_.vm;
  }

  /// Called before each round; also updates what controls the store watch.
  /// @return Whether the shutdown is complete or has timed out.
  bool IsFinished() {
    const time_point now = std::chrono::steady_clock::now();
    const gossip& members = machine_->Gossip();
    runtime_.UpdateStoreWatch(members.Topology()->Revision(),
                              members.WatchesStore(now));
    if (!machine_->IsShuttingDown())
      return false;
    if (!shutdown_started_at_) {
      shutdown_started_at_ = now;
      server_->CloseAfterAnswers();
    }
    const duration passed = now - *shutdown_started_at_;
    return passed > seconds(settings_.drain_s) ||
           hooks_.is_finished(*machine_, passed);
  }

  void Perform(std::vector<output>&& items) {
    for (output& item : items) {
      if (!runtime_.Perform(&item))
        hooks_.perform(&item);
    }
  }

  void Answer(Poco::Net::HTTPServerRequest* request,
              Poco::Net::HTTPServerResponse* response) {
    const std::string& path = request->getURI();
    if (path == "/metrics") {
      AnswerHttp(response, Poco::Net::HTTPResponse::HTTP_OK, "text/plain",
                 runtime_.DescribeMetrics());
    } else if (path == "/healthz") {
      AnswerHttp(response, Poco::Net::HTTPResponse::HTTP_OK, "text/plain",
                 "ok\n");
    } else if (path == "/readyz") {
      const bool ready = loop_.Query(hooks_.is_ready);
      AnswerHttp(response,
                 ready ? Poco::Net::HTTPResponse::HTTP_OK
                       : Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                 "text/plain", ready ? "ready\n" : "not ready\n");
    } else {
      hooks_.answer(request, response);
    }
  }

  settings settings_;
  role_hooks<Machine> hooks_;
  node_runtime runtime_;
  std::unique_ptr<Machine> machine_;
  control_loop<Machine, Input> loop_;
  std::shared_ptr<http_server> server_;
  std::optional<time_point> shutdown_started_at_;
};

}  // namespace fuchsiafall

#endif  // NETWORK_ROLE_PROCESS_H_
