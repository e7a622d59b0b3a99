/// @file fake_site.h Small site and recording hooks for tests of a hosted
/// entry.
#ifndef TESTS_FAKE_SITE_H_
#define TESTS_FAKE_SITE_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "call_dispatch_base.h"

namespace fuchsiafall::tests {

/// Returns an engine profile as a site's configuration states it.
inline engine_profile MakeEngineProfile() {
  engine_profile engine{.slots = 16, .stride = 6, .step_ms = 7.4};
  engine.per_sequence_ms = 0.04;
  engine.context_ms_per_k = 0.02;
  engine.prefill_per_s = 31900;
  engine.pairs_ms_per_m = 0.73;
  engine.mean_prompt_tokens = 970;
  engine.mean_answer_tokens = 106;
  engine.layers = 16;
  engine.models = {"model"};
  return engine;
}

/// Site with a model service and a plain service, of two servers each.
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
                                          .engine = MakeEngineProfile()};
    view.configuration.services["desk"] = {.name = "desk"};
    view.configuration.tenants = {{.name = "acme", .keys = {"key"}}};
    for (const char* id : {"m1", "m2"}) {
      view.servers[id] = {.id = id,
                          .service = "llm",
                          .address = std::string(id) + ":80",
                          .domain = "a",
                          .slots = 16,
                          .is_model_server = true,
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

/// Attempt that the dispatch has started.
struct started_attempt {
  uint64_t call = 0;
  uint32_t number = 0;
  std::string server;
  attempt_headers headers;
};

/// Call dispatch with hooks that record its requests and answers.
struct fake_entry {
  explicit fake_entry(call_dispatch_options options = {})
      : dispatch(WithTestDefaults(std::move(options)), Hooks()) {
    dispatch.SetIndex(site.index.get());
    dispatch.SetConfirmedAt(now);
  }

  static call_dispatch_options WithTestDefaults(call_dispatch_options options) {
    options.selector.domain = "a";
    options.selector.regions = {{"a", "east"}};
    options.budget = {.ratio = 1, .extra = 100, .entry_count = 1};
    return options;
  }

  call_dispatch_hooks Hooks() {
    call_dispatch_hooks hooks;
    hooks.request_place = [this](const site_server& server,
                                 const place_request& request) {
      place_requests.push_back(request);
      requested_servers.push_back(server.id);
    };
    hooks.release_place = [this](const site_server&, uint64_t place_request_id,
                                 attempt_result result) {
      released_requests.push_back(place_request_id);
      attempt_results.push_back(result);
    };
    hooks.start_attempt = [this](uint64_t call, uint32_t attempt,
                                 const site_server& server,
                                 const attempt_headers& headers) {
      attempts.push_back({call, attempt, server.id, headers});
    };
    hooks.abort_attempt = [this](uint64_t call) {
      aborted_calls.push_back(call);
    };
    hooks.begin_stream = [this](uint64_t) { received_text += "<"; };
    hooks.send_events = [this](uint64_t, std::string_view events) {
      received_text += events;
    };
    hooks.end_stream = [this](uint64_t) { received_text += ">"; };
    hooks.answer = [this](uint64_t, std::string_view body) {
      received_text += "[" + std::string(body) + "]";
    };
    hooks.send_refusal = [this](uint64_t, const refusal_answer& answer) {
      refusals.push_back(answer);
    };
    hooks.abort_stream = [this](uint64_t) { received_text += "|"; };
    hooks.log = [this](log_event event, const std::string& detail) {
      log_lines.emplace_back(event, detail);
    };
    hooks.count = [this](const std::string& counter) { ++counts[counter]; };
    hooks.set_gauge = [this](const std::string& gauge, int64_t value) {
      gauges[gauge] = value;
    };
    hooks.record_duration = [](const std::string&, duration) {};
    hooks.send_crash_note = [this](const std::string& address,
                                   const proto::envelope& message) {
      if (on_crash_note)
        on_crash_note(address, message);
    };
    hooks.is_connected = [this](const std::string& address) {
      return connected.contains(address);
    };
    return hooks;
  }

  /// Sends a caller's request on one of the site's routes.
  /// @param host "models" for the model service, or "plain".
  void SendRequest(uint64_t id,
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

  /// Grants the last place request. A place is a slot that an agent admits a
  /// call to.
  void GrantPlace() {
    dispatch.OnPlaceReply(now, place_requests.back().call,
                          {.is_granted = true, .slots = 16});
  }

  /// Denies the last place request: the server is full.
  void DenyPlace() {
    dispatch.OnPlaceReply(now, place_requests.back().call,
                          {.expected_free_in = milliseconds(100), .slots = 16});
  }

  /// Delivers the head of the answer to the last attempt.
  /// @param did_not_run Whether the server says that the call did not run.
  bool DeliverHead(int status, bool is_stream, bool did_not_run = false) {
    const started_attempt& last = attempts.back();
    return dispatch.OnAnswerHead(now, last.call, last.number,
                                 {.status = status,
                                  .call_id = "r" + std::to_string(last.call),
                                  .did_not_run = did_not_run,
                                  .is_sealed = !did_not_run},
                                 is_stream);
  }
  /// Delivers bytes of the answer to the last attempt.
  void DeliverBody(const std::string& bytes) {
    const started_attempt& last = attempts.back();
    dispatch.OnAnswerBody(now, last.call, last.number, bytes);
  }
  /// Ends the exchange of the last attempt.
  void EndExchange(exchange_end end) {
    const started_attempt last = attempts.back();
    dispatch.OnExchangeEnd(now, last.call, last.number, end);
  }
  /// Advances the virtual time.
  void Advance(milliseconds span) {
    const time_point until = now + span;
    while (now < until) {
      now += milliseconds(10);
      dispatch.RunDue(now);
    }
  }

  time_point now{std::chrono::hours(1)};
  fake_site site;
  std::vector<place_request> place_requests;
  std::vector<std::string> requested_servers;
  std::vector<uint64_t> released_requests;
  std::vector<attempt_result> attempt_results;  ///< Of released_requests.
  std::vector<started_attempt> attempts;
  std::vector<uint64_t> aborted_calls;
  std::vector<refusal_answer> refusals;
  /// What the caller received of servers' answers: <, events and > for a
  /// stream, [body] for a whole answer, | for a broken connection.
  std::string received_text;
  std::function<void(const std::string& address, const proto::envelope&)>
      on_crash_note;
  std::set<std::string> connected;    ///< Addresses of open connections.
  std::map<std::string, int> counts;  ///< By counter.
  std::map<std::string, int64_t> gauges;
  std::vector<std::pair<log_event, std::string>> log_lines;
  call_dispatch dispatch;
};

}  // namespace fuchsiafall::tests

#endif  // TESTS_FAKE_SITE_H_
