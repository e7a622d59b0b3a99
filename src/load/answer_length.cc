/// @file answer_length.cc Expected length of answers.
#include "load/answer_length_base.h"

#include <algorithm>
#include <cmath>

namespace fuchsiafall {

namespace {

/// Range of the slope by which a longer estimate means a longer answer. Few
/// samples of similar estimates would give any slope.
constexpr double kMinSlope = 0;
constexpr double kMaxSlope = 1.2;
/// Variance of the logarithm of the estimates below which they tell nothing.
constexpr double kMinHintVariance = 0.01;

}  // namespace

void answer_length_history::Halve() {
  for (double& bucket : buckets_)
    bucket /= 2;
  count_ /= 2;
  tokens_ /= 2;
  hints_.count /= 2;
  hints_.hint /= 2;
  hints_.length /= 2;
  hints_.hint_squared /= 2;
  hints_.length_squared /= 2;
  hints_.product /= 2;
}

void answer_length_history::Record(uint32_t tokens,
                                   uint32_t hint,
                                   double max_samples) {
  if (tokens == 0)
    return;
  if (count_ >= max_samples)
    Halve();
  const double length = std::log2(static_cast<double>(tokens));
  const auto bucket = static_cast<size_t>(length * kBucketsPerDoubling);
  buckets_.at(std::min(bucket, kBuckets - 1)) += 1;
  count_ += 1;
  tokens_ += tokens;
  if (hint == 0)
    return;
  const double estimate = std::log2(static_cast<double>(hint));
  hints_.count += 1;
  hints_.hint += estimate;
  hints_.length += length;
  hints_.hint_squared += estimate * estimate;
  hints_.length_squared += length * length;
  hints_.product += estimate * length;
}

double answer_length_history::Quantile(double share) const {
  double below = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    below += buckets_.at(i);
    if (below >= share * count_)
      return std::exp2(static_cast<double>(i + 1) / kBucketsPerDoubling);
  }
  return std::exp2(static_cast<double>(kBuckets) / kBucketsPerDoubling);
}

std::optional<uint32_t> answer_length_history::Expect(
    uint32_t hint,
    double min_samples) const {
  if (count_ < min_samples)
    return std::nullopt;
  double expected = tokens_ / count_;
  if (hint > 0 && hints_.count >= min_samples) {
    // Linear regression between the logarithms. The mean exceeds the median by
    // half the variance of what the estimates leave open.
    const double n = hints_.count;
    const double mean_hint = hints_.hint / n;
    const double mean_length = hints_.length / n;
    const double hint_variance =
        std::max(0.0, hints_.hint_squared / n - mean_hint * mean_hint);
    const double length_variance =
        std::max(0.0, hints_.length_squared / n - mean_length * mean_length);
    const double covariance = hints_.product / n - mean_hint * mean_length;
    const double slope =
        hint_variance < kMinHintVariance
            ? 0
            : std::clamp(covariance / hint_variance, kMinSlope, kMaxSlope);
    const double rest = std::max(0.0, length_variance - 2 * slope * covariance +
                                          slope * slope * hint_variance);
    const double median =
        mean_length +
        slope * (std::log2(static_cast<double>(hint)) - mean_hint);
    expected = std::exp2(median + rest * std::log(2.0) / 2);
    // An estimate beyond all that were seen says no more than the largest.
    expected = std::min(expected, Quantile(1));
  }
  return static_cast<uint32_t>(std::max(1.0, std::round(expected)));
}

void answer_lengths::Record(const std::string& route,
                            const std::string& organisation,
                            uint32_t hint,
                            uint32_t tokens) {
  if (routes_.contains(route) || routes_.size() < options_.max_routes)
    routes_[route].Record(tokens, hint, options_.max_samples);
  const std::pair key(route, organisation);
  if (pairs_.contains(key) || pairs_.size() < options_.max_pairs)
    pairs_[key].Record(tokens, hint, options_.max_samples);
}

uint32_t answer_lengths::Expect(const std::string& route,
                                const std::string& organisation,
                                uint32_t hint,
                                uint32_t limit) const {
  std::optional<uint32_t> expected;
  if (auto it = pairs_.find({route, organisation}); it != pairs_.end())
    expected = it->second.Expect(hint, options_.min_samples);
  auto it = routes_.find(route);
  if (!expected && it != routes_.end())
    expected = it->second.Expect(hint, options_.min_samples);
  if (!expected)
    return hint;
  return limit > 0 ? std::min(*expected, limit) : *expected;
}

}  // namespace fuchsiafall
