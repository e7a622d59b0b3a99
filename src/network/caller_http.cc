/// @file caller_http.cc Parsing of callers' HTTP requests, and their answers.
/// Specification of the completions API: OpenAI, "Completions" and server-sent
/// events (WHATWG HTML).
#include "network/caller_http.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/NumberParser.h>

#include <sstream>

#include "network/http_message.h"
#include "network/http_server.h"

namespace fuchsiafall {

namespace {

constexpr size_t kMaxBodyBytes = 4 * 1024 * 1024;
constexpr size_t kMaxIdempotencyKeyBytes = 256;
constexpr size_t kMaxPromptPrefixBytes = 256;
constexpr int kMaxDeadlineMs = 600000;
constexpr char kServicesPrefix[] = "/services/";
constexpr char kBearerPrefix[] = "Bearer ";

bool IsCompletionsPath(const std::string& path) {
  return path == "/v1/completions" || path == "/v1/chat/completions";
}

outcome<done> ReadCompletions(caller_request* request) {
  try {
    auto object = Poco::JSON::Parser()
                      .parse(request->body)
                      .extract<Poco::JSON::Object::Ptr>();
    request->is_model_call = true;
    request->model = object->getValue<std::string>("model");
    request->stream = object->optValue<bool>("stream", false);
    std::ostringstream prompt;
    if (object->has("prompt")) {
      object->get("prompt").convert<std::string>().swap(request->prefix);
    } else if (object->isArray("messages")) {
      object->getArray("messages")->stringify(prompt);
      request->prefix = prompt.str();
    }
    request->prefix.resize(
        std::min(request->prefix.size(), kMaxPromptPrefixBytes));
    return done{};
  } catch (const Poco::Exception& e) {
    return failure{"body: not a completions request in JSON with a 'model': " +
                   e.displayText()};
  }
}

outcome<done> ReadServicePath(const std::string& path,
                              caller_request* request) {
  const std::string rest = path.substr(sizeof(kServicesPrefix) - 1);
  const size_t slash = rest.find('/');
  request->model = rest.substr(0, slash);
  if (request->model.empty() || slash == std::string::npos) {
    return failure{"path: found '" + path +
                   "', allowed is /services/SERVICE/PATH"};
  }
  request->path = rest.substr(slash);
  return done{};
}

outcome<int> ReadNumber(const Poco::Net::HTTPServerRequest& request,
                        const std::string& name,
                        int max) {
  if (!request.has(name))
    return 0;
  int number = 0;
  if (Poco::NumberParser::tryParse(request.get(name), number) && number >= 0 &&
      number <= max) {
    return number;
  }
  return failure{name + ": found '" + request.get(name) +
                 "', allowed is 0 to " + std::to_string(max)};
}

outcome<done> ReadHeaders(const Poco::Net::HTTPServerRequest& from,
                          caller_request* request) {
  const std::string authorization = from.get("Authorization", "");
  if (authorization.starts_with(kBearerPrefix)) {
    request->token = authorization.substr(sizeof(kBearerPrefix) - 1);
  }
  request->idempotency_key = from.get("Idempotency-Key", "");
  if (request->idempotency_key.size() > kMaxIdempotencyKeyBytes) {
    return failure{"Idempotency-Key: allowed are " +
                   std::to_string(kMaxIdempotencyKeyBytes) + " bytes"};
  }
  // The key is forwarded, and the library decodes encoded words (RFC 2047).
  if (!IsFieldValue(request->idempotency_key))
    return failure{"Idempotency-Key: control character"};
  outcome<int> deadline = ReadNumber(from, "X-Deadline-Ms", kMaxDeadlineMs);
  if (!deadline)
    return failure{deadline.LastReason()};
  request->deadline = milliseconds(*deadline);
  outcome<int> priority = ReadNumber(from, "X-Priority", 9);
  if (!priority)
    return failure{priority.LastReason()};
  request->priority = static_cast<uint32_t>(*priority);
  return done{};
}

/// Ends a started stream with an error event, so that the caller does not take
/// the answer for complete.
void WriteStreamError(std::ostream* stream, const answer_refusal& refusal) {
  *stream << "event: error\ndata: {\"error\":{\"code\":\""
          << InfoOf(refusal.why).code << "\",\"not_run\":false}}\n\n"
          << std::flush;
}

}  // namespace

void caller_channel::Push(caller_event event) {
  std::lock_guard lock(mutex_);
  events_.push_back(std::move(event));
  wake_.notify_one();
}

caller_event caller_channel::Pop() {
  std::unique_lock lock(mutex_);
  wake_.wait(lock, [this] { return !events_.empty(); });
  caller_event event = std::move(events_.front());
  events_.pop_front();
  return event;
}

outcome<caller_request> ReadCallerRequest(
    Poco::Net::HTTPServerRequest* request) {
  caller_request result;
  result.method = request->getMethod();
  result.path = request->getURI();
  outcome<done> headers = ReadHeaders(*request, &result);
  if (!headers)
    return failure{headers.LastReason()};
  outcome<std::string> body = ReadBody(request, kMaxBodyBytes);
  if (!body)
    return failure{body.LastReason()};
  result.body = std::move(*body);
  outcome<done> read =
      failure{"path: found '" + result.path +
              "', allowed is /v1/completions, /v1/chat/completions or "
              "/services/SERVICE/PATH"};
  if (IsCompletionsPath(result.path)) {
    read = ReadCompletions(&result);
  } else if (result.path.starts_with(kServicesPrefix)) {
    read = ReadServicePath(std::string(result.path), &result);
  }
  if (!read)
    return failure{read.LastReason()};
  return result;
}

bool WriteAnswer(caller_channel* channel,
                 Poco::Net::HTTPServerResponse* response) {
  std::ostream* stream = nullptr;
  while (true) {
    caller_event event = channel->Pop();
    if (const auto* refusal = std::get_if<answer_refusal>(&event)) {
      if (stream == nullptr) {
        WriteRefusal(response, *refusal,
                     std::string(InfoOf(refusal->why).text));
      } else {
        WriteStreamError(stream, *refusal);
      }
      return true;
    }
    const answer_part& part = std::get<answer_part>(event);
    if (part.first && part.last) {
      AnswerHttp(response, part.http_status, part.content_type, part.data);
      return true;
    }
    if (stream == nullptr) {
      response->setStatus(
          static_cast<Poco::Net::HTTPResponse::HTTPStatus>(part.http_status));
      response->setContentType(part.content_type);
      response->setChunkedTransferEncoding(true);
      stream = &response->send();
    }
    *stream << part.data << std::flush;
    if (!stream->good())
      return false;
    if (part.last)
      return true;
  }
}

void WriteRefusal(Poco::Net::HTTPServerResponse* response,
                  const answer_refusal& refusal,
                  const std::string& detail) {
  const reason_info& info = InfoOf(refusal.why);
  response->set("X-Request-Run",
                refusal.may_have_run ? "may-have-run" : "not-run");
  response->set("X-Refusal-Reason", std::string(info.code));
  if (refusal.retry_after.count() > 0) {
    auto whole_seconds =
        std::chrono::ceil<seconds>(refusal.retry_after).count();
    response->set("Retry-After", std::to_string(whole_seconds));
  }
  Poco::JSON::Object error;
  error.set("code", std::string(info.code));
  error.set("message", detail);
  error.set("not_run", !refusal.may_have_run);
  Poco::JSON::Object body;
  body.set("error", error);
  std::ostringstream text;
  body.stringify(text);
  AnswerHttp(response, info.http_status, "application/json", text.str());
}

}  // namespace fuchsiafall
