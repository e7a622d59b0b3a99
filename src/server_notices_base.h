/// @file server_notices_base.h What servers have announced about themselves in
/// their answers: that they leave, or that they want a pause.
#ifndef SERVER_NOTICES_BASE_H_
#define SERVER_NOTICES_BASE_H_

#include <map>
#include <optional>
#include <string>

#include "site_type.h"
#include "time_type.h"

namespace fuchsiafall {

struct server_notices_options {
  milliseconds max_pause{60000};  ///< Longer pauses are cut to this.
  /// Time for which a leaving server is remembered. It exits long before.
  seconds leaving_retention{600};
  size_t capacity = 4096;  ///< In servers, for each kind of notice.
};

/// Notices of servers, each of which holds for one lifetime of its server. The
/// platform's store may know of them later, or not at all.
class server_notices {
 public:
  explicit server_notices(server_notices_options options) : options_(options) {}

  /// Records that a server leaves.
  /// @return Whether this was unknown.
  bool OnLeaving(time_point now, const site_server& server);
  /// Records that a server wants no requests for a time. Of overlapping pauses,
  /// the latest end counts.
  /// @return The pause as it is applied.
  milliseconds OnPause(time_point now,
                       const site_server& server,
                       milliseconds pause);
  /// Whether a server announced that it leaves.
  bool IsLeaving(time_point now, const site_server& server) const;
  /// Returns when the pause of a server ends; nullopt if it wants none.
  std::optional<time_point> PausedUntil(time_point now,
                                        const site_server& server) const;

 private:
  struct notice {
    int64_t started_at_ms = 0;  ///< Lifetime of the server.
    time_point ends_at{};
  };
  using notice_map = std::map<std::string, notice>;  // By server id.

  /// Finds a notice that holds for this lifetime of a server.
  static const notice* Find(time_point now,
                            const notice_map& from,
                            const site_server& server);
  /// Makes room for a new notice, if need be by dropping the one that ends
  /// first.
  void MakeRoom(time_point now, notice_map* notices) const;

  server_notices_options options_;
  notice_map leaving_;
  notice_map paused_;
};

}  // namespace fuchsiafall

#endif  // SERVER_NOTICES_BASE_H_
