/// @file fleet.h Fleet of real processes and stand-ins on loopback, for benches
/// and tests.
#ifndef HARNESS_FLEET_H_
#define HARNESS_FLEET_H_

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "outcome_type.h"
#include "proto/fuchsiafall.pb.h"
#include "time_type.h"

namespace fuchsiafall::harness {

/// Child process that is killed when the object is destroyed.
class child_process {
 public:
  /// @param log File that gets standard output and standard error.
  /// @param variables Added to the environment, as NAME=VALUE.
  child_process(std::vector<std::string> arguments,
                std::string log,
                std::vector<std::string> variables = {});
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  void Start();
  void Signal(int signal) const;
  /// Waits for the process to end.
  /// @return Its exit code (128 + N after signal N), or nothing after the
  /// timeout.
  std::optional<int> Wait(milliseconds timeout);
  /// Sends SIGKILL and waits for the end of the process.
  void Kill();
  bool IsRunning();
  pid_t Pid() const { return pid_; }
  /// Returns the processor time used so far.
  duration CpuTime() const;
  int64_t ResidentKb() const;
  const std::string& Log() const { return log_; }

 private:
  std::vector<std::string> arguments_;
  std::string log_;
  std::vector<std::string> variables_;
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
};

/// Service of a fleet.
struct fleet_service {
  std::string id;
  bool is_plain = false;
  size_t total = 0;  ///< Servers over all failure domains; 0 to use `servers`.
  size_t servers = 2;  ///< In each failure domain, if `total` is 0.
  uint32_t cold_limit = 2;
  uint32_t max_limit = 16;
};

struct fleet_options {
  std::string directory;  ///< For settings and logs.
  std::vector<std::string> domains{"western", "southern", "eastern"};
  size_t entries = 2;  ///< In each failure domain.
  std::vector<fleet_service> services;
  /// Weights that the origin serves, as NAME:BYTES:CHUNK_BYTES:SEED.
  std::vector<std::string> weights;
  double origin_rate = 16e6;  ///< Bytes per second.
  double vm_rate = 8e6;       ///< Bytes per second.
  /// Bytes per second between two domains, each way.
  double region_rate = 2.5e6;
  int region_delay_ms = 2;  ///< Between two domains, one way.
  bool has_proxy = false;   ///< Whether domains are linked through the proxy.
  bool checks_fencing = false;  ///< Whether engines check fencing tokens.
  int warm_after = 8;   ///< Answered calls after which an engine is warm.
  int load_ms = 200;    ///< Time of an engine to load weights.
  int prefill_ms = 10;  ///< Time of an engine to the first token.
  int token_ms = 5;     ///< Time of an engine between tokens.
  int service_ms = 10;  ///< Duration of a call of a plain service.
  int entry_threads = 64;
  std::map<std::string, std::string>
      settings;           ///< By section.name, for all processes.
  bool has_keys = false;  ///< Whether links use CURVE keys.
};

/// VM of a fleet with its process.
struct fleet_vm {
  proto::vm vm;
  std::string http;    ///< ip:port of its HTTP server.
  std::string engine;  ///< ip:port of its backend server; empty for entries.
  std::unique_ptr<child_process> process;
};

/// Processes of all roles, with the stand-ins of the systems around them.
class fleet {
 public:
  explicit fleet(fleet_options options);
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  /// Starts the stand-ins, then all processes.
  outcome<done> Start();
  /// Shuts down all processes with SIGTERM.
  /// @return Number of processes that did not exit in time with code 0.
  size_t Stop();

  /// Applies the present inventory with the operators' command.
  outcome<done> Apply();
  /// Runs an operators' command.
  /// @return Its exit code, or -1 after a timeout.
  int RunCommand(const std::vector<std::string>& arguments,
                 std::string* output = nullptr) const;
  /// Sets the intended version of a model service in the inventory; Apply()
  /// puts it into force.
  void SetVersion(const std::string& service, const std::string& version);

  proto::inventory& Inventory() { return inventory_; }
  std::vector<fleet_vm>& Vms() { return vms_; }
  /// Returns the VMs of a role, in all failure domains if none is given.
  std::vector<fleet_vm*> VmsOf(proto::vm::role_type role,
                               const std::string& domain = "");
  const std::map<std::string, std::string>& Digests() const { return digests_; }
  const std::string& StoreAddress() const { return store_; }
  const fleet_options& Options() const { return options_; }

  /// Calls a page of a stand-in or a process and returns its answer.
  std::string FetchPage(const std::string& address,
                        const std::string& path) const;
  std::string ControlPlatform(const std::string& path) const {
    return FetchPage(store_, path);
  }
  std::string ControlOrigin(const std::string& path) const {
    return FetchPage(origin_, path);
  }
  std::string ControlProxy(const std::string& path) const {
    return FetchPage(proxy_, path);
  }
  /// Returns the sum of a number over the control pages of all backend servers.
  int64_t SumEngines(const std::string& name);
  /// Returns the sum of a metric over the given VMs' processes.
  int64_t SumMetrics(const std::vector<fleet_vm*>& vms,
                     const std::string& name);
  /// Kills a VM's process and starts it again without its state.
  void Restart(fleet_vm* vm);

 private:
  void BuildInventory();
  void AddVm(size_t domain,
             size_t number,
             proto::vm::role_type role,
             const std::string& service);
  outcome<done> StartStandins();
  outcome<done> StartStandin(const std::string& name,
                             std::vector<std::string> arguments);
  std::vector<std::string> ProxyLinks();
  std::string WriteSettings(const fleet_vm& vm);
  outcome<done> ReadDigests();

  fleet_options options_;
  std::string directory_;
  proto::inventory inventory_;
  std::vector<fleet_vm> vms_;
  std::map<std::string, std::unique_ptr<child_process>> standins_;
  std::map<std::string, std::string>
      digests_;  ///< Of manifests, by the name of the weights.
  std::string store_;
  std::string origin_;
  std::string proxy_;
  std::string public_key_;
  std::string secret_key_;
};

/// Waits until a condition holds.
/// @return Whether it held within the timeout.
bool WaitUntil(const std::function<bool()>& condition,
               milliseconds timeout,
               milliseconds interval = milliseconds(50));

/// Reads a metric from lines of "name value".
std::optional<double> ReadMetric(const std::string& text,
                                 const std::string& name);
/// Reads one number from a flat JSON object.
std::optional<int64_t> ReadJsonNumber(const std::string& text,
                                      const std::string& name);
std::string ReadJsonText(const std::string& text, const std::string& name);

/// Returns the directory of this program, which holds the other programs as
/// well.
std::string ProgramDirectory();

/// Creates an empty directory for the settings and logs of a run.
std::string NewDirectory(const std::string& name);

}  // namespace fuchsiafall::harness

#endif  // HARNESS_FLEET_H_
