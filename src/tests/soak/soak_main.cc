/// @file soak_main.cc Command line of the soak: real processes on loopback
/// under faults from outside, with the promises checked by what callers and
/// servers see.
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
      "Ends with 0 when all promises were kept, 1 when one was broken.");
  auto add = described.add_options();
  add("help", "shows this help");
  add("seed", po::value(&options.seed), "of all faults and callers");
  add("minutes", po::value(&minutes), "time under faults");
  add("processes", po::value(&options.processes),
      "entries and agents, 6 to 200");
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
  if (options.processes < 6 || options.processes > 200 || minutes <= 0) {
    std::cerr << "soak: --processes is 6 to 200, --minutes over 0\n";
    return 2;
  }
  options.span = std::chrono::duration_cast<seconds>(
      std::chrono::duration<double>(minutes * 60));
  options.folder = harness::NewFolder("soak-" + std::to_string(options.seed));
  std::signal(SIGPIPE, SIG_IGN);
  event_loop loop;
  // Ended by a signal, it ends what it started.
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
  site.Play(BootNow(), [&loop] { loop.Stop(); });
  loop.Run();
  return site.Report() ? 0 : 1;
}
