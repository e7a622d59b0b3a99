/// @file soak_main.cc Command line of the soak test. It runs real processes on
/// loopback under injected faults, and checks the system's guarantees by what
/// callers and servers observe.
#include <sys/signalfd.h>

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

#include "tests/soak/soak_site.h"

namespace po = boost::program_options;

int main(int argc, char** argv) {
  using namespace fuchsiafall;
  soak::soak_options options;
  double minutes = 0.5;
  po::options_description described(
      "Usage: fuchsiafall-soak [OPTIONS]\n"
      "Exits with 0 if all guarantees held, 1 if one was violated.");
  auto add = described.add_options();
  add("help", "shows this help");
  add("seed", po::value(&options.seed), "seed of all faults and callers");
  add("minutes", po::value(&minutes), "duration of the faults");
  add("processes", po::value(&options.processes),
      "entries and agents, 6 to 200");
  add("site", po::value(&options.site),
      "0 to 9, another one for each run at the same time");
  add("planned", po::bool_switch(&options.is_planned),
      "only planned work: stops, reloads and changes");
  add("silent", po::value(&options.silent_share),
      "share of the streams in which a server falls silent");
  add("held", po::value(&options.held_share),
      "share of the orders that servers take late; none with --planned");
  add("spoilt", po::value(&options.spoilt_share),
      "share of the streams that servers break off or spoil; none with "
      "--planned");
  add("rate", po::value(&options.rate), "requests per second");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, described), values);
    po::notify(values);
  } catch (const po::error& e) {
    std::cerr << "soak: " << e.what() << "\n";
    return 2;
  }
  if (values.contains("help")) {
    std::cout << described;
    return 0;
  }
  if (options.processes < 6 || options.processes > 200 || minutes <= 0 ||
      options.site > 9) {
    std::cerr << "soak: --processes must be 6 to 200, --minutes greater than "
                 "0, --site at "
                 "most 9\n";
    return 2;
  }
  options.span = std::chrono::duration_cast<seconds>(
      std::chrono::duration<double>(minutes * 60));
  // Runs at the same time must not write over each other's settings and logs.
  options.directory = harness::NewDirectory(
      (options.is_planned ? "soak-planned-" : "soak-") +
      std::to_string(options.seed) +
      (options.site > 0 ? "-site-" + std::to_string(options.site) : ""));
  std::signal(SIGPIPE, SIG_IGN);
  event_loop loop;
  // Signals stop the loop, so that the started processes are ended as well.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const int signal_fd = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
  loop.Add(signal_fd, false,
           [&loop](time_point, socket_events) { loop.Stop(); });
  soak::soak_site site(&loop, options);
  auto started = site.Start();
  if (!started) {
    std::cerr << "soak: " << started.LastReason() << "\n";
    return 2;
  }
  site.RunScenario(BootNow(), [&loop] { loop.Stop(); });
  loop.Run();
  return site.Report() ? 0 : 1;
}
