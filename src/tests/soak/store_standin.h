/// @file store_standin.h Stand-in of the platform's store for the soak test,
/// with watches, conditional writes and injected faults.
#ifndef TESTS_SOAK_STORE_STANDIN_H_
#define TESTS_SOAK_STORE_STANDIN_H_

#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "network/http_listener.h"

namespace fuchsiafall::soak {

/// Returns true with the given probability.
bool DrawBool(double share, std::mt19937_64* random);
/// Draws a random time.
milliseconds DrawSpan(int min_ms, int max_ms, std::mt19937_64* random);

/// How the store treats calls.
enum class store_mode {
  kOpen,          ///< Answers them.
  kUnresponsive,  ///< Never answers.
  kBusy,          ///< Answers with 503.
  kReset          ///< Closes the connection.
};

/// In-memory store with the platform's protocol, run by the soak's event loop.
class store_standin {
 public:
  store_standin(event_loop* loop, uint64_t seed);
  outcome<done> Listen(const std::string& address);

  /// Writes a value as an operator or a server, unaffected by the faults.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  /// Drops the history and breaks the connections of waiting watches.
  void Compact();
  /// Comes back from a copy in a new era. What operators and servers wrote
  /// since is written again a little later, the system's own items are lost.
  void Restore(time_point now);

  store_mode mode = store_mode::kOpen;
  milliseconds delay{0};         ///< Before each answer.
  double lost_answer_share = 0;  ///< Of the answers to completed writes.
  uint64_t calls = 0;

 private:
  struct stored_item {
    std::string value;
    uint64_t revision = 0;
  };
  struct stored_copy {
    time_point made_at{};
    std::map<std::string, stored_item> items;
    uint64_t revision = 0;
  };
  struct stored_change {
    std::string key;
    std::string value;
    bool is_deleted = false;
  };
  struct watcher {
    std::shared_ptr<http_server_connection> connection;
    std::string prefix;
    uint64_t after = 0;
    time_point until{};
  };

  void OnRequest(time_point now,
                 const std::shared_ptr<http_server_connection>& from,
                 const http_request& request);
  void Answer(const std::shared_ptr<http_server_connection>& to,
              int status,
              const std::string& body);
  std::string Range(const std::string& prefix, const std::string& after) const;
  void Watch(time_point now, const watcher& item);
  bool AnswerWatch(const watcher& item, bool is_expired);
  void ApplyTransaction(time_point now,
                        const std::shared_ptr<http_server_connection>& from,
                        const std::string& body);
  void Apply(const std::string& key, const std::string* value);
  void AnswerWatchers(time_point now);
  void MakeCopy(time_point now);
  void WriteAgain();

  event_loop* loop_;
  std::mt19937_64 random_;
  http_listener listener_;
  std::map<std::string, stored_item> items_;
  std::map<uint64_t, stored_change> history_;
  uint64_t revision_ = 1;
  uint64_t compacted_ = 0;  ///< The history up to this revision is dropped.
  std::vector<watcher> watchers_;
  uint64_t era_ = 1;
  std::deque<stored_copy> copies_;
  /// What operators and servers have written, by key.
  std::map<std::string, std::string> written_;
};

}  // namespace fuchsiafall::soak

#endif  // TESTS_SOAK_STORE_STANDIN_H_
