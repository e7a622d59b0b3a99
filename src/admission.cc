/// @file admission.cc Concurrency limit and weighted fair queues of one backend
/// server.
#include "admission_base.h"

#include <algorithm>

namespace fuchsiafall {

namespace {

/// Weights of a new sample in the moving averages of the latency.
constexpr double kBaselineSampleWeight = 0.02;
constexpr double kRecentSampleWeight = 0.3;
/// Ratio of recent to baseline latency that counts as a jump.
constexpr double kLatencyJumpRatio = 3.0;
/// Recent latency, in seconds, below which no jump is reported.
constexpr double kMinJumpLatencyS = 0.05;
/// Samples needed before a jump is reported.
constexpr uint32_t kMinJumpSamples = 20;
/// Minimum interval between two reductions, so that one jump lowers the limit
/// once.
constexpr seconds kMinLimitDropInterval{1};

}  // namespace

void admission::SetLimits(uint32_t cold_limit, uint32_t max_limit) {
  options_.cold_limit = cold_limit;
  options_.max_limit = max_limit;
  limit_ = std::clamp<double>(limit_, cold_limit, max_limit);
}

admission_result admission::Admit(const admission_request& request) {
  admission_result result;
  if (options_.admits_all || (in_flight_ < Limit() && queued_ == 0)) {
    Start(request.organisation, request.weight);
    result.kind = admission_result::kind_type::kStarted;
    return result;
  }
  if (options_.queue_length == 0 || !request.may_queue)
    return result;
  if (queued_ >= options_.queue_length) {
    result.evicted = EvictFor(request.organisation);
    if (!result.evicted)
      return result;
  }
  organisation_queue& queue = queues_[request.organisation];
  // A queue that was empty starts at the minimum of the others, so that an idle
  // organisation accumulates no credit.
  if (queue.calls.empty())
    queue.virtual_time = std::max(queue.virtual_time, MinVirtualTime());
  auto position = std::upper_bound(
      queue.calls.begin(), queue.calls.end(), request,
      [](const auto& a, const auto& b) { return a.priority < b.priority; });
  queue.calls.insert(position, request);
  ++queued_;
  result.kind = admission_result::kind_type::kQueued;
  return result;
}

bool admission::OnFinished(time_point now,
                           std::optional<duration> answer_latency) {
  if (in_flight_ > 0)
    --in_flight_;
  if (!answer_latency)
    return false;
  const double latency = ToSeconds(*answer_latency);
  if (samples_++ == 0)
    baseline_latency_s_ = recent_latency_s_ = latency;
  baseline_latency_s_ +=
      kBaselineSampleWeight * (latency - baseline_latency_s_);
  recent_latency_s_ += kRecentSampleWeight * (latency - recent_latency_s_);
  bool has_jumped = samples_ >= kMinJumpSamples &&
                    recent_latency_s_ > kMinJumpLatencyS &&
                    recent_latency_s_ > kLatencyJumpRatio * baseline_latency_s_;
  if (has_jumped && now - limit_dropped_at_ > kMinLimitDropInterval &&
      limit_ > options_.cold_limit) {
    limit_dropped_at_ = now;
    ResetToColdLimit();
    return true;
  }
  if (!may_grow_)
    return false;
  // Additive increase: one more slot after as many successes as there are
  // slots.
  limit_ = std::min<double>(limit_ + 1.0 / limit_, options_.max_limit);
  return false;
}

void admission::ResetToColdLimit() {
  limit_ = options_.cold_limit;
  samples_ = 0;
}

std::vector<call_id> admission::DequeueReady() {
  std::vector<call_id> ready;
  while (in_flight_ < Limit() && queued_ > 0) {
    organisation_queue* queue = NextQueue();
    admission_request request = queue->calls.front();
    queue->calls.pop_front();
    --queued_;
    Start(request.organisation, request.weight);
    ready.push_back(request.id);
  }
  return ready;
}

std::vector<call_id> admission::RemoveExpired(time_point now) {
  std::vector<call_id> expired;
  for (auto& [organisation, queue] : queues_) {
    std::erase_if(queue.calls, [&](const admission_request& request) {
      if (now < request.deadline)
        return false;
      expired.push_back(request.id);
      return true;
    });
  }
  queued_ -= expired.size();
  return expired;
}

bool admission::Remove(const call_id& id) {
  for (auto& [organisation, queue] : queues_) {
    size_t removed = std::erase_if(
        queue.calls, [&](const auto& request) { return request.id == id; });
    queued_ -= removed;
    if (removed > 0)
      return true;
  }
  return false;
}

std::vector<call_id> admission::RemoveAll() {
  return RemoveExpired(time_point::max());
}

void admission::Start(const std::string& organisation, uint32_t weight) {
  ++in_flight_;
  organisation_queue& queue = queues_[organisation];
  if (queue.calls.empty())
    queue.virtual_time = std::max(queue.virtual_time, MinVirtualTime());
  queue.virtual_time += 1.0 / std::max(1U, weight);
}

std::optional<call_id> admission::EvictFor(const std::string& organisation) {
  auto longest =
      std::max_element(queues_.begin(), queues_.end(), [](auto& a, auto& b) {
        return a.second.calls.size() < b.second.calls.size();
      });
  size_t own =
      queues_.contains(organisation) ? queues_[organisation].calls.size() : 0;
  if (longest == queues_.end() || longest->second.calls.size() <= own + 1)
    return std::nullopt;
  call_id evicted = longest->second.calls.back().id;
  longest->second.calls.pop_back();
  --queued_;
  return evicted;
}

admission::organisation_queue* admission::NextQueue() {
  organisation_queue* next = nullptr;
  for (auto& [organisation, queue] : queues_) {
    if (queue.calls.empty())
      continue;
    if (next == nullptr) {
      next = &queue;
      continue;
    }
    const uint32_t priority = queue.calls.front().priority;
    const uint32_t best = next->calls.front().priority;
    if (priority < best ||
        (priority == best && queue.virtual_time < next->virtual_time))
      next = &queue;
  }
  return next;
}

double admission::MinVirtualTime() const {
  double minimum = -1;
  for (const auto& [organisation, queue] : queues_) {
    if (!queue.calls.empty() && (minimum < 0 || queue.virtual_time < minimum))
      minimum = queue.virtual_time;
  }
  return std::max(0.0, minimum);
}

}  // namespace fuchsiafall
