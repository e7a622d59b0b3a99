/// @file soak_callers.cc Callers of the soak.
#include "tests/soak/soak_callers.h"

#include <sstream>

namespace fuchsiafall::soak {

namespace {

constexpr milliseconds kStreamTime{6000};
constexpr milliseconds kPlainTime{1000};
/// Beyond its time limit a caller breaks off.
constexpr milliseconds kPatience{700};

bool IsPromise(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

}  // namespace

soak_callers::soak_callers(event_loop* loop,
                           run_book* book,
                           std::vector<entry_place>* entries,
                           caller_options options)
    : loop_(loop),
      book_(book),
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
  const entry_place& entry = (*entries_)[item->entry];
  item->life = entry.life;
  const auto draw = random_() % 100;
  item->what = draw < 55   ? kind::kStream
               : draw < 75 ? kind::kBooking
               : draw < 90 ? kind::kReading
                           : kind::kProbe;
  std::string host = "desk.example";
  std::string more;
  milliseconds left = kPlainTime;
  switch (item->what) {
    case kind::kStream:
      host = "models.example";
      item->target = "/s/" + item->id;
      more = "Model: " + std::string(kModel) +
             "\r\nToken-Counts: 900,300\r\nLength-Hint: 100\r\n";
      left = kStreamTime;
      break;
    case kind::kBooking:
      item->target = "/book/" + item->id;
      break;
    case kind::kReading:
      item->target = "/read/" + item->id;
      break;
    case kind::kProbe:
      host = "probe.example";
      item->probe = 1 + random_() % std::max<uint64_t>(1, probe_routes);
      item->target = "/v" + std::to_string(item->probe) + "/x";
      break;
  }
  const std::string key = keys[random_() % keys.size()];
  book_->requests[item->id] = {
      .sent_at = now, .key = key, .may_repeat = item->what != kind::kBooking};
  ++book_->counts["sent"];
  auto taken = pool_.Acquire(now, entry.address);
  if (!taken) {
    ++book_->counts["not connected"];
    return;
  }
  ++open_;
  const bool has_body = item->what != kind::kReading;
  const std::string request =
      std::string(has_body ? "POST " : "GET ") + item->target +
      " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + item->id +
      "\r\nDeadline-Ms: " + std::to_string(left.count()) + "\r\n" + more +
      "Authorization: Bearer " + key +
      (has_body ? "\r\nContent-Length: 4\r\n\r\nbody" : "\r\n\r\n");
  exchange_hooks hooks;
  auto connection = *taken;
  const timer_id limit = loop_->StartTimer(
      now + left + kPatience, [this, connection, item](time_point) {
        ++book_->counts["gave up"];
        --open_;
        connection->Abort();
      });
  hooks.on_head = [item](time_point, const Poco::Net::HTTPResponse& head) {
    item->head = head;
    return true;
  };
  hooks.on_body = [item](time_point, std::string_view bytes) {
    item->body += bytes;
  };
  hooks.on_end = [this, item, limit](time_point, exchange_end end) {
    loop_->CancelTimer(limit);
    --open_;
    Judge(*item, end);
  };
  connection->Start(request, false, std::move(hooks));
}

void soak_callers::Judge(const call& item, exchange_end end) {
  if (end != exchange_end::kComplete) {
    ++book_->counts[end == exchange_end::kNotConnected ? "not connected"
                                                       : "broken off"];
    if (end == exchange_end::kMalformed)
      book_->Break("malformed", item.id);
    return;
  }
  const int status = item.head.getStatus();
  ++book_->counts["status " + std::to_string(status)];
  entry_place& entry = (*entries_)[item.entry];
  const bool is_same_life = entry.life == item.life;
  if (item.what == kind::kProbe && is_same_life) {
    if (status == 200)
      entry.newest_route = std::max(entry.newest_route, item.probe);
    if (status == 404 && item.probe <= entry.newest_route)
      book_->Break("configuration went back", item.id);
  }
  if (IsPromise(status)) {
    run_book::request& request = book_->requests[item.id];
    request.was_refused = true;
    if (request.runs > 0)
      book_->Break("run and refused", item.id);
  }
  if (status != 200)
    return;
  if (item.head.get("Response-Seal", "").empty() ||
      item.head.get("Request-Id", "") != item.id) {
    return book_->Break("another's answer", item.id);
  }
  if (item.what == kind::kStream)
    return JudgeStream(item);
  if (item.body != item.id + " done")
    book_->Break("body", item.id + " got " + item.body);
}

void soak_callers::JudgeStream(const call& item) {
  std::istringstream lines(item.body);
  std::string line;
  uint32_t event = 0;
  std::string version;
  while (std::getline(lines, line)) {
    if (line.starts_with("id: ")) {
      if (std::stoul(line.substr(4)) != ++event)
        return book_->Break("order", item.id + " at " + line);
      continue;
    }
    if (!line.starts_with("data: "))
      continue;
    std::istringstream fields(line.substr(6));
    std::string id;
    std::string from;
    fields >> id >> from;
    if (id != item.id)
      return book_->Break("another's event", item.id);
    if (!version.empty() && version != from)
      return book_->Break("two versions", item.id);
    version = from;
  }
  if (event != EventsOf(item.target))
    book_->Break("cut stream looks whole", item.id);
}

}  // namespace fuchsiafall::soak
