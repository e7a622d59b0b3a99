/// @file bench_main.cc Command line and report of the benches.
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <string_view>

#include "bench/bench.h"
#include "network/node_runtime.h"

namespace fuchsiafall::bench {

namespace {

/// Bench with its name and its line in the list.
struct bench_info {
  std::string_view name;
  std::string_view help;
  void (*run)(const bench_arguments&, report*);
};

constexpr bench_info kBenches[] = {
    {"quickstart", "a small fleet from nothing to a rollout under load",
     RunQuickstart},
    {"rollout",
     "time until N replicas hold the weights, with and without faults",
     RunRolloutBench},
    {"service", "callers while a domain leaves and returns, and under overload",
     RunServiceBench},
    {"once", "calls that may not be repeated, under faults", RunOnceBench},
    {"route", "cost of decisions at the target size, and the time added",
     RunRouteBench},
    {"config", "edits in force over 200 processes, and racing edits",
     RunConfigBench},
    {"control", "processor, memory and traffic of control", RunControlBench},
    {"recovery", "a third of all processes replaced at once", RunRecoveryBench},
    {"places", "cost of an agent's decision while place requests wait",
     RunPlaceBench},
};

std::string Verdict(const figure& item) {
  if (!item.bound)
    return "-";
  return item.MissesBound() ? "short" : "ok";
}

}  // namespace

bool figure::MissesBound() const {
  if (!bound)
    return false;
  return side == bound_side::kMax ? value > *bound : value < *bound;
}

void report::Add(const std::string& name,
                 double value,
                 const std::string& unit) {
  figures_.push_back({.name = name, .value = value, .unit = unit});
}

void report::AddWithMax(const std::string& name,
                        double value,
                        const std::string& unit,
                        double max_value) {
  figures_.push_back({name, value, unit, max_value, bound_side::kMax});
}

void report::AddWithMin(const std::string& name,
                        double value,
                        const std::string& unit,
                        double min_value) {
  figures_.push_back({name, value, unit, min_value, bound_side::kMin});
}

void report::Print(bool json) const {
  if (json) {
    Poco::JSON::Array list;
    for (const figure& item : figures_) {
      Poco::JSON::Object object;
      object.set("figure", item.name);
      object.set("value", item.value);
      object.set("unit", item.unit);
      if (item.bound)
        object.set("bound", *item.bound);
      object.set("verdict", Verdict(item));
      list.add(object);
    }
    list.stringify(std::cout, 2);
    std::cout << '\n';
    return;
  }
  for (const figure& item : figures_) {
    std::cout << std::left << std::setw(56) << item.name << std::right
              << std::setw(12) << std::fixed << std::setprecision(2)
              << item.value << ' ' << std::left << std::setw(10) << item.unit;
    std::string bound = "-";
    if (item.bound) {
      std::ostringstream text;
      text << (item.side == bound_side::kMax ? "<= " : ">= ") << std::fixed
           << std::setprecision(2) << *item.bound;
      bound = text.str();
    }
    std::cout << std::setw(14) << bound << Verdict(item) << '\n';
  }
}

bool report::MissesBound() const {
  return std::any_of(figures_.begin(), figures_.end(),
                     [](const figure& item) { return item.MissesBound(); });
}

void PrintProgress(const std::string& text) {
  std::cerr << ".. " << text << std::endl;
}

size_t CountOf(const bench_arguments& arguments, size_t default_count) {
  if (arguments.empty())
    return default_count;
  const std::string& text = arguments.front();
  size_t count = 0;
  const auto read =
      std::from_chars(text.data(), text.data() + text.size(), count);
  if (read.ec != std::errc() || read.ptr != text.data() + text.size() ||
      count == 0) {
    std::cerr << "count: found '" << text
              << "', allowed is a whole number greater than 0\n";
    std::exit(2);
  }
  return count;
}

}  // namespace fuchsiafall::bench

int main(int argc, char** argv) {
  using namespace fuchsiafall::bench;
  fuchsiafall::BlockSignals();
  bench_arguments arguments(argv + 1, argv + argc);
  const bool json = std::erase(arguments, "--json") > 0;
  const std::string name = arguments.empty() ? "list" : arguments.front();
  if (!arguments.empty())
    arguments.erase(arguments.begin());
  for (const bench_info& info : kBenches) {
    if (name == "list")
      std::cout << std::left << std::setw(14) << info.name << info.help << '\n';
    if (info.name != name)
      continue;
    report result;
    info.run(arguments, &result);
    result.Print(json);
    return result.MissesBound() ? 1 : 0;
  }
  if (name == "list")
    return 0;
  std::cerr << "bench: found '" << name
            << "'; 'scripts/bench list' names those allowed\n";
  return 2;
}
