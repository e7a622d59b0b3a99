/// @file status_cmd.cc Operator commands that query all processes and show
/// their state.
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <condition_variable>
#include <iomanip>
#include <iostream>
#include <thread>
#include <zmq.hpp>

#include "configuration_store.h"
#include "operator_cmd.h"

namespace fuchsiafall {

namespace {

constexpr milliseconds kStoreTimeout{3000};
constexpr milliseconds kWatchInterval{1000};
// Ports to receive the processes' answers on; a free one is chosen.
constexpr int kFirstListenPort = 52000;
constexpr int kListenPorts = 2000;

/// Answer of one VM.
struct vm_answer {
  bool answered = false;
  proto::heartbeat heartbeat;
};

using answer_map = std::map<std::string, vm_answer>;

/// Requests a heartbeat from every process and collects the answers.
class survey {
 public:
  explicit survey(const command_line& line) : line_(line), context_(1) {}

  outcome<answer_map> Run(const proto::configuration& configuration) {
    answer_map answers;
    for (const auto& vm : configuration.inventory().vms())
      answers[vm.id()] = {};
    std::mutex mutex;
    std::condition_variable wake;
    size_t missing = answers.size();
    outcome<std::unique_ptr<message_link>> link =
        Listen([&](proto::envelope&& message) {
          std::lock_guard lock(mutex);
          auto it = answers.find(message.vm());
          if (it == answers.end() || !message.has_heartbeat())
            return;
          if (!it->second.answered)
            --missing;
          it->second = {true, message.heartbeat()};
          wake.notify_one();
        });
    if (!link)
      return failure{link.LastReason()};
    for (const auto& vm : configuration.inventory().vms())
      RequestHeartbeat(link->get(), vm);
    {
      std::unique_lock lock(mutex);
      wake.wait_for(lock, milliseconds(line_.wait_ms),
                    [&] { return missing == 0; });
    }
    (*link)->Stop();
    return answers;
  }

 private:
  outcome<std::unique_ptr<message_link>> Listen(
      const message_link::message_hook& on_arrival) {
    const int first =
        static_cast<int>(std::hash<std::string>()(NewEditId()) % kListenPorts);
    std::string reason;
    // Tries ports 97 apart from a random first one, so that commands that run
    // at the same time rarely try the same ports.
    for (int i = 0; i < kListenPorts; i += 97) {
      address_ = line_.listen_ip + ":" +
                 std::to_string(kFirstListenPort + (first + i) % kListenPorts);
      auto link = std::make_unique<message_link>(
          message_link_options{
              .name = "survey", .listen_address = address_, .keys = line_.keys},
          &context_, &metrics_, on_arrival);
      outcome<done> started = link->Start();
      if (started)
        return link;
      reason = started.LastReason();
    }
    return failure{reason};
  }

  void RequestHeartbeat(message_link* link, const proto::vm& vm) {
    send_message send{.where = plane::kControl,
                      .address = topology::AddressOf(vm, plane::kControl)};
    send.message.set_vm("operator " + address_);
    send.message.set_reply_address(address_);
    send.message.mutable_heartbeat()->set_reply_wanted(true);
    // Asks for the server state in the reply.
    send.message.mutable_heartbeat()->set_watch(true);
    // The highest revision and index, so that no configuration or VM list is
    // sent back.
    send.message.mutable_heartbeat()->set_revision(UINT64_MAX);
    send.message.mutable_heartbeat()->set_vm_list_index(UINT64_MAX);
    link->Send(std::move(send));
  }

