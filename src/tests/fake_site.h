/// @file fake_site.h Small sites and hand-written fakes for tests of a hosted
/// entry.
#ifndef TESTS_FAKE_SITE_H_
#define TESTS_FAKE_SITE_H_

#include <memory>
#include <string>
#include <vector>

#include "call_dispatch_base.h"

namespace fuchsiafall::tests {

/// Figures of an engine like those that sites tell.
inline engine_figures SomeEngine() {
  engine_figures engine{.slots = 16, .stride = 6, .step_ms = 7.4};
  engine.per_sequence_ms = 0.04;
  engine.context_ms_per_k = 0.02;
  engine.prefill_per_s = 31900;
  engine.pairs_ms_per_m = 0.73;
  engine.usual_prompt = 970;
  engine.usual_answer = 106;
  engine.layers = 16;
  engine.models = {"model"};
  return engine;
}

/// Site with a model service and a plain one, each of two servers.
struct fake_site {
  fake_site() {
    site_view view;
    view.revision = 10;
    view.configuration.version = 3;
    view.configuration.routes = {{.name = "stream",
                                  .host = "models",
                                  .prefix = "/",
                                  .kind = call_kind::kStream,
                                  .timeout = milliseconds(6000),
                                  .target_latency = milliseconds(400),
                                  .attempts = 2,
                                  .is_resumable = true,
                                  .targets = {{"llm", 1}}},
                                 {.name = "booking",
                                  .host = "plain",
                                  .prefix = "/",
                                  .kind = call_kind::kNonIdempotent,
                                  .timeout = milliseconds(1000),
                                  .target_latency = milliseconds(150),
                                  .attempts = 2,
                                  .targets = {{"desk", 1}}},
                                 {.name = "reading",
                                  .host = "plain",
                                  .prefix = "/read/",
                                  .kind = call_kind::kIdempotent,
                                  .timeout = milliseconds(1000),
                                  .target_latency = milliseconds(150),
                                  .attempts = 2,
                                  .targets = {{"desk", 1}}}};
    view.configuration.services["llm"] = {.name = "llm",
                                          .engine = SomeEngine()};
    view.configuration.services["desk"] = {.name = "desk"};
    view.configuration.tenants = {{.name = "acme", .keys = {"key"}}};
    for (const char* id : {"m1", "m2"}) {
      view.servers[id] = {.id = id,
                          .service = "llm",
                          .address = std::string(id) + ":80",
                          .domain = "a",
                          .slots = 16,
                          .tells_models = true,
                          .models = {{"model", 1, 0, 16}}};
    }
    for (const char* id : {"d1", "d2"}) {
      view.servers[id] = {.id = id,
                          .service = "desk",
                          .address = std::string(id) + ":80",
                          .domain = "a",
                          .slots = 6};
    }
    Set(view);
  }

  void Set(const site_view& view) {
    index =
        std::make_unique<site_index>(std::make_shared<const site_view>(view));
  }

  std::unique_ptr<site_index> index;
};

/// Attempt that the dispatch has begun.
struct begun_attempt {
  uint64_t call = 0;
  uint32_t number = 0;
  std::string server;
  attempt_headers terms;
};

/// Dispatch with hooks that write down what they are asked.
struct fake_entry {
  explicit fake_entry(call_dispatch_options options = {})
      : dispatch(With(std::move(options)), Hooks()) {
    dispatch.SetIndex(site.index.get());
    dispatch.SetConfirmedAt(now);
  }

  static call_dispatch_options With(call_dispatch_options options) {
    options.selector.domain = "a";
    options.selector.regions = {{"a", "east"}};
    options.budget = {.share = 1, .extra = 100, .entries = 1};
    return options;
  }

  call_dispatch_hooks Hooks() {
    call_dispatch_hooks hooks;
    hooks.request_place = [this](const site_server& server,
                                 const place_request& ask) {
      asks.push_back(ask);
      asked.push_back(server.id);
    };
    hooks.release_place = [this](const site_server&, uint64_t question, bool) {
      returned.push_back(question);
    };
    hooks.start_attempt = [this](uint64_t call, uint32_t attempt,
                                 const site_server& server,
                                 const attempt_headers& terms) {
      attempts.push_back({call, attempt, server.id, terms});
    };
    hooks.abort_attempt = [this](uint64_t call) { aborted.push_back(call); };
    hooks.begin_stream = [this](uint64_t) { text += "<"; };
    hooks.send_events = [this](uint64_t, std::string_view events) {
      text += events;
    };
    hooks.end_stream = [this](uint64_t) { text += ">"; };
    hooks.answer = [this](uint64_t, std::string_view body) {
      text += "[" + std::string(body) + "]";
    };
    hooks.send_refusal = [this](uint64_t, const refusal_answer& answer) {
      own.push_back(answer);
    };
    hooks.abort_stream = [this](uint64_t) { text += "|"; };
    hooks.event_id = [](std::string_view event) -> std::optional<uint64_t> {
      if (!event.starts_with("id:"))
        return std::nullopt;
      return std::stoull(std::string(event.substr(3)));
    };
    hooks.log = [](log_event, const std::string&) {};
    hooks.count = [](const std::string&) {};
    hooks.time = [](const std::string&, duration) {};
    return hooks;
  }

  /// Takes a request on one of the fake site's routes.
  void Request(uint64_t id,
               const std::string& host,
               const std::string& target = "/x",
               milliseconds time_left = milliseconds(900)) {
    caller_call call{.id = "r" + std::to_string(id),
                     .host = host,
                     .key = "key",
                     .time_left = time_left};
    if (host == "models") {
      call.model = "model";
      call.time_left = milliseconds(6000);
      call.prompt_tokens = 900;
    }
    dispatch.OnRequest(now, id, call, target, now);
  }

  void Grant() {
    dispatch.OnPlaceReply(now, asks.back().call,
                          {.is_granted = true, .slots = 16});
  }

  /// Answers the last attempt with a head.
  bool Head(int status, bool is_stream, bool did_not_run = false) {
    const begun_attempt& last = attempts.back();
    return dispatch.OnAnswerHead(now, last.call, last.number,
                                 {.status = status,
                                  .call_id = "r" + std::to_string(last.call),
                                  .did_not_run = did_not_run,
                                  .is_sealed = !did_not_run},
                                 is_stream);
  }
  void Body(const std::string& bytes) {
    const begun_attempt& last = attempts.back();
    dispatch.OnAnswerBody(now, last.call, last.number, bytes);
  }
  void End(exchange_end end) {
    const begun_attempt last = attempts.back();
    dispatch.OnExchangeEnd(now, last.call, last.number, end);
  }
  void Pass(milliseconds span) {
    const time_point until = now + span;
    while (now < until) {
      now += milliseconds(10);
      dispatch.RunDue(now);
    }
  }

  time_point now{std::chrono::hours(1)};
  fake_site site;
  std::vector<place_request> asks;
  std::vector<std::string> asked;
  std::vector<uint64_t> returned;
  std::vector<begun_attempt> attempts;
  std::vector<uint64_t> aborted;
  std::vector<refusal_answer> own;
  std::string text;  ///< What the caller got of servers' answers.
  call_dispatch dispatch;
};

}  // namespace fuchsiafall::tests

#endif  // TESTS_FAKE_SITE_H_
