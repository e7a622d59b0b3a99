/// @file server_crash_monitor_test.cc Requests that crash servers without
/// agents, and failures that only look like crashes, at several entries.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/fake_site.h"

namespace fuchsiafall::tests {

namespace {

constexpr uint64_t kDeadly = 99;
constexpr uint64_t kSound = 7;
/// Time until all processes know what one of them has known.
constexpr milliseconds kContactTime{3000};
constexpr milliseconds kRestartTime{2500};
constexpr milliseconds kTick{250};  // Of the entries' checks.

/// Entries before servers of a plain service, in virtual time. Messages between
/// entries arrive at once.
class entry_fleet {
 public:
  entry_fleet(size_t entry_count, size_t server_count) {
    for (size_t i = 0; i < server_count; ++i)
      StartServer(i);
    for (size_t i = 0; i < entry_count; ++i) {
      entries.push_back(nullptr);
      RestartEntry(i);
    }
  }

  /// Replaces an entry's process by a new one that knows nothing.
  void RestartEntry(size_t index) {
    call_dispatch_options options{.seed = ++next_seed_};
    options.crashes.exchange.self = vm_id(NameOf(index));
    options.crashes.exchange.own_incarnation = incarnation(next_seed_);
    options.crashes.exchange.seed = next_seed_;
    entries[index] = std::make_unique<fake_entry>(std::move(options));
    fake_entry* entry = entries[index].get();
    entry->now = now;
    entry->on_crash_note = [this, index](const std::string& to,
                                         const proto::envelope& message) {
      entries.at(std::stoul(to.substr(1)))
          ->dispatch.OnCrashNote(now, NameOf(index), message);
    };
    UpdateEntry(entry);
    std::vector<std::string> peers;
    for (size_t i = 0; i < entries.size(); ++i) {
      if (i != index)
        peers.push_back(NameOf(i));
      if (entries[i] != nullptr && i != index)
        entries[i]->dispatch.SetPeers(now, OthersOf(i));
    }
    entry->dispatch.SetPeers(now, peers);
  }

  /// Sends a request.
  /// @return Whether it reached a server.
  bool Send(size_t index,
            uint64_t request,
            const std::string& target = "/read/x") {
    fake_entry& entry = *entries[index];
    const size_t before = entry.attempts.size();
    const uint64_t id = next_call_++;
    caller_call call{.id = "r" + std::to_string(id),
                     .host = "plain",
                     .key = "key",
                     .time_left = milliseconds(900)};
    call.traits.request = fingerprint(request);
    entry.dispatch.OnRequest(now, id, call, target, now);
    return HasReached(index, before);
  }
  /// Answers the last request of an entry.
  void Answer(size_t index) {
    entries[index]->DeliverHead(200, false);
    entries[index]->EndExchange(exchange_end::kComplete);
  }
  /// Ends the server of the last attempt of an entry.
  /// @param has_idle Whether the entries have idle connections to it.
  /// @return Whether the request is repeated at another server.
  bool CrashServerOf(size_t index, bool has_idle = true) {
    const std::string id = entries[index]->attempts.back().server;
    const std::string address = view.servers.at(id).address;
    for (auto& entry : entries) {
      entry->connected.erase(address);
      if (has_idle)
        entry->dispatch.OnConnectionLost(now, address);
    }
    if (!IsDown(id))
      restarts_.push_back({now + kRestartTime, id});
    const size_t before = entries[index]->attempts.size();
    entries[index]->EndExchange(exchange_end::kBroken);
    return HasReached(index, before);
  }
  /// Loses the answer to the last attempt of an entry.
  void LoseAnswerOf(size_t index) {
    entries[index]->EndExchange(exchange_end::kBroken);
  }
  void Run(milliseconds span) {
    const time_point until = now + span;
    while (now < until) {
      now += kTick;
      while (!restarts_.empty() && restarts_.front().at <= now) {
        const std::string id = restarts_.front().id;
        restarts_.erase(restarts_.begin());
        const size_t place = std::stoul(view.servers.at(id).domain);
        view.servers.erase(id);
        StartServer(place);
      }
      for (auto& entry : entries) {
        entry->now = now;
        UpdateEntry(entry.get());
        entry->dispatch.RunDue(now);
        entry->dispatch.RunCrashMonitor(now);
      }
    }
  }

  time_point now{std::chrono::hours(1)};
  std::vector<std::unique_ptr<fake_entry>> entries;
  site_view view = fake_site().index->View();

 private:
  struct restart {
    time_point at;
    std::string id;
  };

