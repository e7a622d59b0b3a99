/// @file site_watch.h Control thread of a hosted process: mirrors the store,
/// relays its items within the failure domain and publishes views of the site.
#ifndef SITE_WATCH_H_
#define SITE_WATCH_H_

#include <functional>
#include <memory>
#include <thread>

#include "mirror_relay_base.h"
#include "network/async_http_call.h"
#include "network/http_listener.h"
#include "platform/documents.h"
#include "site_type.h"

namespace fuchsiafall {

struct site_watch_options {
  std::string node;           ///< Name of this process's VM.
  std::string domain;         ///< Failure domain of this process.
  std::string store_address;  ///< ip:port
  /// Address to listen on as a relay; empty if this process is not a relay.
  std::string relay_address;
  store_mirror_options mirror;
  /// Maximum confirmed age of a relay's answers.
  milliseconds max_relay_age{1100};
  /// Called in the control thread when the site has changed or was confirmed.
  /// @param view Null if only the time of the last confirmed read has changed.
  /// @param confirmed_at Time of the last confirmed read of the store.
  std::function<void(std::shared_ptr<const site_view> view,
                     time_point confirmed_at)>
      on_change;
  std::function<void(const std::string& counter)> count;
  std::shared_ptr<buffer_budget> budget;  ///< Of all buffers; null for none.
};

/// Maintains a mirror of the store in a separate thread, so that parsing a
/// large configuration does not delay traffic.
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

  /// Handles the store's answer; the status is 0 if there was none.
  using store_hook = std::function<void(time_point, int status, store_answer)>;

  /// Pending call of a reader in this failure domain that waits for changes.
  struct waiter {
    std::shared_ptr<http_server_connection> connection;
    store_revision after;
    time_point since{};
    time_point until{};
    time_point held_at{};  ///< When it was last told to keep waiting.
  };

  void RunDue(time_point now);
  void OnSourceChange(time_point now, const std::string& address);
  /// Sends the mirror's call to the chosen source.
  void CallMirror(time_point now,
                  const std::string& address,
                  const store_call& call);
  void CallRelay(time_point now,
                 const std::string& address,
                 const store_call& call);
  void CallStore(time_point now,
                 const store_call& call,
                 const store_hook& done);
  /// Reads the registered relays, before anything else is read.
  void ReadRelays(time_point now);
  /// Reads items from a relay or the store, however long they take to arrive.
  /// @param call Without the hooks that this sets.
  void Read(time_point now, async_http_call call, const call_hook& done);
  void OnAnswer(time_point now, const store_answer& answer);
  /// Takes what a relay knows beyond a restored store, before its listing.
  void TakeEarlier(time_point now, const store_answer& answer);
  /// Logs what the answer to a listing tells.
  void LogListing(const std::string& address,
                  const store_call& call,
                  const store_answer& answer) const;
  /// Notices that the process was paused.
  void CheckPause(time_point now);
  /// Logs and counts that the store came back from an older copy.
  /// @param before Era known before.
  void ReportEra(uint64_t before);
  void Publish(time_point now);
  /// Builds the view of the mirror's present content.
  site_view BuildView(time_point now) const;
  /// Logs the configuration of a view if it is another one than before.
  void LogConfiguration(time_point now, const site_view& view) const;
  /// Logs the versions of the weights that are new in a view.
  void LogAnnouncements(time_point now, const site_view& view) const;
  /// Updates the relays from the registrations among the items.
  /// @return Relay addresses of the registered entries, over all failure
  /// domains; empty where unreadable.
  std::vector<std::string> UpdateRelays(
      const std::map<std::string, store_item>& items);
  /// Registers this process as a relay if it is not registered yet.
  void Register(time_point now);
  /// Removes the registration of a relay that has failed for a long time.
  void RemoveLostRelay(time_point now);
  /// Sends a call that changes the registrations; one at a time.
  void CallRegistry(time_point now, const std::string& request);
  void OnRelayRequest(time_point now,
                      const std::shared_ptr<http_server_connection>& from,
                      const http_request& request);
  void AnswerWaiter(time_point now, const waiter& item);
  /// Answers the waiters whose wait is over.
  void AnswerDueWaiters(time_point now);
  /// Tells the waiters that changes for them are arriving, so that they do not
  /// load the store's links with the same changes.
  void HoldWaiters(time_point now);
  /// Refuses all waiters, so that they ask another relay.
  void RefuseWaiters(time_point now);
  /// Whether the last confirmed read is so old that readers should ask another
  /// relay.
  bool IsStale(time_point now) const;
  /// Whether changes are arriving, so that readers should wait for them.
  bool IsReceiving(time_point now) const { return now < receiving_until_; }
  http_listener_hooks RelayHooks();

  site_watch_options options_;
  event_loop loop_;
  http_client_pool pool_;
  store_mirror mirror_;
  mirror_relay relay_;
  relay_selector source_;
  std::string last_source_;    ///< Address of the last call of the mirror.
  std::string relay_failure_;  ///< Why the last relay was left, for the log.
  http_listener listener_;
  std::vector<waiter> waiters_;
  /// Last compressed answer; most waiters share it.
  std::string compressed_answer_;
  store_revision compressed_after_;
  milliseconds compressed_age_{0};  ///< Confirmed age that it states.
  time_point compressed_confirmed_at_{};
  store_revision compressed_revision_;
  std::shared_ptr<const site_view> view_ = std::make_shared<site_view>();
  timer_id run_timer_ = 0;
  std::optional<time_point> ran_at_;  ///< When the loop last ran.
  bool was_reachable_ = true;
  bool is_registering_ = false;
  time_point receiving_until_{};  ///< While changes arrive; moves on with them.
  std::thread thread_;
};

}  // namespace fuchsiafall

#endif  // SITE_WATCH_H_
