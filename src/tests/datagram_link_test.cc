/// @file datagram_link_test.cc Tests of messages sent as datagrams.
#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

#include "network/datagram_link.h"
#include "tests/loopback_address.h"

namespace fuchsiafall::tests {

BOOST_AUTO_TEST_SUITE(datagram_link_suite)

// A process that stands still between its poll and the receipt reads what has
// arrived since.
BOOST_AUTO_TEST_CASE(a_message_is_not_dated_by_the_poll_before_a_pause) {
  constexpr milliseconds kPause{60};
  const std::string address = FreeAddress();
  event_loop loop;
  std::vector<time_point> received_at;
  datagram_link receiver(
      &loop, [&](time_point now, const std::string&, const proto::envelope&) {
        received_at.push_back(now);
        std::this_thread::sleep_for(kPause);
        if (received_at.size() == 2)
          loop.Stop();
      });
  BOOST_REQUIRE(receiver.Bind(address));
  datagram_link sender(
      &loop, [](time_point, const std::string&, const proto::envelope&) {});
  proto::envelope message;
  message.set_vm("a");
  sender.Send(address, message);
  sender.Send(address, message);
  loop.StartTimer(BootNow() + seconds(5), [&](time_point) { loop.Stop(); });
  loop.Run();
  BOOST_REQUIRE(received_at.size() == 2u);
  BOOST_TEST((received_at[1] - received_at[0] >= kPause));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
