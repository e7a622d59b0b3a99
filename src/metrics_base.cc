/// @file metrics_base.cc Counters, and histograms by Boost.Histogram.
#include "metrics_base.h"

#include <boost/histogram.hpp>
#include <sstream>

namespace fuchsiafall {

namespace bh = boost::histogram;

namespace {

constexpr unsigned kBins = 120;
constexpr double kMinMs = 0.01;
constexpr double kMaxMs = 600000;

auto MakeHistogram() {
  return bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(
      kBins, kMinMs, kMaxMs));
}

using histogram = decltype(MakeHistogram());

/// Computes a quantile, as the upper edge of its bin in ms.
double Quantile(const histogram& h, double share) {
  double total = 0;
  for (auto&& cell : bh::indexed(h, bh::coverage::all))
    total += *cell;
  double below = 0;
  for (auto&& cell : bh::indexed(h, bh::coverage::all)) {
    below += *cell;
    if (below >= share * total)
      return cell.bin().upper();
  }
  return kMaxMs;
}

}  // namespace

struct metrics::histograms {
  std::map<std::string, histogram> by_name;
};

metrics::metrics() : histograms_(std::make_unique<histograms>()) {}
metrics::~metrics() = default;

void metrics::Count(const std::string& name, uint64_t amount) {
  std::lock_guard lock(mutex_);
  counters_[name] += amount;
}

void metrics::SetGauge(const std::string& name, int64_t value) {
  std::lock_guard lock(mutex_);
  gauges_[name] = value;
}

void metrics::CountRefusal(reason why) {
  std::lock_guard lock(mutex_);
  ++refusals_[static_cast<size_t>(why)];
}

void metrics::CountRetry(reason why) {
  std::lock_guard lock(mutex_);
  ++retries_[static_cast<size_t>(why)];
}

void metrics::RecordDuration(const std::string& name, duration span) {
  std::lock_guard lock(mutex_);
  auto [it, is_new] = histograms_->by_name.try_emplace(name, MakeHistogram());
  it->second(std::chrono::duration<double, std::milli>(span).count());
}

uint64_t metrics::Counter(const std::string& name) const {
  std::lock_guard lock(mutex_);
  auto it = counters_.find(name);
  return it == counters_.end() ? 0 : it->second;
}

std::string metrics::Describe() const {
  std::lock_guard lock(mutex_);
  std::ostringstream text;
  for (const auto& [name, value] : counters_)
    text << name << ' ' << value << '\n';
  for (const auto& [name, value] : gauges_)
    text << name << ' ' << value << '\n';
  for (size_t i = 1; i < kReasonCount; ++i) {
    text << "refused_" << kReasonTable[i].code << ' ' << refusals_[i] << '\n';
    text << "retried_" << kReasonTable[i].code << ' ' << retries_[i] << '\n';
  }
  for (const auto& [name, h] : histograms_->by_name) {
    text << name << "_p50_ms " << Quantile(h, 0.5) << '\n';
    text << name << "_p95_ms " << Quantile(h, 0.95) << '\n';
    text << name << "_p99_ms " << Quantile(h, 0.99) << '\n';
  }
  return text.str();
}

}  // namespace fuchsiafall