  const command_line& line_;
  zmq::context_t context_;
  metrics metrics_;
  std::string address_;
};

outcome<proto::configuration> ReadCurrentConfiguration(
    const command_line& line) {
  store_client store = MakeStoreClient(line.store, kStoreTimeout);
  outcome<stored_head> head = ReadHead(store);
  if (!head)
    return failure{head.LastReason()};
  return ReadConfiguration(store, head->head);
}

std::string StateText(const proto::vm& vm, const vm_answer& answer) {
  if (!answer.answered)
    return "no answer";
  if (vm.role() == proto::vm::ENTRY)
    return "answers";
  if (answer.heartbeat.state().accepting())
    return "serving";
  return "not serving";
}

void PrintStatusTable(const proto::configuration& configuration,
                      const answer_map& answers) {
  std::cout << "revision " << configuration.revision() << ", out of service:";
  if (configuration.domains_out().empty())
    std::cout << " none";
  for (const std::string& domain : configuration.domains_out())
    std::cout << ' ' << domain;
  std::cout << "\n\n"
            << std::left << std::setw(20) << "VM" << std::setw(14) << "DOMAIN"
            << std::setw(7) << "ROLE" << std::setw(10) << "REVISION"
            << std::setw(13) << "STATE" << std::setw(16) << "VERSION"
            << "LOAD\n";
  for (const auto& vm : configuration.inventory().vms()) {
    const vm_answer& answer = answers.at(vm.id());
    const proto::server_state& state = answer.heartbeat.state();
    std::cout << std::setw(20) << vm.id() << std::setw(14) << vm.domain()
              << std::setw(7)
              << (vm.role() == proto::vm::ENTRY ? "entry" : "agent")
              << std::setw(10)
              << (answer.answered ? std::to_string(answer.heartbeat.revision())
                                  : "-")
              << std::setw(13) << StateText(vm, answer) << std::setw(16)
              << (state.version().empty() ? "-" : state.version());
    if (vm.role() == proto::vm::AGENT)
      std::cout << state.in_flight() << '/' << state.limit();
    std::cout << '\n';
  }
}

void PrintStatusJson(const proto::configuration& configuration,
                     const answer_map& answers) {
  Poco::JSON::Array vms;
  for (const auto& vm : configuration.inventory().vms()) {
    const vm_answer& answer = answers.at(vm.id());
    Poco::JSON::Object item;
    item.set("vm", vm.id());
    item.set("domain", vm.domain());
    item.set("role", vm.role() == proto::vm::ENTRY ? "entry" : "agent");
    item.set("answered", answer.answered);
    item.set("revision", answer.heartbeat.revision());
    item.set("state", StateText(vm, answer));
    item.set("version", answer.heartbeat.state().version());
    item.set("in_flight", answer.heartbeat.state().in_flight());
    item.set("limit", answer.heartbeat.state().limit());
    vms.add(item);
  }
  Poco::JSON::Object body;
  body.set("revision", configuration.revision());
  body.set("vms", vms);
  body.stringify(std::cout, 2);
  std::cout << '\n';
}

/// Rollout progress of the servers of one service in one failure domain.
struct rollout_row {
  std::string service;
  std::string domain;
  std::string version;
  size_t servers = 0;
  size_t with_weights = 0;  ///< Servers that hold all weights.
  size_t serving = 0;       ///< Servers that serve the intended version.
  size_t failed = 0;
  size_t unanswered = 0;            ///< Servers that did not answer.
  uint64_t progress_sum = 0;        ///< Percent, summed over the servers.
  uint64_t from_origin = 0;         ///< Bytes.
  uint64_t from_own_domain = 0;     ///< Bytes.
  uint64_t from_other_domains = 0;  ///< Bytes.
  std::string last_reason;
};

std::vector<rollout_row> BuildRolloutRows(
    const proto::configuration& configuration,
    const answer_map& answers) {
  std::map<std::pair<std::string, std::string>, rollout_row> rows;
  const topology view(configuration);
  for (const auto& vm : configuration.inventory().vms()) {
    const proto::service* service = view.FindService(vm.service());
    if (service == nullptr || service->kind() != proto::service::MODEL)
      continue;
    rollout_row& row = rows[{service->id(), vm.domain()}];
    row.service = service->id();
    row.domain = vm.domain();
    row.version = service->version();
    ++row.servers;
    const vm_answer& answer = answers.at(vm.id());
    const proto::server_state& state = answer.heartbeat.state();
    if (!answer.answered) {
      ++row.unanswered;
      continue;
    }
    row.progress_sum += state.progress_percent();
    row.from_origin += state.bytes_from_origin();
    row.from_own_domain += state.bytes_from_own_domain();
    row.from_other_domains += state.bytes_from_other_domains();
    if (state.progress_percent() == 100)
      ++row.with_weights;
    if (state.version() == service->version())
      ++row.serving;
    if (!state.last_reason().empty()) {
      ++row.failed;
      row.last_reason = vm.id() + ": " + state.last_reason();
    }
  }
  std::vector<rollout_row> list;
  list.reserve(rows.size());
  for (auto& [key, row] : rows)
    list.push_back(std::move(row));
  return list;
}

uint64_t Progress(const rollout_row& row) {
  return row.servers == 0 ? 0 : row.progress_sum / row.servers;
}

/// Formats a number of bytes as whole MiB.
std::string FormatMiB(uint64_t bytes) {
  return std::to_string(bytes >> 20) + "M";
}

void PrintRolloutTable(const std::vector<rollout_row>& rows) {
  std::cout << std::left << std::setw(16) << "SERVICE" << std::setw(14)
            << "DOMAIN" << std::setw(16) << "VERSION" << std::setw(9)
            << "SERVERS" << std::setw(9) << "WEIGHTS" << std::setw(9)
            << "SERVING" << std::setw(8) << "FAILED" << std::setw(8) << "SILENT"
            << std::setw(9) << "PROGRESS" << std::setw(8) << "ORIGIN"
            << std::setw(8) << "OWN" << std::setw(8) << "OTHER"
            << "LAST REASON\n";
  for (const rollout_row& row : rows) {
    std::cout << std::setw(16) << row.service << std::setw(14) << row.domain
              << std::setw(16) << row.version << std::setw(9) << row.servers
              << std::setw(9) << row.with_weights << std::setw(9) << row.serving
              << std::setw(8) << row.failed << std::setw(8) << row.unanswered
              << std::setw(9) << (std::to_string(Progress(row)) + "%")
              << std::setw(8) << FormatMiB(row.from_origin) << std::setw(8)
              << FormatMiB(row.from_own_domain) << std::setw(8)
              << FormatMiB(row.from_other_domains) << row.last_reason << '\n';
  }
}

void PrintRolloutJson(const std::vector<rollout_row>& rows) {
  Poco::JSON::Array list;
  for (const rollout_row& row : rows) {
    Poco::JSON::Object item;
    item.set("service", row.service);
    item.set("domain", row.domain);
    item.set("version", row.version);
    item.set("servers", row.servers);
    item.set("with_weights", row.with_weights);
    item.set("serving", row.serving);
    item.set("failed", row.failed);
    item.set("silent", row.unanswered);
    item.set("progress_percent", Progress(row));
    item.set("bytes_from_origin", row.from_origin);
    item.set("bytes_from_own_domain", row.from_own_domain);
    item.set("bytes_from_other_domains", row.from_other_domains);
    item.set("last_reason", row.last_reason);
    list.add(item);
  }
  list.stringify(std::cout, 2);
  std::cout << '\n';
}

bool IsFinished(const std::vector<rollout_row>& rows) {
  return std::all_of(rows.begin(), rows.end(), [](const rollout_row& row) {
    return row.serving == row.servers;
  });
}

}  // namespace

exit_code RunStatus(const command_line& line) {
  outcome<proto::configuration> current = ReadCurrentConfiguration(line);
  if (!current)
    return PrintError(exit_code::kUnreachable, current.LastReason());
  outcome<answer_map> answers = survey(line).Run(*current);
  if (!answers)
    return PrintError(exit_code::kFailed, answers.LastReason());
  if (line.json) {
    PrintStatusJson(*current, *answers);
  } else {
    PrintStatusTable(*current, *answers);
  }
  return exit_code::kOk;
}

exit_code RunRollout(const command_line& line) {
  if (line.arguments != std::vector<std::string>{"status"}) {
    return PrintError(exit_code::kUsage,
                      "arguments: allowed is 'rollout status'");
  }
  while (true) {
    outcome<proto::configuration> current = ReadCurrentConfiguration(line);
    if (!current)
      return PrintError(exit_code::kUnreachable, current.LastReason());
    outcome<answer_map> answers = survey(line).Run(*current);
    if (!answers)
      return PrintError(exit_code::kFailed, answers.LastReason());
    std::vector<rollout_row> rows = BuildRolloutRows(*current, *answers);
    if (line.json) {
      PrintRolloutJson(rows);
    } else {
      if (line.watch)
        std::cout << "\033[2J\033[H";
      PrintRolloutTable(rows);
    }
    if (!line.watch || IsFinished(rows))
      return exit_code::kOk;
    std::this_thread::sleep_for(kWatchInterval);
  }
}

}  // namespace fuchsiafall
