/// @file weight_loader_test.cc Orders that an engine accepts late, pieces that
/// rot, and restarts, in virtual time.
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "tests/fake_staged_engine.h"

namespace fuchsiafall::tests {

namespace {

constexpr milliseconds kLoadLimit{3000};  // For a load without trouble.

bool ServesVersion(const fake_staged_engine& engine, uint64_t version) {
  return engine.IsServing() && engine.HeldVersion() == version;
}

/// Advances until the agent has sent a load order that is still open.
void AdvanceToOpenOrder(fake_staged_engine* engine) {
  BOOST_REQUIRE(
      engine->AdvanceUntil([&] { return engine->IsOrderOpen(); }, kLoadLimit));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(weight_loader_suite)

BOOST_AUTO_TEST_CASE(a_version_is_staged_loaded_and_verified) {
  fake_staged_engine engine(1);
  BOOST_TEST(engine.AdvanceUntil([&] { return engine.IsServing(); },
                                 milliseconds(200)));
  engine.wanted = 2;
  BOOST_TEST(engine.AdvanceUntil([&] { return ServesVersion(engine, 2); },
                                 kLoadLimit));
  BOOST_TEST(engine.counts["loads_verified"] == 1u);
  BOOST_TEST(engine.Orders() == 1u);
}

// An engine that stands still accepts an order long after the pieces were
// checked for it.
BOOST_AUTO_TEST_CASE(nothing_runs_on_a_piece_that_rotted_before_its_order) {
  for (const milliseconds delay : {milliseconds(900), milliseconds(1600),
                                   milliseconds(3800), milliseconds(6500)}) {
    fake_staged_engine engine(1);
    engine.Advance(milliseconds(300));
    engine.delays.order = delay;
    engine.wanted = 2;
    AdvanceToOpenOrder(&engine);
    engine.Rot(4);
    engine.delays.order = milliseconds(2);
    BOOST_TEST(engine.AdvanceUntil([&] { return ServesVersion(engine, 2); },
                                   delay + milliseconds(4000)));
    BOOST_TEST(!engine.HoldsSpoilt());
    BOOST_TEST(ToMs(engine.spoilt_service) == 0);
  }
}

BOOST_AUTO_TEST_CASE(an_order_accepted_late_takes_no_piece_of_a_newer_version) {
  for (const milliseconds delay :
       {milliseconds(900), milliseconds(1600), milliseconds(4800)}) {
    fake_staged_engine engine(1);
    engine.Advance(milliseconds(300));
    engine.delays.order = delay;
    engine.wanted = 2;
    AdvanceToOpenOrder(&engine);
    engine.wanted = 3;
    BOOST_REQUIRE(engine.AdvanceUntil(
        [&] { return engine.HeldVersion() == 2 && engine.Orders() > 0; },
        delay + milliseconds(1000)));
    BOOST_TEST(!engine.HoldsSpoilt());
    engine.delays.order = milliseconds(2);
    BOOST_TEST(engine.AdvanceUntil([&] { return ServesVersion(engine, 3); },
                                   milliseconds(4000)));
    BOOST_TEST(ToMs(engine.spoilt_service) == 0);
  }
}

// The bytes of a read-back are as old as the read, however late its answer is
// processed.
BOOST_AUTO_TEST_CASE(a_check_from_before_a_pause_of_the_agent_is_repeated) {
  piece_stager stager({.max_verified_age = milliseconds(2000)});
  stager.SetTarget({digest("a")});
  const time_point sent_at{std::chrono::hours(1)};
  stager.OnReadBack(sent_at, 0, digest("a"));
  BOOST_TEST(stager.IsVerified(sent_at + milliseconds(2000)));
  BOOST_TEST(!stager.IsVerified(sent_at + milliseconds(2010)));
}

// The agent repairs a piece, and the engine takes the write after the order
// that followed.
BOOST_AUTO_TEST_CASE(a_late_write_does_not_hide_a_spoilt_piece) {
  load_verifier verifier({});
  time_point now{std::chrono::hours(1)};
  staged_engine_report report{.started_at_ms = 77};
  auto advance = [&](milliseconds span) {
    now += span;
    // A change counts when a second report shows it.
    verifier.OnReport(now, now - milliseconds(5), report, !report.held.empty());
    verifier.OnReport(now, now - milliseconds(5), report, !report.held.empty());
  };
  advance(milliseconds(100));
  verifier.OnWriteSent();
  now += milliseconds(3000);
  verifier.OnWriteEnded(now, {.status = 0, .is_given_up = true});
  advance(milliseconds(100));
  BOOST_TEST(!verifier.MayOrder(now));
  // Another agent's order is accepted all the same.
  report.orders = 1;
  report.held = {{.model = "m", .version = 2, .from = 0, .to = 4}};
  advance(milliseconds(100));
  BOOST_REQUIRE(verifier.VerifiesFrom().has_value());
  verifier.OnCompared(true);
  BOOST_TEST(!verifier.IsIntact());
  BOOST_TEST(verifier.IsSpoilt());
}

// Regression: an agent that had ordered an unload took a load order of the
// agent before it, accepted late, for its own. It wrote the pieces anew while
// they were loaded, and the next agent found them all right.
BOOST_AUTO_TEST_CASE(a_load_of_the_agent_before_is_not_taken_for_an_unload) {
  const time_point now{std::chrono::hours(1)};
  const engine_order unload{.is_unload = true, .reported_orders = 3};
  for (const int status : {0, 202, 409}) {
    load_verifier verifier({});
    staged_engine_report report{.orders = 3, .started_at_ms = 77};
    auto report_twice = [&] {
      for (int i = 0; i < 2; ++i)
        verifier.OnReport(now, now, report, !report.held.empty());
    };
    report.held = {{.model = "m", .version = 2, .from = 0, .to = 4}};
    report_twice();
    const uint64_t number = verifier.OnOrderSent(now, unload);
    report.orders = 4;
    report.is_loading = true;
    report_twice();
    BOOST_TEST(!verifier.MayWrite(now));
    BOOST_TEST(verifier.VerifiesFrom().has_value());
    // The answer is late.
    verifier.OnOrderEnded(now, number, {.status = status});
    BOOST_TEST(verifier.MayWrite(now) == (status == 202));
    BOOST_TEST(verifier.VerifiesFrom().has_value() == (status != 202));
  }
}

BOOST_AUTO_TEST_CASE(no_load_is_ordered_while_a_write_may_take_effect) {
  fake_staged_engine engine(1);
  engine.Advance(milliseconds(300));
  engine.delays.write = milliseconds(4500);
  engine.wanted = 2;
  engine.Advance(milliseconds(200));
  engine.delays.write = milliseconds(2);
  BOOST_TEST(engine.AdvanceUntil([&] { return ServesVersion(engine, 2); },
                                 milliseconds(12000)));
  BOOST_TEST(engine.counts["loads_spoilt"] == 0u);
}

BOOST_AUTO_TEST_CASE(a_restarted_agent_verifies_what_was_loaded_before) {
  for (const bool is_rotten : {false, true}) {
    fake_staged_engine engine(1);
    engine.Advance(milliseconds(300));
    engine.delays.order = milliseconds(1500);
    engine.wanted = 2;
    AdvanceToOpenOrder(&engine);
    if (is_rotten)
      engine.Rot(1);
    engine.delays.order = milliseconds(2);
    engine.RestartAgent();
    BOOST_TEST(engine.AdvanceUntil([&] { return ServesVersion(engine, 2); },
                                   milliseconds(8000)));
    BOOST_TEST(!engine.HoldsSpoilt());
    BOOST_TEST(ToMs(engine.spoilt_service) == 0);
  }
}

BOOST_AUTO_TEST_CASE(a_garbled_read_does_not_give_up_intact_weights) {
  fake_staged_engine engine(1);
  engine.Advance(milliseconds(300));
  engine.wanted = 2;
  BOOST_REQUIRE(
      engine.AdvanceUntil([&] { return engine.Orders() == 1; }, kLoadLimit));
  engine.garbled_reads = 2;
  BOOST_TEST(engine.AdvanceUntil([&] { return ServesVersion(engine, 2); },
                                 kLoadLimit));
  BOOST_TEST(engine.garbled_reads == 0u);
  BOOST_TEST(engine.counts["loads_spoilt"] == 0u);
}

BOOST_AUTO_TEST_CASE(a_garbled_or_late_copy_of_a_report_is_no_load) {
  const time_point now{std::chrono::hours(1)};
  const staged_engine_report report{
      .held = {{.model = "m", .version = 2, .from = 0, .to = 4}},
      .orders = 3,
      .started_at_ms = 77};
  load_verifier verifier({});
  for (int i = 0; i < 2; ++i)
    verifier.OnReport(now, now, report, true);
  verifier.OnCompared(true);
  for (const auto& [orders, started_at_ms] :
       {std::pair<uint64_t, int64_t>(2, 77), {4, 77}, {3, 76}, {0, 0}}) {
    staged_engine_report other = report;
    other.orders = orders;
    other.started_at_ms = started_at_ms;
    BOOST_TEST(!verifier.OnReport(now, now, other, true));
    BOOST_TEST(!verifier.IsIntact());
    BOOST_TEST(!verifier.OnReport(now, now, report, true));
    BOOST_TEST(verifier.IsIntact());
  }
}

BOOST_AUTO_TEST_CASE(an_engine_that_restarts_while_it_loads_is_loaded_again) {
  fake_staged_engine engine(1);
  engine.Advance(milliseconds(300));
  engine.wanted = 2;
  BOOST_REQUIRE(
      engine.AdvanceUntil([&] { return engine.Orders() == 1; }, kLoadLimit));
  engine.Rot(2);
  engine.Restart();
  BOOST_TEST(engine.AdvanceUntil([&] { return ServesVersion(engine, 2); },
                                 kLoadLimit));
  BOOST_TEST(!engine.HoldsSpoilt());
}

// Only all layers of a version can be compared with its digests.
BOOST_AUTO_TEST_CASE(part_of_the_layers_does_not_stop_loads) {
  for (const uint32_t to : {0U, 2U}) {
    fake_staged_engine engine(0);
    engine.HoldLayers(1, to);
    engine.wanted = 2;
    BOOST_TEST(engine.AdvanceUntil([&] { return ServesVersion(engine, 2); },
                                   milliseconds(5000)));
  }
}

// A manifest that was corrupted on its way must not cost intact weights.
BOOST_AUTO_TEST_CASE(digests_in_doubt_do_not_give_up_intact_weights) {
  fake_staged_engine engine(1);
  engine.Advance(milliseconds(300));
  engine.wanted = 2;
  BOOST_REQUIRE(engine.AdvanceUntil([&] { return ServesVersion(engine, 2); },
                                    kLoadLimit));
  engine.RestartAgent();
  engine.has_digests_in_doubt = true;
  engine.Advance(milliseconds(2000));
  BOOST_TEST(!engine.IsServing());
  BOOST_TEST(engine.HeldVersion() == 2u);
  engine.has_digests_in_doubt = false;
  BOOST_TEST(engine.AdvanceUntil([&] { return ServesVersion(engine, 2); },
                                 kLoadLimit));
  BOOST_TEST(engine.counts["loads_spoilt"] == 0u);
}

BOOST_AUTO_TEST_CASE(layers_without_known_digests_are_given_up) {
  load_verifier verifier({.max_digest_wait = milliseconds(3000)});
  time_point now{std::chrono::hours(1)};
  const staged_engine_report report{
      .held = {{.model = "m", .version = 2, .from = 0, .to = 4}},
      .orders = 1,
      .started_at_ms = 77};
  for (int i = 0; i < 2; ++i)
    verifier.OnReport(now, now, report, true);
  // The time counts from when they could be known.
  now += seconds(10);
  verifier.OnDigestsMissing(now);
  verifier.OnDigestsMissing(now + milliseconds(2900));
  BOOST_TEST(!verifier.IsSpoilt());
  verifier.OnDigestsMissing(now + milliseconds(3100));
  BOOST_TEST(verifier.IsSpoilt());
  // Layers that no order has loaded were there from the start.
  load_verifier at_start({});
  staged_engine_report initial = report;
  initial.orders = 0;
  for (int i = 0; i < 2; ++i)
    at_start.OnReport(now, now, initial, true);
  BOOST_TEST(at_start.IsIntact());
}

// Whatever is delayed, rots or restarts, no place is granted on spoilt weights,
// and the newest version is served once the trouble is over.
BOOST_AUTO_TEST_CASE(no_series_of_faults_lets_spoilt_weights_serve) {
  const bool holds = rc::check([] {
    fake_staged_engine engine(1);
    const auto faults = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange(0, 2500)));
    for (const auto& [fault, value] : faults) {
      const auto piece =
          static_cast<uint32_t>(value) % fake_staged_engine::kPieces;
      switch (fault) {
        case 0:
        case 1:
          engine.Rot(piece);
          break;
        case 2:
        case 3:
          ++engine.wanted;
          break;
        case 4:
        case 5:
          engine.delays.order = milliseconds(2 * value);
          break;
        case 6:
          engine.delays.write = milliseconds(2 * value);
          break;
        case 7:
          engine.delays = {};
          break;
        case 8:
          engine.Restart();
          break;
        case 9:
          engine.RestartAgent();
          break;
        case 10:
          engine.is_agent_paused = !engine.is_agent_paused;
          break;
        default:
          engine.is_engine_paused = !engine.is_engine_paused;
      }
      engine.Advance(milliseconds(value % 700));
    }
    engine.is_agent_paused = engine.is_engine_paused = false;
    engine.delays = {};
    RC_ASSERT(engine.AdvanceUntil(
        [&] { return ServesVersion(engine, engine.wanted); },
        milliseconds(20000)));
    RC_ASSERT(ToMs(engine.spoilt_service) == 0);
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
