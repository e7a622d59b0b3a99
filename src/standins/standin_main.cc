/// @file standin_main.cc Command line of the stand-ins.
#include <boost/program_options.hpp>
#include <iostream>

#include "network/node_runtime.h"
#include "standins/standin_func.h"

namespace po = boost::program_options;

int main(int argc, char** argv) {
  using namespace fuchsiafall::standins;
  fuchsiafall::BlockSignals();
  standin_options options;
  std::string kind;
  po::options_description description(
      "Usage: fuchsiafall-standins KIND [OPTIONS]\n"
      "KIND is platform, origin, engines, plain or proxy");
  auto add = description.add_options();
  add("help", "shows this help");
  add("kind", po::value(&kind), "kind of stand-in");
  add("listen", po::value(&options.listen)->composing(),
      "ip:port, one for each instance");
  add("weights", po::value(&options.weights)->composing(),
      "NAME:BYTES:CHUNK_BYTES:SEED");
  add("link", po::value(&options.links)->composing(), "GROUP=LISTEN>TARGET");
  add("control", po::value(&options.control),
      "ip:port of the proxy's control page");
  add("folder", po::value(&options.directory), "directory of blobs");
  add("rate", po::value(&options.rate), "bytes per second");
  add("lag-ms", po::value(&options.lag_ms), "age of the reported data");
  add("cold-limit", po::value(&options.cold_limit),
      "concurrent calls that a cold engine handles");
  add("most-limit", po::value(&options.max_limit),
      "concurrent calls that a warm engine handles; not enforced");
  add("warm-after", po::value(&options.warm_after),
      "calls after which an engine is warm");
  add("load-ms", po::value(&options.load_ms), "time to load weights");
  add("prefill-ms", po::value(&options.prefill_ms), "time to the first token");
  add("token-ms", po::value(&options.token_ms), "time between tokens");
  add("service-ms", po::value(&options.service_ms), "time of a plain call");
  add("delay-ms", po::value(&options.delay_ms), "one-way delay of the proxy");
  add("checks-fencing", po::bool_switch(&options.checks_fencing),
      "refuses load orders with an old fencing token");
  po::positional_options_description positional;
  positional.add("kind", 1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(description)
                  .positional(positional)
                  .run(),
              values);
    po::notify(values);
  } catch (const po::error& e) {
    std::cerr << "stand-in: " << e.what() << '\n';
    return 2;
  }
  if (kind == "platform")
    return RunPlatform(options);
  if (kind == "origin")
    return RunOrigin(options);
  if (kind == "engines")
    return RunEngines(options);
  if (kind == "plain")
    return RunPlain(options);
  if (kind == "proxy")
    return RunProxy(options);
  std::cout << description;
  return values.contains("help") ? 0 : 2;
}
