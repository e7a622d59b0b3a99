/// @file entry_process.h Hosted entry as a real process, with a store in the
/// test's own process, on loopback, and the parts that it shares with an agent.
#ifndef TESTS_ENTRY_PROCESS_H_
#define TESTS_ENTRY_PROCESS_H_

#include <Poco/Net/StreamSocket.h>

#include <string>
#include <thread>

#include "harness/fleet.h"
#include "tests/soak/store_standin.h"

namespace fuchsiafall::tests {

/// Hosted process of any role with its store.
class process_with_store {
 public:
  /// @param role Of the process, as on its command line.
  /// @param name Of the test, for its files.
  /// @param network First three numbers of its IP addresses.
  process_with_store(const std::string& role,
                     const std::string& name,
                     std::string network);
  ~process_with_store() { Stop(); }
  process_with_store(const process_with_store&) = delete;
  process_with_store& operator=(const process_with_store&) = delete;

  /// Loop of the store and of the test's servers; runs from Start() to Stop().
  event_loop& Loop() { return loop_; }
  harness::child_process& Process() { return process_; }
  /// Ends the process and the loop. To be called before the servers are
  /// destroyed.
  void Stop();

 protected:
  std::string IpOf(int number) const;
  /// Writes the settings file.
  /// @param lines Those beside the ones that all roles have.
  void WriteSettings(const std::string& lines) const;
  /// Runs the loop and starts the process.
  void Start();
  soak::store_standin& Store() { return store_; }

 private:
  std::string role_;
  std::string network_;
  std::string directory_;
  event_loop loop_;
  soak::store_standin store_;
  harness::child_process process_;
  std::thread thread_;
};

struct entry_process_options {
  std::string name;     ///< Of the test, for its files.
  std::string network;  ///< First three numbers of its IP addresses.
  std::string route_kind = "non_idempotent";
  milliseconds route_timeout{3000};
  int attempts = 2;
  bool is_resumable = false;
  size_t max_body_bytes = 1U << 20;
  milliseconds header_timeout{3000};
  std::string settings;  ///< Further lines of the settings file.
  bool has_route = true;
  std::string key;  ///< That requests need; empty for none.
};

/// Entry with one route of the host desk.example to one service.
class entry_process : public process_with_store {
 public:
  explicit entry_process(const entry_process_options& options);

  std::string AddressOfServer(int number) const;
  /// Returns the address for callers.
  std::string Address() const;
  /// Registers a server of the service.
  void AddServer(int number);
  /// Starts the entry and waits until it is ready.
  void Start();
  /// Writes a newer configuration with the options' route and limits.
  void Configure(const entry_process_options& options);
  Poco::Net::StreamSocket Connect() const;

 private:
  int version_ = 1;  ///< Of the configuration.
};

/// Sends text on a blocking connection.
void SendText(Poco::Net::StreamSocket* to, const std::string& text);

}  // namespace fuchsiafall::tests

#endif  // TESTS_ENTRY_PROCESS_H_
