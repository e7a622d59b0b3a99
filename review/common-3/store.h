// Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata
// store"), with what a script needs: a copy that it can come back from, calls
// that it turns away, and answers that it holds back.
#ifndef REVIEW_COMMON_3_STORE_H_
#define REVIEW_COMMON_3_STORE_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "network/http_listener.h"

namespace lab {

using namespace fuchsiafall;

class store {
 public:
  explicit store(event_loop* loop);
  outcome<done> Listen(const std::string& address);
  // Writes as an operator or a server.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

  // Keeps a copy of all items.
  void MakeCopy() { copy_ = {items_, revision_}; }
  // Comes back from the copy in a new era. What the operator and the servers
  // wrote since is written again after a while.
  void ComeBackFromCopy(milliseconds written_again_after);
  bool is_away = false;  // Resets each call.
  std::function<void(const std::string& line)> log;

 private:
  struct item {
    std::string value;
    uint64_t revision = 0;
  };
  struct change {
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
  struct copy_of_items {
    std::map<std::string, item> items;
    uint64_t revision = 0;
  };

  void OnRequest(time_point now,
                 const std::shared_ptr<http_server_connection>& from,
                 const http_request& request);
  void Answer(const std::shared_ptr<http_server_connection>& to,
              int status,
              const std::string& body);
  std::string Range(const std::string& prefix, const std::string& after) const;
  bool AnswerWatch(const watcher& item, bool is_over);
  void Apply(const std::string& key, const std::string* value);
  void Transact(const std::shared_ptr<http_server_connection>& from,
                const std::string& body);
  void Tick(time_point now);

  event_loop* loop_;
  http_listener listener_;
  std::map<std::string, item> items_;
  std::map<uint64_t, change> history_;
  uint64_t revision_ = 1;
  uint64_t compacted_ = 0;  // History up to it is dropped.
  uint64_t era_ = 1;
  std::vector<watcher> watchers_;
  copy_of_items copy_;
  std::map<std::string, std::string> written_;  // By operator and servers.
};

}  // namespace lab

#endif  // REVIEW_COMMON_3_STORE_H_
