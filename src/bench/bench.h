/// @file bench.h Benches, which measure real processes and compare the figures
/// with the stated targets.
#ifndef BENCH_BENCH_H_
#define BENCH_BENCH_H_

#include <optional>
#include <string>
#include <vector>

namespace fuchsiafall::bench {

/// Whether a bound is the highest or the lowest value allowed.
enum class bound_side { kMax, kMin };

/// Measured value, with the bound of the stated target if there is one.
struct figure {
  std::string name;
  double value = 0;
  std::string unit;
  std::optional<double> bound;
  bound_side side = bound_side::kMax;

  /// Returns whether the value misses its bound.
  bool MissesBound() const;
};

/// Figures of one bench, in order.
class report {
 public:
  /// Adds a figure without a bound.
  void Add(const std::string& name, double value, const std::string& unit);
  void AddWithMax(const std::string& name,
                  double value,
                  const std::string& unit,
                  double max_value);
  void AddWithMin(const std::string& name,
                  double value,
                  const std::string& unit,
                  double min_value);
  /// Prints one line for each figure, or JSON.
  void Print(bool json) const;
  /// Returns whether any figure misses its bound.
  bool MissesBound() const;
  const std::vector<figure>& Figures() const { return figures_; }

 private:
  std::vector<figure> figures_;
};

/// Prints the current phase of a bench to standard error.
void PrintProgress(const std::string& text);

/// Command line arguments after the bench's name.
using bench_arguments = std::vector<std::string>;
/// Reads the count that a bench takes as an optional argument; exits with an
/// error message if the argument is not a positive number.
/// @param default_count Count to use without an argument.
size_t CountOf(const bench_arguments& arguments, size_t default_count);

void RunQuickstart(const bench_arguments& arguments, report* result);
void RunRolloutBench(const bench_arguments& arguments, report* result);
void RunServiceBench(const bench_arguments& arguments, report* result);
void RunOnceBench(const bench_arguments& arguments, report* result);
void RunRouteBench(const bench_arguments& arguments, report* result);
void RunConfigBench(const bench_arguments& arguments, report* result);
void RunControlBench(const bench_arguments& arguments, report* result);
void RunRecoveryBench(const bench_arguments& arguments, report* result);
void RunPlaceBench(const bench_arguments& arguments, report* result);

}  // namespace fuchsiafall::bench

#endif  // BENCH_BENCH_H_
