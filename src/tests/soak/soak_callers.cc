/// @file soak_callers.cc Callers of the soak test.
#include "tests/soak/soak_callers.h"

#include <iostream>
#include <sstream>
#include <utility>

namespace fuchsiafall::soak {

namespace {

constexpr milliseconds kStreamDeadline{6000};
constexpr milliseconds kPlainDeadline{1000};
/// Time after its deadline at which a caller aborts.
constexpr milliseconds kAbortMargin{700};
/// Time to a close after which an entry must have read the request.
constexpr milliseconds kLossSlack{200};
/// Time in which each entry has applied an acknowledged configuration.
constexpr milliseconds kConfigurationDelay{2000};
/// Shortest timeouts of the routes, less what an entry keeps for the way.
constexpr milliseconds kShortestStreamTime{4900};
constexpr milliseconds kShortestPlainTime{750};
/// Calls sent so soon after SIGTERM may be cut from kCutsExcusedFrom on.
constexpr seconds kSentBeforeStop{3};
constexpr milliseconds kCutsExcusedFrom{6660};
constexpr milliseconds kLagInterval{20};

/// Returns the number of events that a body contains in full.
uint32_t CountEvents(const std::string& body) {
  uint32_t count = 0;
  for (size_t at = body.find("\n\n"); at != body.npos;
       at = body.find("\n\n", at + 2))
    ++count;
  return count;
}

/// Returns whether a status promises the caller that its request did not run.
bool PromisesNotRun(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

}  // namespace

soak_callers::soak_callers(event_loop* loop,
                           run_record* record,
                           std::vector<entry_endpoint>* entries,
                           caller_options options)
    : loop_(loop),
      record_(record),
      entries_(entries),
      options_(options),
      random_(options.seed),
      resume_random_(options.seed),
      connections_(loop, options.seed) {}

void soak_callers::Begin(time_point now) {
  MeasureLag(now, now);
  Send(now);
}

void soak_callers::AddIdleTimeout(time_point now, milliseconds idle_timeout) {
  idle_timeouts_.emplace_back(now, idle_timeout);
}

milliseconds soak_callers::MaxIdle(time_point now) {
  while (idle_timeouts_.size() > 1 &&
         now - idle_timeouts_[1].first > kConfigurationDelay) {
    idle_timeouts_.erase(idle_timeouts_.begin());
  }
  milliseconds least = milliseconds::max();
  for (const auto& [at, idle_timeout] : idle_timeouts_)
    least = std::min(least, idle_timeout);
  return least / 5 * 4;
}

void soak_callers::MeasureLag(time_point now, time_point due) {
  if (now - lag_since_ > seconds(1)) {
    lag_since_ = now;
    previous_lag_ = std::exchange(current_lag_, duration(0));
  }
  current_lag_ = std::max(current_lag_, BootNow() - due);
  longest_lag_ = std::max(longest_lag_, current_lag_);
  const time_point next = now + kLagInterval;
  loop_->StartTimer(next,
                    [this, next](time_point at) { MeasureLag(at, next); });
}

void soak_callers::Send(time_point now) {
  if (is_stopping_)
    return;
  const auto gap = std::exponential_distribution<double>(options_.rate *
                                                         rate_factor)(random_);
  loop_->StartTimer(now + std::chrono::duration_cast<duration>(
                              std::chrono::duration<double>(gap)),
                    [this](time_point at) { Send(at); });

  auto item = std::make_shared<call>();
  item->id =
      "q" + std::to_string(options_.seed) + "-" + std::to_string(next_++);
  item->entry = random_() % entries_->size();
  const auto draw = random_() % 100;
  item->type = draw < 55   ? kind::kStream
               : draw < 75 ? kind::kNonIdempotent
               : draw < 90 ? kind::kIdempotent
                           : kind::kProbe;
  switch (item->type) {
    case kind::kStream:
      item->target = "/s/" + item->id;
      break;
    case kind::kNonIdempotent:
      item->target = "/book/" + item->id;
      break;
    case kind::kIdempotent:
      item->target = "/read/" + item->id;
      break;
    case kind::kProbe:
      item->probe = 1 + random_() % std::max<uint64_t>(1, probe_routes);
      item->target = "/v" + std::to_string(item->probe) + "/x";
      break;
  }
  item->key = keys[random_() % keys.size()];
  item->is_in_window = is_window_open;
  if (item->is_in_window)
    ++window.sent;
  Start(now, item);
}

void soak_callers::Start(time_point now, const std::shared_ptr<call>& item) {
  const entry_endpoint& entry = (*entries_)[item->entry];
  item->start_count = entry.start_count;
  record_->requests[item->id] = {
      .sent_at = now,
      .key = item->key,
      .may_repeat = item->type != kind::kNonIdempotent};
  ++record_->counts["sent"];
  auto taken = connections_.Take(now, entry.address, MaxIdle(now));
  if (!taken) {
    ++record_->counts["not connected"];
    return;
  }
  const bool is_stream = item->type == kind::kStream;
  item->sent_at = now;
  item->deadline = is_stream ? kStreamDeadline : kPlainDeadline;
  item->idle = taken->idle;
  item->is_first = taken->is_new;
  ++record_->counts[item->is_first ? "new connections" : "connections reused"];
  ++open_;
  if (item->is_in_window)
    ++window.open;
  std::string host = item->type == kind::kProbe ? "probe" : "desk";
  std::string extra_headers;
  if (is_stream) {
    host = "models";
    extra_headers = "Model: " + std::string(kModel) +
                    "\r\nToken-Counts: 900,300\r\nLength-Hint: 100\r\n";
    if (item->last_event > 0)
      extra_headers +=
          "Last-Event-Id: " + std::to_string(item->last_event) + "\r\n";
  }
  const bool has_body = item->type != kind::kIdempotent;
  const std::string request =
      std::string(has_body ? "POST " : "GET ") + item->target +
      " HTTP/1.1\r\nHost: " + host + ".example\r\nRequest-Id: " + item->id +
      "\r\nDeadline-Ms: " + std::to_string(item->deadline.count()) + "\r\n" +
      extra_headers + "Authorization: Bearer " + item->key +
      (has_body ? "\r\nContent-Length: 4\r\n\r\nbody" : "\r\n\r\n");
  exchange_hooks hooks;
  auto connection = taken->connection;
  const timer_id abort_timer =
      loop_->StartTimer(now + item->deadline + kAbortMargin,
                        [this, connection, item](time_point) {
                          ++record_->counts["gave up"];
                          EndCall(*item);
                          connection->Abort();
                        });
  hooks.on_head = [item](time_point, const Poco::Net::HTTPResponse& head) {
    item->head = head;
    return true;
  };
  hooks.on_body = [item](time_point, std::string_view bytes) {
    item->body += bytes;
  };
  hooks.on_end = [this, item, abort_timer](time_point at, exchange_end end) {
    loop_->CancelTimer(abort_timer);
    EndCall(*item);
    if (IsBroken(end))
      CheckCut(at, *item);
    CheckAnswer(*item, end);
    if (IsBroken(end) && item->type == kind::kStream)
      Resume(at, *item);
  };
  connection->Start(request, false, std::move(hooks));
}

void soak_callers::Resume(time_point now, const call& broken) {
  if (is_stopping_ || broken.head.getStatus() != 200)
    return;
  auto item = std::make_shared<call>();
  item->id =
      "q" + std::to_string(options_.seed) + "-" + std::to_string(next_++);
  item->target = broken.target;
  item->key = broken.key;
  item->entry = resume_random_() % entries_->size();
  item->last_event = broken.last_event + CountEvents(broken.body);
  ++record_->counts["streams resumed"];
  Start(now, item);
}

void soak_callers::EndCall(const call& item) {
  --open_;
  if (item.is_in_window)
    --window.open;
}

void soak_callers::CheckAnswer(const call& item, exchange_end end) {
  if (end != exchange_end::kComplete) {
    ++record_->counts[end == exchange_end::kNotConnected ||
                              end == exchange_end::kRefused
                          ? "not connected"
                          : "broken off"];
    if (end == exchange_end::kMalformed)
      record_->AddViolation("malformed", item.id);
    return;
  }
  const int status = item.head.getStatus();
  ++record_->counts["status " + std::to_string(status)];
  entry_endpoint& entry = (*entries_)[item.entry];
  const bool is_same_process = entry.start_count == item.start_count;
  if (item.type == kind::kProbe && is_same_process) {
    if (status == 200)
      entry.newest_probe_route = std::max(entry.newest_probe_route, item.probe);
    if (status == 404 && item.probe <= entry.newest_probe_route)
      record_->AddViolation("configuration went back", item.id);
  }
  if (PromisesNotRun(status)) {
    run_record::request& request = record_->requests[item.id];
    request.was_refused = true;
    if (request.runs > 0)
      record_->AddViolation("run and refused", item.id);
  }
  if (status != 200)
    return;
  if (item.is_in_window)
    ++window.answered;
  if (item.head.get("Response-Seal", "").empty() ||
      item.head.get("Request-Id", "") != item.id) {
    return record_->AddViolation("another's answer", item.id);
  }
  if (item.type == kind::kStream)
    return CheckStream(item);
  if (item.body != item.id + " done")
    record_->AddViolation("body", item.id + " got " + item.body);
}

void soak_callers::CheckCut(time_point now, const call& item) {
  const entry_endpoint& entry = (*entries_)[item.entry];
  const bool was_passed_on = record_->requests[item.id].was_passed_on;
  const auto after =
      std::chrono::duration_cast<milliseconds>(now - item.sent_at);
  const bool is_stopping = entry.stopping_since != time_point{};
  const bool is_stream = item.type == kind::kStream;
  std::ostringstream text;
  text << item.id << " at entry-" << item.entry << " after " << after.count()
       << " ms, idle " << item.idle.count() << " ms before"
       << (item.is_first ? ", first of its connection" : "")
       << (was_passed_on ? ", passed on, " : ", ") << item.body.size()
       << " bytes of its answer";
  if (is_stopping)
    text << ", SIGTERM " << ToMs(now - entry.stopping_since) << " ms before";
  std::clog << ToMs(now.time_since_epoch()) << " cut " << text.str() << "\n";

  if (item.sent_at < record_->calm_since) {
    ++record_->counts["cut beside faults"];
  } else if (!was_passed_on &&
             after < kLossSlack + std::max(previous_lag_, current_lag_)) {
    ++record_->counts["cut as its connection closed"];
  } else if (after >= (is_stream ? kShortestStreamTime : kShortestPlainTime)) {
    ++record_->counts["cut at its time limit"];
  } else if (is_stopping && was_passed_on &&
             item.sent_at - entry.stopping_since <= kSentBeforeStop &&
             now - entry.stopping_since >= kCutsExcusedFrom) {
    ++record_->counts["cut at the end of the grace"];
  } else {
    record_->AddViolation("cut, no answer", text.str());
  }
}

void soak_callers::CheckStream(const call& item) {
  std::istringstream lines(item.body);
  std::string line;
  uint32_t event = item.last_event;
  std::string version;
  while (std::getline(lines, line)) {
    if (line.starts_with("id: ")) {
      if (std::stoul(line.substr(4)) != ++event)
        return record_->AddViolation("order", item.id + " at " + line);
      continue;
    }
    if (line.empty())
      continue;
    if (!line.starts_with("data: "))
      return record_->AddViolation("bytes of no event", item.id);
    std::istringstream fields(line.substr(6));
    std::string id;
    std::string from;
    fields >> id >> from;
    if (id != item.id)
      return record_->AddViolation("another's event", item.id);
    if (!version.empty() && version != from)
      return record_->AddViolation("two versions", item.id);
    version = from;
  }
  if (event != EventCountOf(item.target))
    return record_->AddViolation("cut stream looks whole", item.id);
  if (item.last_event > 0)
    ++record_->counts["resumed streams complete"];
  if (item.last_event == event)
    ++record_->counts["streams ended after their last event"];
}

}  // namespace fuchsiafall::soak
