/// @file load.cc Open-loop load generator.
#include "harness/load.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <sstream>

#include "hash_func.h"
#include "network/http_call.h"
#include "network/http_status.h"

namespace fuchsiafall::harness {

namespace {

constexpr milliseconds kInactivityTimeout{20000};

/// Tag of a prompt, from which the stand-ins of the servers make their answers.
std::string TagOf(const std::string& text) {
  return ToHex(DigestOf(text).value).substr(0, 16);
}

http_call CompletionCall(const planned_request& plan) {
  Poco::JSON::Object body;
  body.set("model", plan.service);
  body.set("prompt", plan.prompt);
  body.set("max_tokens", plan.tokens);
  body.set("stream", plan.stream);
  std::ostringstream text;
  body.stringify(text);
  return {.address = plan.entry,
          .method = "POST",
          .path = "/v1/completions",
          .body = text.str()};
}

http_call ServiceCall(const planned_request& plan) {
  http_call call{.address = plan.entry,
                 .method = "POST",
                 .path = "/services/" + plan.service + "/book",
                 .body = plan.prompt};
  if (!plan.key.empty())
    call.headers["Idempotency-Key"] = plan.key;
  return call;
}

/// Whether a text has exactly the tokens of the answer to this request.
bool IsOwnText(const std::string& text, const planned_request& plan) {
  std::string expected;
  const std::string tag = TagOf(plan.prompt);
  for (int i = 0; i < plan.tokens; ++i)
    expected += tag + "-" + std::to_string(i) + " ";
  return text == expected;
}

/// Reads all events of a stream.
/// @return Whether it is the complete answer to this request, of a single
/// version.
bool ReadStream(const std::string& body,
                const planned_request& plan,
                call_record* record) {
  std::istringstream lines(body);
  std::string line;
  std::string text;
  bool is_done = false;
  while (std::getline(lines, line)) {
    if (!line.starts_with("data: "))
      continue;
    const std::string data = line.substr(6);
    if (data == "[DONE]") {
      is_done = true;
      continue;
    }
    auto event =
        Poco::JSON::Parser().parse(data).extract<Poco::JSON::Object::Ptr>();
    if (!event->isArray("choices"))
      return false;
    text +=
        event->getArray("choices")->getObject(0)->getValue<std::string>("text");
    const auto version = event->getValue<std::string>("version");
    if (!record->version.empty() && record->version != version)
      return false;
    record->version = version;
  }
  return is_done && IsOwnText(text, plan);
}

/// Reads an answer that is not streamed.
/// @return Whether it is the answer to this request.
bool ReadUnstreamed(const std::string& body,
                    const planned_request& plan,
                    call_record* record) {
  auto answer =
      Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
  if (plan.is_plain)
    return answer->getValue<std::string>("tag") == TagOf(plan.prompt);
  record->version = answer->getValue<std::string>("version");
  auto choice = answer->getArray("choices")->getObject(0);
  return IsOwnText(choice->getValue<std::string>("text"), plan);
}

/// Determines how a call ended from its complete answer.
void ClassifyResult(const http_result& result,
                    const planned_request& plan,
                    call_record* record) {
  if (result.status != http_result::status_type::kAnswered) {
    record->reason = "connection";
    return;
  }
  auto reason = result.headers.find("X-Refusal-Reason");
  if (reason != result.headers.end()) {
    record->end = call_record::end_type::kRefused;
    record->reason = reason->second;
    auto run = result.headers.find("X-Request-Run");
    record->not_run = run != result.headers.end() && run->second == "not-run";
    return;
  }
  const bool is_stream = result.content_type.starts_with("text/event-stream");
  if (is_stream && result.body.find("event: error") != std::string::npos) {
    record->end = call_record::end_type::kRefused;
    record->reason = "stream_broken";
    return;
  }
  bool is_whole = false;
  try {
    is_whole = result.http_status == kHttpOk &&
               (is_stream ? ReadStream(result.body, plan, record)
                          : ReadUnstreamed(result.body, plan, record));
  } catch (const Poco::Exception&) {
    is_whole = false;
  }
  record->end = is_whole ? call_record::end_type::kAnswered
                         : call_record::end_type::kWrong;
}

}  // namespace

call_record MakeCall(const planned_request& plan, time_point due) {
  call_record record{.due = due,
                     .organisation = plan.organisation,
                     .key = plan.key,
                     .entry = plan.entry};
  http_call call = plan.is_plain ? ServiceCall(plan) : CompletionCall(plan);
  call.timeout = kInactivityTimeout;
  call.headers["Authorization"] = "Bearer token-" + plan.organisation;
  call.headers["X-Deadline-Ms"] = std::to_string(plan.deadline.count());
  std::string body;
  bool has_first = false;
  http_result result =
      CallHttp(call, [&](const http_result&, const std::string& piece) {
        if (!has_first)
          record.first = std::chrono::steady_clock::now() - due;
        has_first = true;
        body += piece;
        return true;
      });
  result.body = std::move(body);
  record.total = std::chrono::steady_clock::now() - due;
  ClassifyResult(result, plan, &record);
  return record;
}

load_generator::load_generator(load_options options)
    : options_(std::move(options)), draw_number_(options_.seed) {}

load_generator::~load_generator() {
  Stop();
}

void load_generator::Start() {
  next_due_ = std::chrono::steady_clock::now();
  for (size_t i = 0; i < options_.threads; ++i) {
    threads_.emplace_back([this, i] { RunCaller(i); });
  }
}

void load_generator::Stop() {
  is_stopping_ = true;
  for (std::thread& thread : threads_)
    thread.join();
  threads_.clear();
}

std::vector<call_record> load_generator::Records() const {
  std::lock_guard lock(mutex_);
  return records_;
}

bool load_generator::NextRequest(planned_request* plan, time_point* due) {
  std::lock_guard lock(mutex_);
  if (is_stopping_)
    return false;
  std::mt19937_64 random(Hash64(std::to_string(++draw_number_), options_.seed));
  *due = next_due_;
  const double gap =
      std::exponential_distribution<double>(options_.rate)(random);
  next_due_ +=
      std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap));
  std::vector<double> shares = options_.shares;
  if (shares.empty())
    shares.assign(options_.organisations.size(), 1);
  std::discrete_distribution<size_t> organisation(shares.begin(), shares.end());
  plan->entry = options_.entries[random() % options_.entries.size()];
  plan->organisation = options_.organisations[organisation(random)];
  plan->service = options_.service;
  plan->stream = options_.stream;
  plan->tokens = options_.tokens;
  plan->deadline = options_.deadline;
  plan->prompt = "request " + std::to_string(options_.seed) + "/" +
                 std::to_string(sent_++);
  return true;
}

