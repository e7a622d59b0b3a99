/// @file weights_plan_test.cc Versions set in quick succession, load slots of
/// servers, and staging at an engine that does not verify.
#include <boost/test/unit_test.hpp>
#include <deque>

#include "engine_monitor_base.h"
#include "piece_stager_base.h"
#include "weights_plan_func.h"

namespace fuchsiafall::tests {

namespace {

const time_point kTargetSince{std::chrono::hours(1)};
const weights_plan_options kOptions{.bound = milliseconds(8000)};

digest Piece(char c) {
  return digest(std::string(32, c));
}

/// Engine whose queued requests begin after a fixed wait. An unload order
/// rejects the queue.
struct queueing_engine {
  explicit queueing_engine(milliseconds queue_wait) : wait(queue_wait) {}

  void Accept(time_point now) {
    if (report.held.empty() || report.is_loading)
      ++rejected;
    else
      queue.push_back(now);
  }
  void Order(const engine_order& order) {
    BOOST_TEST(order.is_unload);
    ++report.orders;
    report.is_loading = true;
    rejected += queue.size();
    queue.clear();
  }
  void Run(time_point now) {
    while (!queue.empty() && now - queue.front() >= wait) {
      queue.pop_front();
      last_begin = now;
    }
  }

  milliseconds wait;
  staged_engine_report report{
      .held = {{.model = "m", .version = 1, .from = 0, .to = 16}},
      .started_at_ms = 77};
  std::deque<time_point> queue;
  size_t rejected = 0;
  time_point last_begin{};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(weights_plan_suite)

BOOST_AUTO_TEST_CASE(grants_end_earlier_where_a_request_waits_long) {
  // Requests wait up to 1.3 s on a saturated link, and 1.06 s in a queue.
  BOOST_TEST((GrantMargin(kTargetSince, kTargetSince, 0) > milliseconds(1300)));
  BOOST_TEST((GrantMargin(kTargetSince, std::nullopt, 1) > milliseconds(1060)));
  BOOST_TEST((GrantMargin(kTargetSince, std::nullopt, 0) < milliseconds(1000)));
  // Without new pieces, as during an outage of the origin, the usual margin
  // applies again.
  BOOST_TEST((GrantMargin(kTargetSince + seconds(5), kTargetSince, 0) <
              milliseconds(1000)));
}

// Calls that find a free slot are granted nearly until the unload, 0.3 s before
// the bound; on a link that pieces saturate, a request may take 0.7 s longer.
BOOST_AUTO_TEST_CASE(grants_of_free_slots_end_shortly_before_the_unload) {
  const milliseconds usual = FreeSlotGrantMargin(kTargetSince, std::nullopt);
  const milliseconds saturated =
      FreeSlotGrantMargin(kTargetSince, kTargetSince);
  BOOST_TEST((usual > milliseconds(300) && usual <= milliseconds(500)));
  BOOST_TEST((saturated - usual >= milliseconds(700)));
  BOOST_TEST((saturated < GrantMargin(kTargetSince, kTargetSince, 0)));
  BOOST_TEST(IsUnloadDue(kTargetSince, kTargetSince + milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(the_end_of_an_outage_of_weights_is_estimated) {
  const time_point now = kTargetSince + seconds(3);
  const auto estimate = [&](double progress) {
    const std::vector<wanted_version> wanted{{2, kTargetSince, progress}};
    return ServesAgainIn(now, PlanWeights(now, kOptions, 0, wanted, 0), wanted,
                         false)
        .count();
  };
  BOOST_TEST(estimate(0) == 0);
  BOOST_TEST(estimate(0.5) == 3500);
  BOOST_TEST(estimate(1) == 500);
  BOOST_TEST(estimate(0.1) == 10000);
}

BOOST_AUTO_TEST_CASE(
    an_empty_engine_loads_as_soon_as_the_weights_are_complete) {
  auto plan =
      PlanWeights(kTargetSince, kOptions, 0, {{1, kTargetSince, 0.9}}, 0.9);
  BOOST_TEST(!plan.load.has_value());
  plan = PlanWeights(kTargetSince, kOptions, 0, {{1, kTargetSince, 1}}, 0.9);
  BOOST_TEST((plan.load == 1u));
}

BOOST_AUTO_TEST_CASE(an_empty_engine_loads_no_version_past_its_bound) {
  const std::vector<wanted_version> wanted{{1, kTargetSince, 1},
                                           {2, kTargetSince + seconds(1), 0.2}};
  auto plan = PlanWeights(kTargetSince + seconds(7), kOptions, 0, wanted, 0.9);
  BOOST_TEST((plan.load == 1u));
  plan = PlanWeights(kTargetSince + seconds(8), kOptions, 0, wanted, 0.9);
  BOOST_TEST(!plan.load.has_value());
  BOOST_TEST((plan.fetch == std::vector<uint64_t>{2}));
}

BOOST_AUTO_TEST_CASE(load_slots_are_staggered_and_all_begin_within_the_bound) {
  std::vector<milliseconds> starts;
  for (int i = 0; i < 20; ++i) {
    for (milliseconds t{0}; t < seconds(20); t += milliseconds(10)) {
      if (PlanWeights(kTargetSince + t, kOptions, 1, {{2, kTargetSince, 1}},
                      i / 20.0)
              .load) {
        starts.push_back(t);
        break;
      }
    }
  }
  BOOST_REQUIRE(starts.size() == 20u);
  BOOST_TEST(starts.back().count() < 8000);
  // At most a quarter of the servers begins within half a second.
  for (size_t i = 0; i + 5 < starts.size(); ++i)
    BOOST_TEST((starts[i + 5] - starts[i]).count() > 500);
}

BOOST_AUTO_TEST_CASE(a_nearly_complete_older_version_is_finished_first) {
  auto plan = PlanWeights(
      kTargetSince + seconds(2), kOptions, 1,
      {{2, kTargetSince, 0.8}, {3, kTargetSince + seconds(2), 0}}, 0);
  BOOST_TEST((plan.fetch == std::vector<uint64_t>{2, 3}));
  plan = PlanWeights(
      kTargetSince + seconds(1), kOptions, 1,
      {{2, kTargetSince, 0.3}, {3, kTargetSince + seconds(1), 0}}, 0);
  BOOST_TEST((plan.fetch == std::vector<uint64_t>{3}));
}

BOOST_AUTO_TEST_CASE(the_older_one_is_loaded_when_the_newest_does_not_come) {
  const std::vector<wanted_version> wanted{{2, kTargetSince, 1},
                                           {3, kTargetSince + seconds(1), 0.2}};
  BOOST_TEST(
      !PlanWeights(kTargetSince + seconds(4), kOptions, 1, wanted, 0).load);
  auto plan =
      PlanWeights(kTargetSince + milliseconds(7500), kOptions, 1, wanted, 0.99);
  BOOST_TEST((plan.load == 2u));
  BOOST_TEST(plan.stage == 2u);
}

BOOST_AUTO_TEST_CASE(a_late_newest_version_does_not_delay_the_load_slots) {
  const std::vector<wanted_version> wanted{{2, kTargetSince, 1},
                                           {3, kTargetSince + seconds(4), 0}};
  BOOST_TEST(
      (PlanWeights(kTargetSince + seconds(4), kOptions, 1, wanted, 0).load ==
       2u));
}

// Two namings 4 s apart, with a transfer time of 6 s: the first version was
// given up at two thirds of its transfer, and the second came after the bound
// of the served one.
BOOST_AUTO_TEST_CASE(a_version_is_finished_if_the_newest_would_come_too_late) {
  const weights_plan_options options{.bound = milliseconds(10000)};
  auto fetch = [&](milliseconds gap, double progress) {
    const std::vector<wanted_version> wanted{{2, kTargetSince, progress},
                                             {3, kTargetSince + gap, 0}};
    return PlanWeights(kTargetSince + gap, options, 1, wanted, 0.5).fetch;
  };
  const std::vector<uint64_t> both{2, 3};
  const std::vector<uint64_t> newest{3};
  BOOST_TEST(fetch(milliseconds(4000), 0.65) == both);
  BOOST_TEST(fetch(milliseconds(4000), 0.55) == both);
  // The newest is in time by itself.
  BOOST_TEST(fetch(milliseconds(2000), 0.4) == newest);
  // With the older one first, the newest would be too late.
  BOOST_TEST(fetch(milliseconds(2000), 0.27) == newest);
  // Neither is in time.
  BOOST_TEST(fetch(milliseconds(6000), 0.1) == newest);
  BOOST_TEST(fetch(milliseconds(6000), 0) == newest);
}

BOOST_AUTO_TEST_CASE(nothing_is_ordered_before_all_pieces_are_compared) {
  piece_stager stager({.max_verified_age = milliseconds(2000)});
  stager.SetTarget({Piece('a'), Piece('b')});
  time_point now = kTargetSince;
  auto read = piece_stager::operation_type::kRead;
  auto next = stager.Next(now, true);
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST((next->type == read && next->piece == 0u));
  BOOST_TEST(stager.OnReadBack(now, 0, Piece('a')));
  BOOST_TEST(!stager.OnReadBack(now, 1, std::nullopt));
  BOOST_TEST(!stager.Next(now, true).has_value());
  stager.SetAvailable(1, true);
  next = stager.Next(now, true);
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST((next->type == piece_stager::operation_type::kWrite));
  stager.OnWritten(1);
  BOOST_TEST(!stager.IsVerified(now));
  next = stager.Next(now, true);
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST((next->type == read && next->piece == 1u));
  stager.OnReadBack(now, 1, Piece('b'));
  BOOST_TEST(stager.IsVerified(now));
  // Staged bytes may be corrupted at rest, so an old verification expires.
  now += seconds(3);
  BOOST_TEST(!stager.IsVerified(now));
  next = stager.Next(now, true);
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST((next->type == read));
  BOOST_TEST(!stager.OnReadBack(now, 0, Piece('x')));
  stager.SetAvailable(0, true);
  next = stager.Next(now, true);
  BOOST_TEST((next->type == piece_stager::operation_type::kWrite));
}

BOOST_AUTO_TEST_CASE(pieces_known_to_be_of_another_version_are_not_read_first) {
  piece_stager stager({});
  const time_point now{std::chrono::hours(1)};
  stager.SetTarget({digest("a1"), digest("b"), digest("c1")});
  BOOST_TEST(!stager.HasReadAll());
  stager.OnReadBack(now, 0, digest("a1"));
  stager.OnReadBack(now, 1, digest("b"));
  stager.SetTarget({digest("a2"), digest("b"), digest("c2")});
  stager.SetAvailable(0, true);
  // The second may be the same, and the third has not been read yet.
  auto next = stager.Next(now, false);
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST((next->type == piece_stager::operation_type::kRead));
  BOOST_TEST(next->piece == 1u);
  stager.OnReadBack(now, 1, digest("b"));
  stager.OnReadBack(now, 2, std::nullopt);
  BOOST_TEST(stager.HasReadAll());
  next = stager.Next(now, false);
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST((next->type == piece_stager::operation_type::kWrite));
  BOOST_TEST(next->piece == 0u);
}

BOOST_AUTO_TEST_CASE(an_order_without_effect_is_repeated_and_a_restart_seen) {
  engine_monitor monitor({.order_timeout = milliseconds(600)});
  monitor.SetModel("m", 16);
  BOOST_TEST(!monitor.IsOrderDue(kTargetSince, 2));
  staged_engine_report report{
      .held = {{.model = "m", .version = 1, .from = 0, .to = 16}},
      .orders = 1,
      .started_at_ms = 77};
  monitor.OnReport(report);
  BOOST_TEST(monitor.IsServing(kTargetSince));
  BOOST_TEST(!monitor.MakeOrder(kTargetSince, 2, false).has_value());
  BOOST_REQUIRE(monitor.MakeOrder(kTargetSince, 2, true).has_value());
  BOOST_TEST(!monitor.IsServing(kTargetSince + milliseconds(10)));
  BOOST_TEST(!monitor.MakeOrder(kTargetSince + milliseconds(100), 2, true)
                  .has_value());
  BOOST_TEST(
      monitor.MakeOrder(kTargetSince + milliseconds(700), 2, true).has_value());
  report.held[0].version = 2;
  BOOST_TEST(!monitor.OnReport(report));
  BOOST_TEST(!monitor.IsOrderDue(kTargetSince + seconds(1), 2));
  report.held.clear();
  report.started_at_ms = 99;
  BOOST_TEST(monitor.OnReport(report));
  BOOST_TEST(monitor.IsOrderDue(kTargetSince + seconds(2), 2));
}

// A request that waits in the queue or arrives late begins on no version past
// its bound, however long it has waited.
BOOST_AUTO_TEST_CASE(no_waiting_request_begins_on_replaced_weights) {
  const time_point outdated_at = kTargetSince + kOptions.bound;
  for (milliseconds wait :
       {milliseconds(100), milliseconds(1900), milliseconds(6000)}) {
    queueing_engine engine(wait);
    engine_monitor monitor({});
    monitor.SetModel("m", 16);
    for (time_point now = kTargetSince; now < outdated_at + seconds(8);
         now += milliseconds(100)) {
      monitor.OnReport(engine.report);
      engine.Run(now);
      engine.Accept(now);
      if (IsUnloadDue(now, outdated_at)) {
        if (auto order = monitor.MakeUnloadOrder(now))
          engine.Order(*order);
      }
    }
    BOOST_TEST((engine.last_begin <= outdated_at));
    BOOST_TEST((engine.last_begin >= outdated_at - milliseconds(500)));
    BOOST_TEST(engine.report.orders == 1u);
    BOOST_TEST(engine.rejected >= 80u);
  }
}

BOOST_AUTO_TEST_CASE(an_unload_order_is_sent_once_and_a_load_waits_for_it) {
  engine_monitor monitor({.order_timeout = milliseconds(600)});
  monitor.SetModel("m", 16);
  time_point now = kTargetSince;
  BOOST_TEST(!monitor.MakeUnloadOrder(now).has_value());
  staged_engine_report report{
      .held = {{.model = "m", .version = 1, .from = 0, .to = 16}},
      .started_at_ms = 77};
  monitor.OnReport(report);
  const auto order = monitor.MakeUnloadOrder(now);
  BOOST_REQUIRE(order.has_value());
  BOOST_TEST((order->is_unload && order->version == 1u));
  BOOST_TEST(!monitor.IsServing(now));
  BOOST_TEST(!monitor.MakeUnloadOrder(now + milliseconds(100)).has_value());
  BOOST_TEST(!monitor.IsOrderDue(now + milliseconds(100), 2));
  // Without an effect it is repeated.
  now += milliseconds(600);
  BOOST_TEST(monitor.MakeUnloadOrder(now).has_value());
  report.is_loading = true;
  monitor.OnReport(report);
  BOOST_TEST(!monitor.IsOrderDue(now, 2));
  report.is_loading = false;
  report.held.clear();
  monitor.OnReport(report);
  BOOST_TEST(!monitor.MakeUnloadOrder(now).has_value());
  BOOST_TEST(monitor.IsOrderDue(now, 2));
}

// An engine with a long queue resets connections: orders and reports get lost.
BOOST_AUTO_TEST_CASE(a_lost_order_does_not_let_replaced_weights_serve) {
  const time_point outdated_at = kTargetSince + kOptions.bound;
  const staged_engine_report report{
      .held = {{.model = "m", .version = 1, .from = 0, .to = 16}},
      .started_at_ms = 77};
  auto unload_count = [&](engine_monitor* monitor, bool is_reachable) {
    int count = 0;
    for (time_point now = outdated_at - milliseconds(500); now < outdated_at;
         now += milliseconds(100)) {
      if (is_reachable) {
        monitor->OnReport(report);
      } else {
        monitor->OnUnreachable();
      }
      if (IsUnloadDue(now, outdated_at) && monitor->MakeUnloadOrder(now))
        ++count;
    }
    return count;
  };
  engine_monitor monitor({});
  monitor.SetModel("m", 16);
  BOOST_TEST(unload_count(&monitor, true) == 2);
  // A load order was lost just before.
  engine_monitor ordered({});
  ordered.SetModel("m", 16);
  ordered.OnReport(report);
  BOOST_TEST(
      ordered.MakeOrder(outdated_at - milliseconds(350), 2, true).has_value());
  BOOST_TEST(unload_count(&ordered, true) >= 1);
  engine_monitor unreachable({});
  unreachable.SetModel("m", 16);
  unreachable.OnReport(report);
  BOOST_TEST(unload_count(&unreachable, false) >= 1);
}

BOOST_AUTO_TEST_CASE(part_of_the_layers_does_not_serve) {
  engine_monitor monitor({});
  monitor.SetModel("m", 16);
  monitor.OnReport(
      {.held = {{.model = "m", .version = 1, .from = 0, .to = 8}}});
  BOOST_TEST(monitor.ServedVersion() == 0u);
  BOOST_TEST(!monitor.IsServing(kTargetSince));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
