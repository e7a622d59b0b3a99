/// @file caller_connections.h Connections that the soak's callers keep and use
/// again until the entry closes them.
#ifndef TESTS_SOAK_CALLER_CONNECTIONS_H_
#define TESTS_SOAK_CALLER_CONNECTIONS_H_

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "network/http_exchange.h"

namespace fuchsiafall::soak {

/// Connection taken for a request.
struct taken_connection {
  std::shared_ptr<http_client_connection> connection;
  milliseconds idle{0};  ///< Before the request; 0 for a new connection.
  bool is_new = false;
};

/// Connections to all entries, with the idle ones by address.
class caller_connections {
 public:
  caller_connections(event_loop* loop, uint64_t seed)
      : loop_(loop), random_(seed) {}
  ~caller_connections();
  caller_connections(const caller_connections&) = delete;
  caller_connections& operator=(const caller_connections&) = delete;

  /// Takes an idle connection, or opens one. Prefers one that has been idle for
  /// long.
  /// @param max_idle Longest idle time after which a connection is used again.
  outcome<taken_connection> Take(time_point now,
                                 const std::string& address,
                                 milliseconds max_idle);

 private:
  struct idle_connection {
    std::shared_ptr<http_client_connection> connection;
    time_point since{};
  };
  outcome<taken_connection> Open(const std::string& address);

  event_loop* loop_;
  std::mt19937_64 random_;
  uint64_t opened_ = 0;
  /// By address, the longest idle first.
  std::map<std::string, std::vector<idle_connection>> idle_;
  std::map<http_client_connection*, std::shared_ptr<http_client_connection>>
      busy_;
};

}  // namespace fuchsiafall::soak

#endif  // TESTS_SOAK_CALLER_CONNECTIONS_H_