void load_generator::RunCaller(size_t) {
  planned_request plan;
  time_point due;
  while (NextRequest(&plan, &due)) {
    std::this_thread::sleep_until(due);
    call_record record = MakeCall(plan, due);
    std::lock_guard lock(mutex_);
    records_.push_back(std::move(record));
  }
}

double QuantileMs(std::vector<duration> times, double share) {
  if (times.empty())
    return 0;
  std::sort(times.begin(), times.end());
  const auto rank =
      static_cast<size_t>(std::ceil(share * static_cast<double>(times.size())));
  return ToSeconds(times[std::max<size_t>(rank, 1) - 1]) * 1000;
}

load_summary Summarise(const std::vector<call_record>& records,
                       time_point from,
                       time_point to) {
  load_summary summary;
  std::vector<duration> firsts;
  for (const call_record& record : records) {
    if (record.due < from || record.due >= to)
      continue;
    ++summary.all;
    switch (record.end) {
      case call_record::end_type::kAnswered:
        ++summary.answered;
        firsts.push_back(record.first);
        break;
      case call_record::end_type::kRefused:
        ++summary.refused[record.reason];
        break;
      case call_record::end_type::kLost:
        ++summary.lost;
        break;
      case call_record::end_type::kWrong:
        ++summary.wrong;
        break;
    }
  }
  summary.first_p50_ms = QuantileMs(firsts, 0.5);
  summary.first_p95_ms = QuantileMs(firsts, 0.95);
  return summary;
}

}  // namespace fuchsiafall::harness
