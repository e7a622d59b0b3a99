/// @file bench.h Benches: each measures real processes and compares with the
/// stated targets.
#ifndef BENCH_BENCH_H_
#define BENCH_BENCH_H_

#include <optional>
#include <string>
#include <vector>

namespace fuchsiafall::bench {

/// Side on which a figure has to be of its bound.
enum class bound_side { kMost, kLeast };

/// Measured value, with the bound from the stated target if there is one.
struct figure {
  std::string name;
  double value = 0;
  std::string unit;
  std::optional<double> bound;
  bound_side side = bound_side::kMost;

  bool IsShort() const;
};

/// Figures of one bench, in order.
class report {
 public:
  void Add(const std::string& name, double value, const std::string& unit);
  void AddMost(const std::string& name,
               double value,
               const std::string& unit,
               double most);
  void AddLeast(const std::string& name,
                double value,
                const std::string& unit,
                double least);
  /// Prints one line for each figure, or JSON.
  void Print(bool json) const;
  bool IsShort() const;
  const std::vector<figure>& Figures() const { return figures_; }

 private:
  std::vector<figure> figures_;
};

/// Prints what a bench is doing, to standard error.
void Progress(const std::string& text);

/// Arguments after the bench's name.
using bench_arguments = std::vector<std::string>;
/// Reads the count that a bench may be given; ends the program with a line on
/// what is wrong with another argument.
/// @param otherwise The count where no argument is given.
size_t CountOf(const bench_arguments& arguments, size_t otherwise);

void RunQuickstart(const bench_arguments& arguments, report* result);
void RunRolloutBench(const bench_arguments& arguments, report* result);
void RunServiceBench(const bench_arguments& arguments, report* result);
void RunOnceBench(const bench_arguments& arguments, report* result);
void RunRouteBench(const bench_arguments& arguments, report* result);
void RunConfigBench(const bench_arguments& arguments, report* result);
void RunControlBench(const bench_arguments& arguments, report* result);
void RunRecoveryBench(const bench_arguments& arguments, report* result);

}  // namespace fuchsiafall::bench

#endif  // BENCH_BENCH_H_
