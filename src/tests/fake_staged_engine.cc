/// @file fake_staged_engine.cc Engine that loads staged pieces, in virtual
/// time.
#include "tests/fake_staged_engine.h"

#include <algorithm>

namespace fuchsiafall::tests {

namespace {

constexpr char kModel[] = "m";
constexpr milliseconds kTick{10};
constexpr milliseconds kReportInterval{100};
constexpr milliseconds kReportDelay{3};
constexpr milliseconds kLoadTime{300};
// Time limits of the agent.
constexpr milliseconds kCallTimeout{1000};
constexpr milliseconds kWriteTimeout{3000};

}  // namespace

fake_staged_engine::fake_staged_engine(uint64_t version) {
  report_.started_at_ms = 77;
  if (version > 0) {
    report_.held = {
        {.model = kModel, .version = version, .from = 0, .to = kLayers}};
    for (uint32_t i = 0; i < kPieces; ++i)
      staged_[i] = Bytes(version, i);
    taken_ = staged_;
    wanted = version;
  }
  RestartAgent();
}

std::string fake_staged_engine::Bytes(uint64_t version, uint32_t piece) {
  // Some pieces are the same in all versions.
  return piece % 3 == 0
             ? "p" + std::to_string(piece)
             : "v" + std::to_string(version) + "p" + std::to_string(piece);
}

std::vector<digest> fake_staged_engine::PiecesOf(uint64_t version) {
  std::vector<digest> pieces;
  for (uint32_t i = 0; i < kPieces; ++i)
    pieces.emplace_back(Bytes(version, i));
  return pieces;
}

bool fake_staged_engine::HoldsSpoilt() const {
  if (HeldVersion() == 0)
    return false;
  for (uint32_t i = 0; i < kPieces; ++i) {
    if (taken_[i] != Bytes(HeldVersion(), i))
      return true;
  }
  return false;
}

void fake_staged_engine::Restart() {
  ++report_.started_at_ms;
  report_.orders = 0;
  report_.held.clear();
  report_.is_loading = false;
  loading_version_ = 0;
  std::erase_if(events_, [](const event& item) { return item.is_of_engine; });
}

void fake_staged_engine::RestartAgent() {
  ++agent_number_;
  open_orders_ = 0;
  loader_ = std::make_unique<weight_loader>(
      weight_loader_options{},
      weight_loader_hooks{
          .log = [](log_event, const std::string&) {},
          .count = [this](const std::string& name) { ++counts[name]; }});
  loader_->SetModel(kModel, kLayers);
}

void fake_staged_engine::After(milliseconds delay,
                               bool is_of_engine,
                               std::function<void()> act) {
  events_.push_back({now + delay, is_of_engine, std::move(act)});
}

void fake_staged_engine::RunEvents() {
  for (size_t i = 0; i < events_.size();) {
    const bool is_paused =
        events_[i].is_of_engine ? is_engine_paused : is_agent_paused;
    if (events_[i].at > now || is_paused) {
      ++i;
      continue;
    }
    const auto act = std::move(events_[i].act);
    events_.erase(events_.begin() + static_cast<ptrdiff_t>(i));
    act();
    i = 0;
  }
}

void fake_staged_engine::Accept(const engine_order& order,
                                int64_t started_at_ms,
                                int* status) {
  *status = 409;
  if (report_.is_loading || order.reported_orders != report_.orders ||
      started_at_ms != report_.started_at_ms)
    return;
  *status = 202;
  ++report_.orders;
  report_.is_loading = true;
  load_ends_at_ = now + kLoadTime;
  loading_version_ = order.is_unload ? 0 : order.version;
  if (!order.is_unload)
    taken_ = staged_;
}

void fake_staged_engine::Perform(const engine_step& step) {
  const uint32_t agent = agent_number_;
  const time_point sent_at = now;
  auto result = std::make_shared<engine_call_result>();
  auto end = std::make_shared<std::function<void()>>();
  // The call ends with its answer or at its time limit, whichever is first.
  auto finish = [this, agent, end] {
    if (agent != agent_number_ || !*end)
      return;
    const auto act = std::exchange(*end, nullptr);
    act();
  };
  milliseconds delay = delays.read;
  milliseconds timeout = kCallTimeout;
  std::function<void()> effect;
  if (const auto* read = std::get_if<read_piece>(&step)) {
    auto actual = std::make_shared<std::optional<digest>>();
    effect = [this, actual, result, piece = read->piece] {
      result->status = staged_[piece].empty() ? 404 : 200;
      if (staged_[piece].empty())
        return;
      *actual = digest(garbled_reads > 0 ? "garbled" : staged_[piece]);
      garbled_reads -= garbled_reads > 0 ? 1 : 0;
    };
    *end = [this, sent_at, item = *read, result, actual] {
      loader_->OnReadEnded(now, sent_at, item, *result, *actual);
    };
  } else if (const auto* write = std::get_if<write_piece>(&step)) {
    delay = delays.write;
    timeout = kWriteTimeout;
    effect = [this, result, item = *write] {
      staged_[item.piece] = Bytes(item.version, item.piece);
      result->status = 200;
    };
    *end = [this, item = *write, result] {
      loader_->OnWriteEnded(now, item, *result);
    };
  } else {
    const auto& order = std::get<send_order>(step);
    delay = delays.order;
    ++open_orders_;
    effect = [this, result, item = order.order,
              started_at_ms = report_.started_at_ms] {
      int status = 0;
      Accept(item, started_at_ms, &status);
      result->status = loses_order_answers ? 0 : status;
    };
    *end = [this, item = order, result] {
      --open_orders_;
      loader_->OnOrderEnded(now, item, *result);
    };
  }
  After(delay, true, [this, effect, finish] {
    effect();
    After(milliseconds(1), false, finish);
  });
  After(timeout, false, [result, finish] {
    if (result->status == 0)
      result->is_given_up = true;
    finish();
  });
}

void fake_staged_engine::RunAgent() {
  if (is_agent_paused)
    return;
  if (now >= next_report_at_) {
    next_report_at_ = now + kReportInterval;
    const time_point requested_at = now;
    After(kReportDelay, true, [this, requested_at, agent = agent_number_] {
      After(milliseconds(1), false, [this, requested_at, agent, at = report_] {
        if (agent == agent_number_)
          loader_->OnReport(now, requested_at, at);
      });
    });
  }
  const uint64_t target = loader_->ChooseTarget(now, wanted);
  std::vector<digest> pieces = PiecesOf(target);
  if (has_digests_in_doubt)
    pieces[1] = digest("corrupted");
  if (target != loader_->TargetVersion() || pieces[1] != known_piece_)
    loader_->SetTarget(target, pieces);
  known_piece_ = pieces[1];
  loader_->SetTargetConfirmed(!has_digests_in_doubt);
  loader_->MarkAvailable([](const digest&) { return true; });
  if (const auto step = loader_->NextStep(now, wanted))
    Perform(*step);
}

void fake_staged_engine::Advance(milliseconds span) {
  const time_point until = now + span;
  while (now < until) {
    now += kTick;
    if (report_.is_loading && !is_engine_paused && now >= load_ends_at_) {
      report_.is_loading = false;
      report_.held.clear();
      if (loading_version_ > 0) {
        report_.held = {{.model = kModel,
                         .version = loading_version_,
                         .from = 0,
                         .to = kLayers}};
      }
    }
    RunEvents();
    RunAgent();
    // A request names the version for which the agent vouched.
    if (!is_agent_paused && !report_.is_loading && IsServing() &&
        loader_->IntactWeights().version == HeldVersion() && HoldsSpoilt())
      spoilt_service += kTick;
  }
}

bool fake_staged_engine::AdvanceUntil(const std::function<bool()>& condition,
                                      milliseconds limit) {
  const time_point until = now + limit;
  while (now < until && !condition())
    Advance(kTick);
  return condition();
}

}  // namespace fuchsiafall::tests
