/// @file site_watch.h Control thread of a hosted process: mirrors the store and
/// publishes what it holds.
#ifndef SITE_WATCH_H_
#define SITE_WATCH_H_

#include <functional>
#include <memory>
#include <thread>

#include "network/http_exchange.h"
#include "site_type.h"
#include "store_mirror_base.h"

namespace fuchsiafall {

struct site_watch_options {
  std::string store_address;  ///< ip:port
  store_mirror_options mirror;
  /// Takes news in the control thread.
  /// @param view Null when only the time of the last sound word has changed.
  std::function<void(std::shared_ptr<const site_view> view, time_point sound)>
      on_news;
  std::function<void(const std::string& counter)> count;
};

/// Keeps a mirror of the store in a thread of its own, so that reading a large
/// configuration does not hold up traffic.
class site_watch {
 public:
  explicit site_watch(site_watch_options options);
  ~site_watch();
  site_watch(const site_watch&) = delete;
  site_watch& operator=(const site_watch&) = delete;

  void Start();
  void Stop();

 private:
  void Step(time_point now);
  void Call(time_point now, const store_call& call);
  void OnAnswer(time_point now, const store_answer& answer);
  void Publish(time_point now);

  site_watch_options options_;
  event_loop loop_;
  http_client_pool pool_;
  store_mirror mirror_;
  std::shared_ptr<const site_view> view_ = std::make_shared<site_view>();
  std::shared_ptr<http_client_connection> connection_;  ///< Of the open call.
  timer_id timeout_ = 0;
  timer_id next_step_ = 0;
  int status_ = 0;
  std::string body_;
  bool was_reachable_ = true;
  std::thread thread_;
};

}  // namespace fuchsiafall

#endif  // SITE_WATCH_H_
