/// @file engine_client.cc HTTP client of the backend server.
#include "network/engine_client.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <sstream>

#include "hash_func.h"
#include "network/http_call.h"
#include "network/http_status.h"
#include "network/pool_work.h"

namespace fuchsiafall {

namespace {

constexpr char kStreamEnd[] =
    "data: [DONE]";  // Last event of a completions stream.
constexpr char kEventStream[] = "text/event-stream";

engine_report ParseReport(const std::string& body) {
  engine_report report;
  auto object =
      Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
  report.reachable = true;
  report.start_id = object->getValue<std::string>("start_id");
  const auto stage = object->optValue<std::string>("stage", "empty");
  report.stage = stage == "ready"     ? engine_report::load_stage::kReady
                 : stage == "loading" ? engine_report::load_stage::kLoading
                                      : engine_report::load_stage::kEmpty;
  report.version = object->optValue<std::string>("version", "");
  report.is_warm = object->optValue<bool>("warm", true);
  auto parts = object->getArray("parts");
  for (size_t i = 0; !parts.isNull() && i < parts->size(); ++i) {
    Poco::JSON::Object::Ptr part = parts->getObject(static_cast<unsigned>(i));
    report.digests.push_back(part->getValue<std::string>("digest"));
    if (i > 0)
      report.adapters.push_back(part->getValue<std::string>("name"));
  }
  return report;
}

/// Checks whether the last bytes of a stream contain its closing event, without
/// which the backend server is taken to have crashed.
bool EndsStream(const std::string& tail) {
  return tail.find(kStreamEnd) != std::string::npos;
}

reason ReasonOf(http_result::status_type status) {
  switch (status) {
    case http_result::status_type::kNotSent:
      return reason::kEngineUnreachable;
    case http_result::status_type::kIncomplete:
      return reason::kEngineCrashed;
    case http_result::status_type::kCancelled:
      return reason::kDeadline;
    default:
      return reason::kEngineFailed;
  }
}

}  // namespace

engine_client::engine_client(engine_client_options options, part_hook on_part)
    : options_(std::move(options)),
      on_part_(std::move(on_part)),
      pool_(std::make_unique<Poco::ThreadPool>(2, options_.max_threads)) {}

engine_client::~engine_client() {
  Stop();
}

engine_report engine_client::Report() const {
  http_result result = CallHttp({.address = options_.address,
                                 .path = "/admin/state",
                                 .timeout = options_.report_timeout,
                                 .max_duration = 2 * options_.report_timeout});
  if (result.status != http_result::status_type::kAnswered ||
      result.http_status != kHttpOk) {
    return {};
  }
  try {
    return ParseReport(result.body);
  } catch (const Poco::Exception&) {
    return {};  // A malformed report counts as unreachable.
  }
}

load_answer engine_client::Load(const order_load& order,
                                time_point issued_at) const {
  load_answer answer{.version = order.version};
  Poco::JSON::Object body;
  body.set("version", order.version);
  body.set("fence_revision", order.fence_revision.value);
  body.set("fence_incarnation", order.fence_incarnation.value);
  Poco::JSON::Array parts;
  for (const artifact_ref& part : order.parts) {
    Poco::JSON::Object item;
    std::string hex = ToHex(part.manifest.value);
    item.set("name", part.name);
    item.set("digest", hex);
    item.set("url", "http://" + options_.weights_address + "/weights/" + hex);
    parts.add(item);
  }
  body.set("parts", parts);
  std::ostringstream text;
  body.stringify(text);
  // Checked right before sending, since the process may have been paused after
  // the order was issued.
  if (std::chrono::steady_clock::now() - issued_at > options_.max_order_age) {
    answer.status = load_answer::status_type::kStale;
    return answer;
  }
  http_result result = CallHttp({.address = options_.address,
                                 .method = "POST",
                                 .path = "/admin/load",
                                 .body = text.str(),
                                 .timeout = options_.report_timeout,
                                 .max_duration = 2 * options_.report_timeout});
  if (result.status != http_result::status_type::kAnswered) {
    answer.status = load_answer::status_type::kUnreachable;
    answer.reason = "backend server did not answer the load order";
  } else if (result.http_status >= 300) {
    answer.status = load_answer::status_type::kRefused;
    answer.reason = result.body;
  }
  return answer;
}

void engine_client::Start(const start_call& call) {
  auto is_cancelled = std::make_shared<std::atomic<bool>>(false);
  const call_id id{call.entry, call.attempt};
  {
    std::lock_guard lock(mutex_);
    running_[id] = is_cancelled;
  }
  if (StartWork(pool_.get(),
                [this, call, is_cancelled] { RunCall(call, is_cancelled); }))
    return;
  RemoveCall(id);
  on_part_({.id = id, .last = true, .why = reason::kEngineUnreachable});
}

void engine_client::Cancel(const call_id& id) {
  std::lock_guard lock(mutex_);
  auto it = running_.find(id);
  if (it != running_.end())
    *it->second = true;
}

void engine_client::Stop() {
  {
    std::lock_guard lock(mutex_);
    for (const auto& [id, is_cancelled] : running_)
      *is_cancelled = true;
  }
  pool_->joinAll();
}

void engine_client::RunCall(
    const start_call& call,
    const std::shared_ptr<std::atomic<bool>>& is_cancelled) {
  const call_id id{call.entry, call.attempt};
  std::string tail;
  bool is_stream = false;
  auto on_data = [&](const http_result& head, const std::string& data) {
    is_stream = head.content_type.starts_with(kEventStream);
    if (head.http_status >= kHttpServerError)
      return !*is_cancelled;
    tail = (tail + data)
               .substr(tail.size() + data.size() > 64
                           ? tail.size() + data.size() - 64
                           : 0);
    on_part_({.id = id,
              .data = data,
              .http_status = head.http_status,
              .content_type = head.content_type});
    return !*is_cancelled;
  };
  // A sound server may be silent for as long as the caller waits.
  const milliseconds max_duration =
      milliseconds(call.request.deadline_ms()) + options_.call_timeout;
  http_call http{
      .address = options_.address,
      .method = call.request.method(),
      .path = call.request.path(),
      .body = call.request.body(),
      .timeout = max_duration,
      .max_duration = max_duration,
      .is_cancelled = [is_cancelled] { return is_cancelled->load(); }};
  http.headers["X-Deadline-Ms"] = std::to_string(call.request.deadline_ms());
  http.headers["X-Priority"] = std::to_string(call.request.priority());
  if (!call.request.idempotency_key().empty()) {
    http.headers["Idempotency-Key"] = call.request.idempotency_key();
  }
  http_result result = CallHttp(http, on_data);
  RemoveCall(id);
  engine_part last{.id = id,
                   .http_status = result.http_status,
                   .content_type = result.content_type,
                   .last = true};
  if (result.status != http_result::status_type::kAnswered) {
    last.why = ReasonOf(result.status);
  } else if (result.http_status >= kHttpServerError) {
    last.why = reason::kEngineFailed;
  } else if (is_stream && !EndsStream(tail)) {
    last.why = reason::kEngineCrashed;
  }
  on_part_(std::move(last));
}

void engine_client::RemoveCall(const call_id& id) {
  std::lock_guard lock(mutex_);
  running_.erase(id);
}

}  // namespace fuchsiafall
