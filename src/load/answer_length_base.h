/// @file answer_length_base.h Expected length of answers, from the lengths of
/// earlier ones and from how well their callers estimated them.
#ifndef LOAD_ANSWER_LENGTH_BASE_H_
#define LOAD_ANSWER_LENGTH_BASE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace fuchsiafall {

struct answer_length_options {
  /// Pairs of route and organisation that are kept apart. Others use the
  /// lengths of their route.
  size_t max_pairs = 128;
  size_t max_routes = 64;
  double min_samples = 32;  ///< Below this number, a history is not used.
  /// All samples count half when there are this many, so that the history
  /// follows changes.
  double max_samples = 1024;
};

/// Real lengths of the answers of one route or organisation.
class answer_length_history {
 public:
  /// @param hint Caller's estimate; 0 if none.
  void Record(uint32_t tokens, uint32_t hint, double max_samples);
  /// Returns the mean length of answers with a hint.
  /// @param hint 0 for any.
  /// @return nullopt if there are too few samples.
  std::optional<uint32_t> Expect(uint32_t hint, double min_samples) const;
  /// Finds the length that a share of the answers does not exceed.
  double Quantile(double share) const;

 private:
  /// Four buckets double the length; the last one holds all longer answers.
  static constexpr int kBucketsPerDoubling = 4;
  static constexpr size_t kBuckets = 64;

  /// Sums over the answers with a hint, of the logarithms of hint and length.
  struct hint_sums {
    double count = 0;
    double hint = 0;
    double length = 0;
    double hint_squared = 0;
    double length_squared = 0;
    double product = 0;
  };

  void Halve();

  std::array<double, kBuckets> buckets_{};
  double count_ = 0;
  double tokens_ = 0;
  hint_sums hints_;
};

/// Load pattern: answers of heavy-tailed length, whose callers' estimates are
/// right only at the median. The mean, which decides how long a server is in
/// use, is a multiple of that.
class answer_lengths {
 public:
  explicit answer_lengths(answer_length_options options) : options_(options) {}

  /// Records the length of a complete answer.
  void Record(const std::string& route,
              const std::string& organisation,
              uint32_t hint,
              uint32_t tokens);
  /// Returns the expected length of an answer.
  /// @param hint Caller's estimate; 0 if none.
  /// @param limit Longest answer that the caller takes; 0 if none.
  /// @return The hint if too few answers are known.
  uint32_t Expect(const std::string& route,
                  const std::string& organisation,
                  uint32_t hint,
                  uint32_t limit) const;

 private:
  answer_length_options options_;
  std::map<std::string, answer_length_history> routes_;
  std::map<std::pair<std::string, std::string>, answer_length_history> pairs_;
};

}  // namespace fuchsiafall

#endif  // LOAD_ANSWER_LENGTH_BASE_H_
