/// @file event_loop_test.cc Tests of the order in which an event loop runs
/// sockets, posted work and timers.
#include <sys/eventfd.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "network/event_loop.h"

namespace fuchsiafall::tests {

namespace {

/// Loop whose sockets become readable on command; records what runs.
struct loop_fixture {
  explicit loop_fixture(int count) {
    for (int i = 0; i < count; ++i) {
      const int fd = eventfd(0, EFD_NONBLOCK);
      fds.push_back(fd);
      loop.Add(fd, false, [this, fd](time_point, socket_events) {
        eventfd_t value = 0;
        if (reads)
          eventfd_read(fd, &value);
        order += "s";
      });
    }
  }
  ~loop_fixture() {
    for (int fd : fds)
      close(fd);
  }
  void MakeReadable() {
    for (int fd : fds)
      eventfd_write(fd, 1);
  }
  void StopAt(time_point at) {
    loop.StartTimer(at, [this](time_point) {
      order += "t";
      loop.Stop();
    });
  }

  event_loop loop;
  std::vector<int> fds;
  std::string order;
  bool reads = true;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(event_loop_suite)

BOOST_AUTO_TEST_CASE(a_timeout_does_not_expire_before_bytes_that_came_in_work) {
  loop_fixture fixture(1);
  fixture.StopAt(BootNow() + milliseconds(10));
  fixture.loop.Post([&] {
    std::this_thread::sleep_for(milliseconds(30));
    fixture.MakeReadable();
  });
  fixture.loop.Run();
  BOOST_TEST(fixture.order == "st");
}

BOOST_AUTO_TEST_CASE(a_timeout_does_not_expire_before_bytes_on_many_sockets) {
  loop_fixture fixture(300);
  fixture.MakeReadable();
  fixture.StopAt(BootNow());
  fixture.loop.Run();
  BOOST_TEST(fixture.order == std::string(300, 's') + "t");
}

BOOST_AUTO_TEST_CASE(sockets_that_stay_readable_do_not_starve_timers) {
  loop_fixture fixture(100);
  fixture.reads = false;
  fixture.MakeReadable();
  fixture.StopAt(BootNow() + milliseconds(1));
  fixture.loop.Run();
  BOOST_TEST(fixture.order.find('t') != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
