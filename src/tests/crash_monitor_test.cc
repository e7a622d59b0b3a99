/// @file crash_monitor_test.cc Parts of prompts that crash each server, among
/// sound requests that share their other parts.
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "crash_monitor_base.h"
#include "tests/fake_crash_fleet.h"

namespace fuchsiafall::tests {

namespace {

constexpr uint64_t kFirst = 1;     // Shared by all requests.
constexpr uint64_t kSubject = 11;  // And the following ones.
constexpr uint64_t kDeadly = 99;
/// Time until all processes know what one of them has known.
constexpr milliseconds kContactTime{3000};

/// Sends 60 sound requests a second on four subjects.
void StartSoundTraffic(fake_crash_fleet* fleet) {
  for (uint64_t subject = kSubject; subject < kSubject + 4; ++subject)
    fleet->SetTraffic({kFirst, subject}, 15);
  fleet->Run(seconds(10));
}

size_t CountSince(const std::vector<time_point>& times, time_point since) {
  return static_cast<size_t>(
      std::count_if(times.begin(), times.end(),
                    [since](time_point at) { return at > since; }));
}

/// Checks that requests with a part stop reaching servers after its crashes,
/// and that sound ones are served again.
/// @param first Index of the first of its crashes.
void CheckContained(const fake_crash_fleet& fleet,
                    uint64_t part,
                    size_t first = 0) {
  BOOST_TEST_MESSAGE(fleet.crashes.size() - first << " crashes");
  BOOST_REQUIRE(fleet.crashes.size() > first);
  const size_t fifth = std::min(first + 5, fleet.crashes.size()) - 1;
  const time_point bound = fleet.crashes[fifth] + kContactTime;
  BOOST_TEST(CountSince(fleet.outcomes.at(part).begun, bound) <= 3u);
  const time_point recovered = bound + kContactTime;
  const double span = ToSeconds(fleet.now - recovered);
  BOOST_REQUIRE(span > 3);
  const auto begun = static_cast<double>(
      CountSince(fleet.outcomes.at(kSubject).begun, recovered));
  BOOST_TEST(begun / span >= 15 / 2.0);
}

request_traits MakeTraits(uint64_t request,
                          const std::vector<uint64_t>& parts) {
  request_traits traits{.request = fingerprint((1ULL << 40) + request),
                        .parts = {}};
  for (uint64_t part : parts)
    traits.parts.emplace_back(part);
  return traits;
}

crash_record MakeCrash(uint64_t ordinal,
                       time_point at,
                       std::vector<request_traits> requests) {
  return {.id = {.server = "s", .incarnation = 1, .ordinal = ordinal},
          .at = at,
          .requests = std::move(requests)};
}

/// History that has seen other requests answered for long enough.
crash_history MakeWarmHistory(time_point now) {
  crash_history history{{}};
  history.OnAnswered(now - seconds(10), now - seconds(11),
                     MakeTraits(1, {kFirst}));
  return history;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(crash_monitor_suite)

// Regression: requests of one kind, no two alike, crashed servers one after the
// other, since crashes were counted by whole request.
BOOST_AUTO_TEST_CASE(requests_with_one_part_in_common_crash_all_servers) {
  fake_crash_fleet fleet;
  StartSoundTraffic(&fleet);
  fleet.deadly = {kDeadly};
  fleet.SetTraffic({kFirst, kDeadly, kSubject}, 4);
  fleet.Run(seconds(22));
  CheckContained(fleet, kDeadly);
}

BOOST_AUTO_TEST_CASE(rare_requests_with_a_deadly_part_are_contained) {
  fake_crash_fleet fleet;
  StartSoundTraffic(&fleet);
  fleet.deadly = {kDeadly};
  fleet.SetTraffic({kFirst, kDeadly, kSubject}, 0.4);
  fleet.Run(seconds(60));
  CheckContained(fleet, kDeadly);
}

BOOST_AUTO_TEST_CASE(a_deadly_part_is_contained_though_messages_are_lost) {
  fake_crash_fleet fleet;
  fleet.loss = 0.1;
  StartSoundTraffic(&fleet);
  fleet.deadly = {kDeadly};
  fleet.SetTraffic({kFirst, kDeadly, kSubject}, 4);
  fleet.Run(seconds(22));
  CheckContained(fleet, kDeadly);
}

BOOST_AUTO_TEST_CASE(a_sound_part_that_becomes_deadly_is_contained) {
  fake_crash_fleet fleet;
  fleet.SetTraffic({kFirst, kDeadly}, 4);
  StartSoundTraffic(&fleet);
  BOOST_TEST(fleet.crashes.empty());
  fleet.deadly = {kDeadly};
  fleet.Run(seconds(40));
  CheckContained(fleet, kDeadly);
}

BOOST_AUTO_TEST_CASE(two_deadly_parts_are_contained) {
  fake_crash_fleet fleet;
  StartSoundTraffic(&fleet);
  fleet.deadly = {kDeadly, kDeadly + 1};
  fleet.SetTraffic({kFirst, kDeadly}, 3);
  fleet.Run(seconds(12));
  CheckContained(fleet, kDeadly);
  const size_t first = fleet.crashes.size();
  fleet.SetTraffic({kFirst, kDeadly + 1, kSubject}, 3);
  fleet.Run(seconds(20));
  CheckContained(fleet, kDeadly + 1, first);
}

BOOST_AUTO_TEST_CASE(a_restarted_agent_learns_what_is_quarantined) {
  fake_crash_fleet fleet;
  StartSoundTraffic(&fleet);
  fleet.deadly = {kDeadly};
  fleet.SetTraffic({kFirst, kDeadly}, 4);
  fleet.Run(seconds(12));
  fleet.SetTraffic({kFirst, kDeadly}, 0);
  // Entries have forgotten it before they ask the restarted agents.
  fleet.Run(seconds(60));
  for (const char* id : {"s0", "s1", "s2", "s3"})
    fleet.RestartAgent(id);
  fleet.Run(kContactTime);
  const size_t crashes = fleet.crashes.size();
  fleet.SetTraffic({kFirst, kDeadly}, 4);
  fleet.Run(seconds(10));
  BOOST_TEST(fleet.crashes.size() == crashes);
}

BOOST_AUTO_TEST_CASE(a_quarantine_holds_while_agents_do_not_answer) {
  fake_crash_fleet fleet;
  StartSoundTraffic(&fleet);
  fleet.deadly = {kDeadly};
  fleet.SetTraffic({kFirst, kDeadly}, 4);
  fleet.Run(seconds(12));
  const size_t crashes = fleet.crashes.size();
  fleet.agents_answer = false;
  fleet.Run(seconds(10));
  BOOST_TEST(fleet.crashes.size() == crashes);
  const auto& sound = fleet.outcomes.at(kSubject);
  BOOST_TEST(CountSince(sound.begun, fleet.now - seconds(5)) > 0u);
}

BOOST_AUTO_TEST_CASE(requests_that_share_servers_with_crashes_stay_served) {
  fake_crash_fleet fleet;
  StartSoundTraffic(&fleet);
  for (int i = 0; i < 24; ++i) {
    fleet.Crash("s" + std::to_string(i % 8));
    fleet.Run(milliseconds(700));
  }
  // All servers at once.
  for (int i = 0; i < 8; ++i)
    fleet.Crash("s" + std::to_string(i));
  fleet.Run(seconds(10));
  for (uint64_t part = kSubject; part < kSubject + 4; ++part) {
    const auto& served = fleet.outcomes.at(part);
    BOOST_TEST(CountSince(served.begun, fleet.now - seconds(4)) > 50u);
  }
}

// Regression: after three servers had crashed at once, agents that had not seen
// an answer with a part of their batches for 4 s quarantined it.
BOOST_AUTO_TEST_CASE(
    parts_of_requests_at_servers_that_crash_at_once_are_spared) {
  fake_crash_fleet fleet;
  for (uint64_t subject = kSubject; subject < kSubject + 20; ++subject)
    fleet.SetTraffic({kFirst, subject}, 3);
  fleet.Run(seconds(10));
  for (int i = 0; i < 10; ++i) {
    for (int j = 0; j < 4; ++j)
      fleet.Crash("s" + std::to_string((i + j) % 8));
    fleet.Run(seconds(12));
  }
  BOOST_TEST(fleet.quarantined_parts == 0u);
}

BOOST_AUTO_TEST_CASE(one_crash_that_is_reported_twice_counts_once) {
  const time_point now{std::chrono::hours(1)};
  crash_history history = MakeWarmHistory(now);
  for (int i = 0; i < 3; ++i) {
    history.AddCrash(
        now, MakeCrash(1, now,
                       {MakeTraits(2, {kDeadly}), MakeTraits(3, {kDeadly})}));
  }
  BOOST_TEST(history.CrashesOf(now, fingerprint(kDeadly)) == 1u);
  BOOST_TEST(history.Decide(now + seconds(1)).empty());
}

BOOST_AUTO_TEST_CASE(one_request_alone_does_not_quarantine_its_parts) {
  const time_point now{std::chrono::hours(1)};
  crash_history history = MakeWarmHistory(now);
  for (uint64_t i = 1; i <= 4; ++i)
    history.AddCrash(now, MakeCrash(i, now, {MakeTraits(2, {kDeadly})}));
  history.Decide(now + seconds(1));
  const request_traits repeated = MakeTraits(2, {kDeadly});
  BOOST_TEST((history.FindQuarantined(now, repeated) == repeated.request));
  BOOST_TEST(!history.FindQuarantined(now, MakeTraits(3, {kDeadly})));
}

BOOST_AUTO_TEST_CASE(a_request_reported_late_counts_for_the_same_crash) {
  time_point now{std::chrono::hours(1)};
  std::vector<proto::crash_note> notes;
  crash_monitor monitor(
      {.self = vm_id("s")},
      {.send =
           [&](const std::string&, const proto::envelope& message) {
             notes.push_back(message.crash_note());
           },
       .log = [](log_event, const std::string&) {},
       .count = [](const std::string&) {}});
  monitor.SetPeers(now, {"other"});
  const time_point granted_at = now;
  now += milliseconds(200);
  monitor.OnPlaceReleased(now, {granted_at, MakeTraits(1, {kFirst})},
                          attempt_result::kBroken);
  now += milliseconds(50);
  monitor.OnEngineReport(now, false, false);
  BOOST_REQUIRE(notes.size() == 1u);
  BOOST_TEST(notes[0].requests_size() == 1);
  monitor.OnPlaceReleased(now, {granted_at, MakeTraits(2, {kDeadly})},
                          attempt_result::kBroken);
  now += milliseconds(200);
  monitor.OnEngineReport(now, false, false);
  monitor.RunDue(now);
  now += seconds(2);
  monitor.OnEngineReport(now, true, true);
  BOOST_REQUIRE(notes.size() == 2u);
  BOOST_TEST(notes[1].requests_size() == 2);
  BOOST_TEST(notes[1].ordinal() == notes[0].ordinal());
  BOOST_TEST(monitor.History().CrashesOf(now, fingerprint(kDeadly)) == 1u);
}

BOOST_AUTO_TEST_CASE(an_answer_that_ends_with_its_connection_counts_once_safe) {
  time_point now{std::chrono::hours(1)};
  crash_monitor monitor(
      {.self = vm_id("s")},
      {.send = [](const std::string&, const proto::envelope&) {},
       .log = [](log_event, const std::string&) {},
       .count = [](const std::string&) {}});
  auto close = [&](uint64_t part) {
    monitor.OnPlaceReleased(now, {now - seconds(1), MakeTraits(part, {part})},
                            attempt_result::kClosed);
  };
  auto is_sound = [&](uint64_t part) {
    return monitor.History().SoundAt(now, fingerprint(part)).has_value();
  };
  close(kSubject);
  now += milliseconds(50);
  monitor.OnEngineReport(now, true, false);
  BOOST_TEST(!is_sound(kSubject));
  now += milliseconds(200);
  monitor.OnEngineReport(now, true, false);
  BOOST_TEST(is_sound(kSubject));
  close(kDeadly);
  now += milliseconds(100);
  monitor.OnEngineReport(now, false, false);
  BOOST_TEST(!is_sound(kDeadly));
  BOOST_TEST(monitor.History().CrashesOf(now, fingerprint(kDeadly)) == 1u);
  BOOST_TEST(monitor.History().CrashesOf(now, fingerprint(kSubject)) == 0u);
}

// Regression: requests aborted after a flood of others were not recorded.
BOOST_AUTO_TEST_CASE(a_flood_of_aborted_requests_does_not_hide_the_last_one) {
  time_point now{std::chrono::hours(1)};
  crash_monitor monitor(
      {.self = vm_id("s")},
      {.send = [](const std::string&, const proto::envelope&) {},
       .log = [](log_event, const std::string&) {},
       .count = [](const std::string&) {}});
  for (uint64_t i = 0; i < 6000; ++i) {
    monitor.OnPlaceReleased(now, {now, MakeTraits(i, {})},
                            attempt_result::kBroken);
  }
  monitor.OnPlaceReleased(now, {now, MakeTraits(6000, {kDeadly})},
                          attempt_result::kBroken);
  now += milliseconds(100);
  monitor.OnEngineReport(now, false, false);
  BOOST_TEST(monitor.History().CrashesOf(now, fingerprint(kDeadly)) == 1u);
}

BOOST_AUTO_TEST_CASE(a_broken_attempt_without_a_crash_counts_for_none) {
  time_point now{std::chrono::hours(1)};
  size_t notes = 0;
  crash_monitor monitor(
      {.self = vm_id("s")},
      {.send = [&](const std::string&, const proto::envelope&) { ++notes; },
       .log = [](log_event, const std::string&) {},
       .count = [](const std::string&) {}});
  monitor.SetPeers(now, {"other"});
  monitor.OnPlaceReleased(now, {now, MakeTraits(1, {kFirst})},
                          attempt_result::kBroken);
  monitor.OnEngineReport(now, true, false);
  now += seconds(20);
  monitor.OnEngineReport(now, true, true);
  BOOST_TEST(notes == 0u);
}

BOOST_AUTO_TEST_CASE(a_part_that_another_agent_knows_to_be_sound_is_spared) {
  const time_point now{std::chrono::hours(1)};
  crash_history history = MakeWarmHistory(now);
  for (uint64_t i = 1; i <= 3; ++i)
    history.AddCrash(now, MakeCrash(i, now, {MakeTraits(i, {kSubject})}));
  history.OnSound(now, fingerprint(kSubject), now - seconds(30));
  BOOST_TEST(history.Decide(now + seconds(5)).empty());
}

BOOST_AUTO_TEST_CASE(a_full_answer_releases_a_part_from_quarantine) {
  time_point now{std::chrono::hours(1)};
  crash_history history = MakeWarmHistory(now);
  for (uint64_t i = 1; i <= 3; ++i)
    history.AddCrash(now, MakeCrash(i, now, {MakeTraits(i, {kSubject})}));
  now += seconds(1);
  BOOST_TEST(history.Decide(now).size() == 1u);
  const request_traits request = MakeTraits(9, {kSubject});
  BOOST_TEST(history.FindQuarantined(now, request).has_value());
  // Granted before the last crash, an answer shows nothing new.
  history.OnAnswered(now, now - seconds(2), request);
  BOOST_TEST(history.FindQuarantined(now, request).has_value());
  history.OnAnswered(now, now - milliseconds(500), request);
  BOOST_TEST(!history.FindQuarantined(now, request).has_value());
  BOOST_TEST(history.Decide(now).empty());
}

BOOST_AUTO_TEST_CASE(
    of_two_parts_in_the_same_crashes_the_rarer_is_quarantined) {
  const time_point now{std::chrono::hours(1)};
  crash_history history = MakeWarmHistory(now);
  for (uint64_t i = 1; i <= 3; ++i) {
    history.AddCrash(now, MakeCrash(i, now,
                                    {MakeTraits(10 * i, {kSubject, kDeadly}),
                                     MakeTraits(10 * i + 1, {kSubject})}));
  }
  const auto decided = history.Decide(now + seconds(1));
  BOOST_REQUIRE(decided.size() == 1u);
  BOOST_TEST((decided[0] == fingerprint(kDeadly)));
}

// Regression: records that still count were evicted by harmless ones, so that a
// crashing request was forgotten.
BOOST_AUTO_TEST_CASE(quarantines_outlast_a_flood_of_harmless_crashes) {
  time_point now{std::chrono::hours(1)};
  crash_history history = MakeWarmHistory(now);
  const request_traits whole = MakeTraits(5, {});
  for (uint64_t i = 1; i <= 3; ++i) {
    history.AddCrash(now, MakeCrash(i, now, {MakeTraits(i, {kDeadly}), whole}));
    history.AddCrash(now, MakeCrash(i + 10, now, {whole}));
  }
  now += seconds(1);
  history.Decide(now);
  for (uint64_t i = 0; i < 6000; ++i) {
    history.AddCrash(now, MakeCrash(100 + i, now,
                                    {MakeTraits(1000 + i, {20000 + i}),
                                     MakeTraits(10000 + i, {kFirst})}));
    history.OnAnswered(now, now, MakeTraits(30000 + i, {40000 + i}));
  }
  history.Decide(now);
  BOOST_TEST((history.FindQuarantined(now, MakeTraits(7, {kFirst, kDeadly})) ==
              fingerprint(kDeadly)));
  BOOST_TEST((history.FindQuarantined(now, whole) == whole.request));
  BOOST_TEST(!history.FindQuarantined(now, MakeTraits(7, {kFirst})));
  now += seconds(601);
  BOOST_TEST(!history.FindQuarantined(now, whole));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
