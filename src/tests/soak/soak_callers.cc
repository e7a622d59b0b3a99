/// @file soak_callers.cc Callers of the soak test.
#include "tests/soak/soak_callers.h"

#include <sstream>

namespace fuchsiafall::soak {

namespace {

constexpr milliseconds kStreamDeadline{6000};
constexpr milliseconds kPlainDeadline{1000};
/// Time after its deadline at which a caller aborts.
constexpr milliseconds kAbortMargin{700};

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
      pool_(loop, {}) {}

void soak_callers::Start(time_point now) {
  Send(now);
}

void soak_callers::Send(time_point now) {
  if (is_stopping_)
    return;
  const auto gap =
      std::exponential_distribution<double>(options_.rate)(random_);
  loop_->StartTimer(now + std::chrono::duration_cast<duration>(
                              std::chrono::duration<double>(gap)),
                    [this](time_point at) { Send(at); });
  pool_.CloseIdle(now);

  auto item = std::make_shared<call>();
  item->id =
      "q" + std::to_string(options_.seed) + "-" + std::to_string(next_++);
  item->entry = random_() % entries_->size();
  const entry_endpoint& entry = (*entries_)[item->entry];
  item->start_count = entry.start_count;
  const auto draw = random_() % 100;
  item->type = draw < 55   ? kind::kStream
               : draw < 75 ? kind::kNonIdempotent
               : draw < 90 ? kind::kIdempotent
                           : kind::kProbe;
  std::string host = "desk.example";
  std::string extra_headers;
  milliseconds deadline = kPlainDeadline;
  switch (item->type) {
    case kind::kStream:
      host = "models.example";
      item->target = "/s/" + item->id;
      extra_headers = "Model: " + std::string(kModel) +
                      "\r\nToken-Counts: 900,300\r\nLength-Hint: 100\r\n";
      deadline = kStreamDeadline;
      break;
    case kind::kNonIdempotent:
      item->target = "/book/" + item->id;
      break;
    case kind::kIdempotent:
      item->target = "/read/" + item->id;
      break;
    case kind::kProbe:
      host = "probe.example";
      item->probe = 1 + random_() % std::max<uint64_t>(1, probe_routes);
      item->target = "/v" + std::to_string(item->probe) + "/x";
      break;
  }
  const std::string key = keys[random_() % keys.size()];
  record_->requests[item->id] = {
      .sent_at = now,
      .key = key,
      .may_repeat = item->type != kind::kNonIdempotent};
  ++record_->counts["sent"];
  item->is_in_window = is_window_open;
  if (item->is_in_window)
    ++window.sent;
  auto acquired = pool_.Acquire(now, entry.address);
  if (!acquired) {
    ++record_->counts["not connected"];
    return;
  }
  ++open_;
  if (item->is_in_window)
    ++window.open;
  const bool has_body = item->type != kind::kIdempotent;
  const std::string request =
      std::string(has_body ? "POST " : "GET ") + item->target +
      " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + item->id +
      "\r\nDeadline-Ms: " + std::to_string(deadline.count()) + "\r\n" +
      extra_headers + "Authorization: Bearer " + key +
      (has_body ? "\r\nContent-Length: 4\r\n\r\nbody" : "\r\n\r\n");
  exchange_hooks hooks;
  auto connection = *acquired;
  const timer_id abort_timer = loop_->StartTimer(
      now + deadline + kAbortMargin, [this, connection, item](time_point) {
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
  hooks.on_end = [this, item, abort_timer](time_point, exchange_end end) {
    loop_->CancelTimer(abort_timer);
    EndCall(*item);
    CheckAnswer(*item, end);
  };
  connection->Start(request, false, std::move(hooks));
}

void soak_callers::EndCall(const call& item) {
  --open_;
  if (item.is_in_window)
    --window.open;
}

void soak_callers::CheckAnswer(const call& item, exchange_end end) {
  if (end != exchange_end::kComplete) {
    ++record_->counts[end == exchange_end::kNotConnected ? "not connected"
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

void soak_callers::CheckStream(const call& item) {
  std::istringstream lines(item.body);
  std::string line;
  uint32_t event = 0;
  std::string version;
  while (std::getline(lines, line)) {
    if (line.starts_with("id: ")) {
      if (std::stoul(line.substr(4)) != ++event)
        return record_->AddViolation("order", item.id + " at " + line);
      continue;
    }
    if (!line.starts_with("data: "))
      continue;
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
    record_->AddViolation("cut stream looks whole", item.id);
}

}  // namespace fuchsiafall::soak