  bool IsDown(const std::string& id) const {
    return std::any_of(restarts_.begin(), restarts_.end(),
                       [&](const restart& item) { return item.id == id; });
  }
  /// Lets servers that are down refuse the attempts of an entry.
  /// @param before Number of its earlier attempts.
  /// @return Whether a new attempt has reached a server.
  bool HasReached(size_t index, size_t before) {
    fake_entry& entry = *entries[index];
    while (entry.attempts.size() > before &&
           IsDown(entry.attempts.back().server)) {
      before = entry.attempts.size();
      entry.EndExchange(exchange_end::kRefused);
    }
    return entry.attempts.size() > before;
  }
  static std::string NameOf(size_t index) {
    return "e" + std::to_string(index);
  }
  std::vector<std::string> OthersOf(size_t index) const {
    std::vector<std::string> others;
    for (size_t i = 0; i < entries.size(); ++i) {
      if (i != index)
        others.push_back(NameOf(i));
    }
    return others;
  }
  void StartServer(size_t place) {
    view.servers.erase("d1");
    view.servers.erase("d2");
    const std::string id = "s" + std::to_string(++lives_);
    view.servers[id] = {.id = id,
                        .service = "desk",
                        .address = "p" + std::to_string(place) + ":80",
                        .domain = std::to_string(place),
                        .slots = 6};
  }
  void UpdateEntry(fake_entry* entry) {
    entry->site.Set(view);
    entry->dispatch.SetIndex(entry->site.index.get());
    entry->dispatch.SetConfirmedAt(now);
    for (const auto& [id, server] : view.servers) {
      if (!IsDown(id))
        entry->connected.insert(server.address);
    }
  }

