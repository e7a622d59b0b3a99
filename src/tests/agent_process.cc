/// @file agent_process.cc Hosted agent as a real process.
#include "tests/agent_process.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "envelope_func.h"
#include "place_message_func.h"
#include "standins/standin_func.h"

namespace fuchsiafall::tests {

namespace {

constexpr uint64_t kVersionAtStart = 1;
constexpr uint64_t kMaxVersion = 9;  // Of those that pieces are compared with.
/// Longer than the agent takes to notice that its engine is busy.
constexpr milliseconds kLoadTime{1000};
/// Of a read or a write of one piece; all take longer than the agent's interval
/// between two plans.
constexpr milliseconds kStageTime{10};
constexpr milliseconds kAskInterval{20};
/// Time from a grant to the arrival of the request at the engine.
constexpr milliseconds kRequestTransit{50};
constexpr seconds kStartTimeout{20};
constexpr int kAgentNumber = 1;
constexpr int kOriginNumber = 3;
constexpr int kEntryNumber = 4;

/// Returns the version that the bytes of a piece belong to; 0 for none.
uint64_t VersionOf(uint32_t piece, const std::string& bytes) {
  for (uint64_t version = 1; version <= kMaxVersion; ++version) {
    if (bytes == soak::ChunkOf(version, piece))
      return version;
  }
  return 0;
}

}  // namespace

bool loaded_layers::IsIntact() const {
  return std::all_of(pieces.begin(), pieces.end(),
                     [this](uint64_t piece) { return piece == version; });
}

std::string loaded_layers::ToText() const {
  std::string text = "version " + std::to_string(version) + " of pieces";
  for (const uint64_t piece : pieces)
    text += " " + std::to_string(piece);
  return text;
}

scripted_engine::scripted_engine(event_loop* loop, uint64_t version)
    : loop_(loop),
      listener_(loop,
                {},
                {.on_request =
                     [this](time_point now,
                            const auto& from,
                            http_request&& request) {
                       OnRequest(now, {from, std::move(request)});
                     },
                 .on_disconnected = [](time_point, auto*) {}}) {
  for (uint32_t piece = 0; piece < soak::kChunks; ++piece)
    staged_[piece] = soak::ChunkOf(version, piece);
  layers_ = std::make_shared<loaded_layers>(
      loaded_layers{.version = version,
                    .pieces = std::vector<uint64_t>(soak::kChunks, version)});
}

outcome<done> scripted_engine::Listen(const std::string& address) {
  return listener_.Listen(address);
}

void scripted_engine::HoldFromNextOrder(
    held_calls calls,
    milliseconds span,
    std::function<void(time_point)> on_held) {
  planned_hold_ = {.calls = calls, .span = span, .on_held = std::move(on_held)};
}

void scripted_engine::RotPiece(uint32_t piece) {
  staged_[piece].back() ^= 1;
}

void scripted_engine::Restart() {
  for (const engine_call& call : held_)
    call.from->Abort();
  held_.clear();
  holding_.reset();
  layers_ = loading_ = nullptr;
  sequence_ = 0;
  ++born_;
}

std::string scripted_engine::LayerFields() const {
  std::string models;
  std::string layers;
  if (layers_ != nullptr) {
    const std::string version =
        R"("Version":)" + std::to_string(layers_->version) + "}";
    models = R"({"Name":")" + std::string(soak::kModel) + R"(",)" + version;
    layers = R"("layers":{"From":0,"To":)" + std::to_string(soak::kLayers) +
             "," + version + ",";
  }
  return R"("Stage":"combined","Models":[)" + models + "]," + layers +
         R"("born":)" + std::to_string(born_);
}

void scripted_engine::OnRequest(time_point now, engine_call call) {
  const bool is_order = call.request.head.getURI() == "/order";
  const bool is_first = is_order && planned_hold_;
  if (is_first) {
    const planned_hold hold = *std::exchange(planned_hold_, std::nullopt);
    holding_ = hold.calls;
    hold.on_held(now);
    loop_->StartTimer(now + hold.span,
                      [this](time_point at) { ExecuteHeld(at); });
  }
  const bool is_held =
      is_first || (holding_ && *holding_ != held_calls::kOneOrder &&
                   (is_order || *holding_ == held_calls::kAll));
  if (is_held) {
    held_.push_back(std::move(call));
  } else {
    Execute(now, call);
  }
}

void scripted_engine::ExecuteHeld(time_point now) {
  holding_.reset();
  for (const engine_call& call : std::exchange(held_, {}))
    Execute(now, call);
}

void scripted_engine::Execute(time_point now, const engine_call& call) {
  const std::string target = call.request.head.getURI();
  if (target == "/report") {
    call.from->Answer(now, MakeAnswerHead(200),
                      "{" + LayerFields() + R"(,"Busy":)" +
                          (loading_ != nullptr ? "true" : "false") +
                          R"(,"Sequence":)" + std::to_string(sequence_) + "}");
  } else if (target == "/order") {
    call.from->Answer(now, MakeAnswerHead(ExecuteOrder(now, call.request.body)),
                      "");
  } else {
    ExecuteStageCall(now, call);
  }
}

int scripted_engine::ExecuteOrder(time_point now, const std::string& body) {
  auto order =
      Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
  const auto version = order->getValue<uint64_t>("Version");
  const bool is_unload = order->optValue("To", soak::kLayers) == 0;
  if (loading_ != nullptr ||
      order->optValue("Precondition", sequence_) != sequence_)
    return 409;
  if (is_unload ? layers_ == nullptr
                : layers_ != nullptr && layers_->version == version)
    return 200;
  ++sequence_;
  if (is_unload) {
    layers_ = nullptr;
  } else {
    BeginLoad(now, version);
  }
  return 202;
}

void scripted_engine::BeginLoad(time_point now, uint64_t version) {
  loaded_layers taken{.version = version, .pieces = {}};
  for (const auto& [piece, bytes] : staged_)
    taken.pieces.push_back(VersionOf(piece, bytes));
  loading_ = std::make_shared<loaded_layers>(std::move(taken));
  loads_.push_back(loading_);
  loop_->StartTimer(now + kLoadTime, [this, load = loading_](time_point) {
    if (loading_ != load)
      return;  // The engine has restarted.
    layers_ = std::exchange(loading_, nullptr);
  });
}

void scripted_engine::ExecuteStageCall(time_point now,
                                       const engine_call& call) {
  standins::query_map query;
  const std::string path =
      standins::SplitQuery(call.request.head.getURI(), &query);
  const auto piece =
      static_cast<uint32_t>(standins::IntOf(query, "SampleCount", 0));
  if (path.starts_with("/stage-put/"))
    staged_[piece] = call.request.body;
  const bool is_read = path.starts_with("/stage-get/");
  loop_->StartTimer(
      now + kStageTime,
      [from = call.from, bytes = is_read ? staged_[piece] : ""](time_point at) {
        from->Answer(at, MakeAnswerHead(200), bytes);
      });
}

bool granted_place::IsOnWrongLayers() const {
  const auto is_wrong = [](const layers_ptr& held) {
    return held != nullptr && !held->IsIntact();
  };
  return is_wrong(layers) || is_wrong(later_layers);
}

agent_process::agent_process(const std::string& network)
    : process_with_store("agent", "agent-process-test", network),
      origin_(&Loop(), &faults_),
      engine_(&Loop(), kVersionAtStart),
      entry_(
          &Loop(),
          [this](time_point now,
                 const std::string&,
                 const proto::envelope& message) { OnMessage(now, message); }),
      agent_address_(IpOf(kAgentNumber) + ":7700") {
  const std::string engine_address = IpOf(kAgentNumber) + ":8001";
  const std::string origin_address = IpOf(kOriginNumber) + ":8006";
  BOOST_REQUIRE(engine_.Listen(engine_address));
  BOOST_REQUIRE(origin_.Listen(origin_address));
  BOOST_REQUIRE(entry_.Bind(IpOf(kEntryNumber) + ":7700"));
  Store().Put("op/config", R"({"Version":1,"Routes":[],"Services":)" +
                               soak::ServicesOf(origin_address) + "}");
  Store().Put("servers/i-1", R"({"Service":")" +
                                 std::string(soak::kModelService) +
                                 R"(","Address":")" + engine_address +
                                 R"(","Zone":"a","Slots":8,"State":"ready",)" +
                                 engine_.LayerFields() + "}");
  // The load of a newer version is due 4.8 s after it is named, and an order
  // may be held back for 3.8 s before the older one must be unloaded.
  WriteSettings(
      "Limits.LinkMbps=100\nBounds.version_ms=10000\napp=" + engine_address +
      "\nService=" + std::string(soak::kModelService) + "\n");
}

