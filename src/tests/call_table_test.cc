/// @file call_table_test.cc Calls at an agent whose server takes one at a time.
#include <boost/test/unit_test.hpp>

#include "call_table_base.h"

namespace fuchsiafall::tests {

namespace {

const time_point kStart{std::chrono::hours(1)};

struct fake_agent {
  void Call(time_point now, uint64_t attempt, uint32_t deadline_ms) {
    proto::call_request request;
    request.set_attempt_id(attempt);
    request.set_service("booking");
    request.set_deadline_ms(deadline_ms);
    request.set_may_queue(true);
    calls.OnCall(now, vm_id("e"), "e:1", request,
                 {.service = &service, .accepts = true, .is_idempotent = true},
                 &out);
  }
  void End(time_point now, uint64_t attempt) {
    calls.OnPart(now,
                 {.id = {vm_id("e"), attempt_id(attempt)},
                  .data = "whole",
                  .last = true},
                 &out);
  }
  const start_call* Started(uint64_t attempt) {
    for (const output& item : out.Items()) {
      const auto* started = std::get_if<start_call>(&item);
      if (started != nullptr && started->attempt.value == attempt)
        return started;
    }
    return nullptr;
  }

  proto::service service = [] {
    proto::service made;
    made.set_id("booking");
    return made;
  }();
  call_table calls{{.self = vm_id("a")}};
  output_list out;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(call_table_suite)

BOOST_AUTO_TEST_CASE(a_server_is_told_only_the_time_that_a_call_has_left) {
  fake_agent agent;
  agent.Call(kStart, 1, 1000);
  agent.Call(kStart, 2, 1000);
  agent.End(kStart + milliseconds(400), 1);
  const start_call* started = agent.Started(2);
  BOOST_TEST_REQUIRE(started);
  BOOST_TEST(started->request.deadline_ms() == 600u);
}

BOOST_AUTO_TEST_CASE(a_call_that_expired_in_a_pause_of_its_agent_is_not_begun) {
  fake_agent agent;
  agent.Call(kStart, 1, 1000);
  agent.Call(kStart, 2, 1000);
  agent.End(kStart + seconds(3), 1);
  BOOST_TEST(!agent.Started(2));
  BOOST_TEST(agent.calls.Queued() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