  std::vector<restart> restarts_;
  uint64_t next_call_ = 1;
  uint64_t next_seed_ = 0;
  size_t lives_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(server_crash_monitor_suite)

// One request crashed plain servers at each further entry, since no entry told
// the others.
BOOST_AUTO_TEST_CASE(a_request_that_crashes_plain_servers_goes_on_to_do_so) {
  for (const bool has_idle : {true, false}) {
    entry_fleet fleet(18, 6);
    std::vector<time_point> crashes;
    for (size_t i = 0; i < 18; ++i) {
      bool is_sent = fleet.Send(i, kDeadly);
      while (is_sent) {
        crashes.push_back(fleet.now);
        is_sent = fleet.CrashServerOf(i, has_idle);
      }
      fleet.Run(milliseconds(4000));
    }
    BOOST_REQUIRE(crashes.size() >= 2u);
    const size_t third = std::min<size_t>(crashes.size(), 3) - 1;
    BOOST_TEST(
        std::count_if(crashes.begin(), crashes.end(), [&](time_point at) {
          return at > crashes[third] + kContactTime;
        }) == 0);
    BOOST_TEST(crashes.size() <= 4u);
    BOOST_TEST(fleet.Send(3, kSound));
  }
}

// A read was refused for ten minutes after two of its answers were lost.
BOOST_AUTO_TEST_CASE(lost_answers_are_taken_for_crashes) {
  entry_fleet fleet(2, 12);
  for (int i = 0; i < 8; ++i) {
    BOOST_TEST(fleet.Send(0, kSound));
    fleet.LoseAnswerOf(0);
    fleet.LoseAnswerOf(0);
    fleet.Run(milliseconds(1000));
  }
  fleet.Run(seconds(15));
  BOOST_TEST(fleet.Send(0, kSound));
  BOOST_TEST(fleet.Send(1, kSound));
}

// Servers that fail together abort a read that many callers send.
BOOST_AUTO_TEST_CASE(a_common_read_is_blamed_for_servers_that_fail_together) {
  entry_fleet fleet(3, 6);
  for (size_t i = 0; i < 3; ++i)
    fleet.Send(i, kSound);
  for (size_t i = 0; i < 3; ++i) {
    if (fleet.CrashServerOf(i))
      fleet.CrashServerOf(i);
  }
  fleet.Run(milliseconds(4000));
  for (size_t i = 0; i < 3; ++i) {
    BOOST_REQUIRE(fleet.Send(i, kSound));
    fleet.Answer(i);
  }
  // What was answered since counts for the next crash as well.
  fleet.Send(0, kSound);
  fleet.CrashServerOf(0);
  fleet.Run(milliseconds(4000));
  BOOST_TEST(fleet.Send(0, kSound));
  BOOST_TEST(fleet.Send(2, kSound));
}

// A sound request that was aborted beside a deadly one is served again, while
// the deadly one is not.
BOOST_AUTO_TEST_CASE(a_request_beside_a_crashing_one_is_taken_for_it) {
  entry_fleet fleet(3, 6);
  for (int round = 0; round < 3; ++round) {
    const bool is_sent = fleet.Send(0, kDeadly);
    if (is_sent) {
      const std::string id = fleet.entries[0]->attempts.back().server;
      while (!fleet.Send(1, kSound) ||
             fleet.entries[1]->attempts.back().server != id)
        fleet.Answer(1);
      fleet.CrashServerOf(0);
      fleet.LoseAnswerOf(1);
    }
    fleet.Run(milliseconds(4000));
    BOOST_REQUIRE(fleet.Send(2, kSound));
    fleet.Answer(2);
    fleet.Run(milliseconds(500));
  }
  BOOST_TEST(!fleet.Send(0, kDeadly));
  BOOST_TEST(!fleet.Send(2, kDeadly));
  BOOST_TEST(fleet.Send(0, kSound));
}

// All connections of an entry may be reset though no server has crashed.
BOOST_AUTO_TEST_CASE(a_crash_that_was_none_is_never_withdrawn) {
  entry_fleet fleet(2, 3);
  for (int round = 0; round < 2; ++round) {
    fleet.Send(0, kSound);
    const std::string id = fleet.entries[0]->attempts.back().server;
    const std::string address = fleet.view.servers.at(id).address;
    fleet.entries[0]->dispatch.OnConnectionLost(fleet.now, address);
    fleet.entries[0]->connected.erase(address);
    fleet.LoseAnswerOf(0);
    // The substitute is not answered either.
    if (fleet.entries[0]->attempts.back().server != id)
      fleet.LoseAnswerOf(0);
    fleet.entries[0]->dispatch.RunCrashMonitor(fleet.now + milliseconds(110));
    fleet.Run(seconds(3));
  }
  // Other requests are answered by all servers.
  for (int i = 0; i < 30; ++i) {
    for (size_t entry = 0; entry < 2; ++entry) {
      fleet.Send(entry, 1000 + static_cast<uint64_t>(i));
      fleet.Answer(entry);
    }
  }
  fleet.Run(seconds(1));
  BOOST_TEST(fleet.Send(0, kSound));
  BOOST_TEST(fleet.Send(1, kSound));
}

// An entry that starts later knew nothing of requests that crash servers.
BOOST_AUTO_TEST_CASE(a_restarted_entry_lets_a_request_crash_servers_again) {
  entry_fleet fleet(18, 6);
  for (size_t i = 0; i < 3; ++i) {
    if (fleet.Send(i, kDeadly))
      fleet.CrashServerOf(i);
    fleet.Run(milliseconds(4000));
  }
  BOOST_TEST(!fleet.Send(5, kDeadly));
  fleet.RestartEntry(5);
  fleet.Run(kContactTime);
  BOOST_TEST(!fleet.Send(5, kDeadly));
  BOOST_TEST(fleet.Send(5, kSound));
}

// Crashes with other requests hid one that crashes servers.
BOOST_AUTO_TEST_CASE(a_flood_of_crashes_hides_a_crashing_request) {
  entry_fleet fleet(3, 60);
  uint64_t other = 1000;
  size_t deadly_crashes = 0;
  for (int round = 0; round < 6; ++round) {
    if (fleet.Send(0, kDeadly)) {
      ++deadly_crashes;
      fleet.CrashServerOf(0);
    }
    for (int i = 0; i < 20; ++i) {
      if (fleet.Send(1, ++other, "/x"))
        fleet.CrashServerOf(1);
    }
    fleet.Run(milliseconds(4000));
  }
  BOOST_TEST(deadly_crashes <= 3u);
  BOOST_TEST(!fleet.Send(2, kDeadly));
}

// A report that arrives twice, or late, counts for no further crash.
BOOST_AUTO_TEST_CASE(a_crash_is_counted_once_for_each_entry) {
  entry_fleet fleet(3, 6);
  std::vector<proto::envelope> notes;
  fleet.Send(0, kSound);
  fleet.entries[0]->on_crash_note = [&](const std::string&,
                                        const proto::envelope& message) {
    notes.push_back(message);
  };
  fleet.CrashServerOf(0);
  fleet.Run(milliseconds(3000));
  BOOST_REQUIRE(!notes.empty());
  for (int i = 0; i < 4; ++i) {
    fleet.Run(milliseconds(2000));
    for (const auto& note : notes)
      fleet.entries[1]->dispatch.OnCrashNote(fleet.now, "e0", note);
  }
  BOOST_TEST(fleet.Send(1, kSound));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
