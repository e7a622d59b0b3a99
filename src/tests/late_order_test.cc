/// @file late_order_test.cc Places of a hosted agent whose engine accepts a
/// load order late: what is staged may have changed since it was compared.
#include <atomic>
#include <boost/test/unit_test.hpp>

#include "tests/agent_process.h"

namespace fuchsiafall::tests {

namespace {

constexpr milliseconds kHeldLong{3800};  // Rot of up to 3 s is not at fault.
constexpr milliseconds kHeld{2000};
constexpr milliseconds kRotDelay{200};
constexpr seconds kOrderTimeout{30};
constexpr uint32_t kRottenPiece = 5;

/// Agent whose load order for version 2 is held back by the engine.
struct late_order : agent_process {
  late_order(held_calls calls,
             milliseconds span,
             const std::function<void(scripted_engine*)>& after_rot_delay)
      : agent_process("127.71.0") {
    Start();
    InLoop([&](scripted_engine* engine) {
      engine->HoldFromNextOrder(calls, span, [=, this](time_point now) {
        is_held = true;
        Loop().StartTimer(now + kRotDelay,
                          [=](time_point) { after_rot_delay(engine); });
      });
      NameVersion(2);
    });
    BOOST_REQUIRE(
        harness::WaitUntil([this] { return is_held.load(); }, kOrderTimeout));
  }
  ~late_order() { Stop(); }
  late_order(const late_order&) = delete;
  late_order& operator=(const late_order&) = delete;

  /// Checks that a version is served intact at last, and that no place was
  /// granted on other layers.
  void CheckPlaces(uint64_t version, milliseconds timeout) {
    const bool is_served = WaitForPlaceOn(version, timeout);
    const std::string summary = Summary();
    BOOST_TEST_MESSAGE(summary);
    BOOST_TEST_CONTEXT(summary) {
      BOOST_TEST(CountPlacesOnWrongLayers() == 0u);
      BOOST_TEST(is_served);
    }
  }

  std::atomic<bool> is_held{false};
};

void RotOnePiece(scripted_engine* engine) {
  engine->RotPiece(kRottenPiece);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(late_order_suite)

BOOST_AUTO_TEST_CASE(
    no_place_is_granted_on_a_piece_that_rotted_before_a_held_order) {
  late_order agent(held_calls::kOrders, kHeldLong, RotOnePiece);
  agent.CheckPlaces(2, seconds(15));
}

BOOST_AUTO_TEST_CASE(
    no_place_is_granted_on_a_piece_that_rotted_in_a_server_that_stood_still) {
  late_order agent(held_calls::kAll, kHeldLong, RotOnePiece);
  agent.CheckPlaces(2, seconds(15));
}

BOOST_AUTO_TEST_CASE(an_order_held_back_takes_no_pieces_of_a_newer_version) {
  late_order agent(held_calls::kOrders, kHeld, [](scripted_engine*) {});
  agent.InLoop([&](scripted_engine*) { agent.NameVersion(3); });
  agent.CheckPlaces(3, seconds(20));
}

BOOST_AUTO_TEST_CASE(an_order_accepted_after_a_newer_one_is_not_served) {
  late_order agent(held_calls::kOneOrder, kHeld, [](scripted_engine*) {});
  agent.InLoop([&](scripted_engine*) { agent.NameVersion(3); });
  agent.CheckPlaces(3, seconds(20));
}

BOOST_AUTO_TEST_CASE(
    a_restarted_agent_grants_nothing_on_what_it_has_not_compared) {
  late_order agent(held_calls::kAll, kHeldLong, RotOnePiece);
  agent.Restart();
  agent.CheckPlaces(2, seconds(15));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