void agent_process::Start() {
  process_with_store::Start();
  Loop().Post([this] {
    NameVersion(kVersionAtStart);
    Ask(BootNow());
  });
  BOOST_REQUIRE(WaitForPlaceOn(kVersionAtStart, kStartTimeout));
}

void agent_process::Restart() {
  Process().Kill();
  Process().Start();
}

void agent_process::NameVersion(uint64_t version) {
  Store().Put(std::string("op/version/") + soak::kModel,
              R"({"Model":")" + std::string(soak::kModel) + R"(","Version":)" +
                  std::to_string(version) + "}");
}

void agent_process::Ask(time_point now) {
  proto::envelope envelope = MakeEnvelope(vm_id("entry"), incarnation(1));
  WritePlaceRequest({.call = ++last_call_,
                     .prompt_tokens = 10,
                     .answer_tokens = 2,
                     .first_token_budget = milliseconds(1000),
                     .time_left = milliseconds(2000)},
                    envelope.mutable_place_question());
  entry_.Send(agent_address_, envelope);
  Loop().StartTimer(now + kAskInterval, [this](time_point at) { Ask(at); });
}

void agent_process::OnMessage(time_point now, const proto::envelope& message) {
  if (!message.has_place_answer() || !message.place_answer().is_granted())
    return;
  proto::envelope envelope = MakeEnvelope(vm_id("entry"), incarnation(1));
  WritePlaceRelease(message.place_answer().call(), attempt_result::kAnswered,
                    envelope.mutable_place_return());
  entry_.Send(agent_address_, envelope);
  Loop().StartTimer(
      now + kRequestTransit,
      [this, place = granted_place{.layers = engine_.Layers()}](time_point) {
        places_.push_back(place);
        places_.back().later_layers = engine_.Layers();
      });
}

bool agent_process::WaitForPlaceOn(uint64_t version, milliseconds timeout) {
  return harness::WaitUntil(
      [&] {
        return InLoop([&](scripted_engine* engine) {
          const layers_ptr& layers = engine->Layers();
          return engine->IsSettled() && layers != nullptr &&
                 layers->version == version && layers->IsIntact() &&
                 !places_.empty() && places_.back().layers == layers;
        });
      },
      timeout);
}

size_t agent_process::CountPlacesOnWrongLayers() {
  return InLoop([this](scripted_engine*) {
    return static_cast<size_t>(std::count_if(
        places_.begin(), places_.end(),
        [](const auto& place) { return place.IsOnWrongLayers(); }));
  });
}

std::string agent_process::Summary() {
  const size_t wrong = CountPlacesOnWrongLayers();
  return InLoop([this, wrong](scripted_engine* engine) {
    std::string text = std::to_string(places_.size()) + " places, " +
                       std::to_string(wrong) + " of them on wrong layers";
    for (const layers_ptr& load : engine->Loads())
      text += "; load of " + load->ToText();
    return text;
  });
}

}  // namespace fuchsiafall::tests
