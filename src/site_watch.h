/// @file site_watch.h Control thread of a hosted process: mirrors the store,
/// relays it within the domain and publishes what it holds.
#ifndef SITE_WATCH_H_
#define SITE_WATCH_H_

#include <functional>
#include <memory>
#include <thread>

#include "mirror_relay_base.h"
#include "network/http_listener.h"
#include "network/loop_call.h"
#include "site_type.h"

namespace fuchsiafall {

struct site_watch_options {
  std::string node;           ///< Of this process.
  std::string domain;         ///< Of this process.
  std::string store_address;  ///< ip:port
  /// Where this process relays; empty when it only asks others.
  std::string relay_address;
  store_mirror_options mirror;
  milliseconds most_relay_age{1100};  ///< Of the word of a relay.
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

  /// Opens the relay and starts the thread.
  outcome<done> Start();
  void Stop();

 private:
  using call_hook =
      std::function<void(time_point, int status, std::string body)>;

  /// Takes the store's answer; its status is 0 where none came.
  using store_hook = std::function<void(time_point, int status, store_answer)>;

  /// Process of the domain that waits for news.
  struct waiter {
    std::shared_ptr<http_server_connection> connection;
    uint64_t after = 0;
    time_point since{};
    time_point until{};
  };

  void Step(time_point now);
  /// Makes the mirror's call at the source that was chosen.
  void CallMirror(time_point now,
                  const std::string& address,
                  const store_call& call);
  void CallRelay(time_point now,
                 const std::string& address,
                 const store_call& call);
  void CallStore(time_point now,
                 const store_call& call,
                 const store_hook& done);
  /// Reads only who relays, before anything else.
  void ReadRelays(time_point now);
  void Call(time_point now,
            const std::string& address,
            const std::string& request,
            milliseconds timeout,
            const call_hook& done);
  void OnAnswer(time_point now, const store_answer& answer);
  void Publish(time_point now);
  /// @return Entries that are registered in all domains.
  size_t UpdateRelays(const std::map<std::string, store_item>& items);
  void Register(time_point now);
  /// Removes the registration of a relay that is gone for good.
  void RemoveLostRelay(time_point now);
  /// Makes a call that changes the registrations.
  void CallRegistry(time_point now, const std::string& request);
  void OnRelayRequest(time_point now,
                      const std::shared_ptr<http_server_connection>& from,
                      const http_request& request);
  void AnswerWaiter(time_point now, const waiter& item);
  void AnswerWaiters(time_point now);
  /// Sends all that wait to another relay.
  void TurnWaitersAway(time_point now);
  /// Whether those that wait should rather ask another.
  bool IsStale(time_point now) const;
  http_listener_hooks RelayHooks();

  site_watch_options options_;
  event_loop loop_;
  http_client_pool pool_;
  store_mirror mirror_;
  mirror_relay relay_;
  mirror_source source_;
  http_listener listener_;
  std::vector<waiter> waiters_;
  std::string packed_;  ///< Last answer, which most waiters share.
  uint64_t packed_after_ = 0;
  uint64_t packed_revision_ = 0;
  std::shared_ptr<const site_view> view_ = std::make_shared<site_view>();
  timer_id next_step_ = 0;
  bool was_reachable_ = true;
  bool is_registering_ = false;
  std::thread thread_;
};

}  // namespace fuchsiafall

#endif  // SITE_WATCH_H_
