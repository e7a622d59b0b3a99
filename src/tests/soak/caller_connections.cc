/// @file caller_connections.cc Connections that the soak's callers keep.
#include "tests/soak/caller_connections.h"

#include <utility>

namespace fuchsiafall::soak {

namespace {

constexpr size_t kMaxIdleConnections = 8;  // To an entry.
constexpr seconds kNoIdleLimit{3600};      // The caller's own is at Take().

}  // namespace

caller_connections::~caller_connections() {
  auto idle = std::exchange(idle_, {});
  auto busy = std::exchange(busy_, {});
  for (auto& [address, connections] : idle) {
    for (auto& item : connections)
      item.connection->Abort();
  }
  for (auto& [key, connection] : busy)
    connection->Abort();
}

outcome<taken_connection> caller_connections::Take(time_point now,
                                                   const std::string& address,
                                                   milliseconds max_idle) {
  auto& idle = idle_[address];
  while (!idle.empty() && (idle.size() > kMaxIdleConnections ||
                           !idle.front().connection->IsQuiet() ||
                           now - idle.front().since > max_idle ||
                           now > idle.front().connection->ReusableUntil())) {
    const auto connection = idle.front().connection;
    idle.erase(idle.begin());
    connection->Abort();
  }
  if (idle.empty() || random_() % 6 == 0)
    return Open(address);
  // The longest idle half of the time, else any.
  const size_t index = random_() % 2 == 0 ? 0 : random_() % idle.size();
  const idle_connection item = idle[index];
  idle.erase(idle.begin() + static_cast<ptrdiff_t>(index));
  if (!item.connection->IsQuiet()) {
    item.connection->Abort();
    return Open(address);
  }
  busy_[item.connection.get()] = item.connection;
  return taken_connection{
      .connection = item.connection,
      .idle = std::chrono::duration_cast<milliseconds>(now - item.since)};
}

outcome<taken_connection> caller_connections::Open(const std::string& address) {
  auto connection = tcp_connection::Connect(loop_, address, {});
  if (!connection)
    return failure{connection.LastReason()};
  auto made = std::make_shared<http_client_connection>(
      ++opened_, *connection, kNoIdleLimit, http_answer_limits{},
      [this, address](http_client_connection* one) {
        if (auto item = busy_.extract(one); !item.empty())
          idle_[address].push_back({item.mapped(), BootNow()});
      },
      [this, address](http_client_connection* one) {
        busy_.erase(one);
        std::erase_if(idle_[address], [one](const idle_connection& item) {
          return item.connection.get() == one;
        });
      });
  made->RegisterHooks();
  busy_[made.get()] = made;
  return taken_connection{.connection = made, .is_new = true};
}

}  // namespace fuchsiafall::soak
