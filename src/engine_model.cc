/// @file engine_model.cc Model of an engine that batches continuously.
#include <algorithm>

#include "engine_model_func.h"

namespace fuchsiafall {

namespace {

/// Places become free at the ends of passes, several or none at once, so that
/// nine in ten waits are within this multiple of the mean.
constexpr double kWaitSpread = 1.5;

duration Ms(double ms) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(ms));
}

}  // namespace

duration PrefillTime(const engine_profile& engine, uint32_t prompt_tokens) {
  if (engine.prefill_per_s <= 0)
    return duration(0);
  const double tokens = prompt_tokens;
  const double pairs = tokens * tokens / 2 / 1e6;
  return Ms(tokens / engine.prefill_per_s * 1000 +
            pairs * engine.pairs_ms_per_m);
}

duration PassTime(const engine_profile& engine, uint32_t running) {
  const double context =
      (engine.mean_prompt_tokens + engine.mean_answer_tokens / 2) / 1000;
  const double each =
      engine.per_sequence_ms + context * engine.context_ms_per_k;
  return Ms(engine.stride * (engine.step_ms + running * each));
}

duration PlaceInterval(const engine_profile& engine) {
  const double passes =
      std::max(1.0, engine.mean_answer_tokens / std::max(1U, engine.stride));
  const auto prompt = static_cast<uint32_t>(engine.mean_prompt_tokens);
  const auto slots = std::max(1U, engine.slots);
  const auto writing = std::chrono::duration_cast<duration>(
      PassTime(engine, slots) * (passes / slots));
  return writing + PrefillTime(engine, prompt);
}

namespace {

/// Time of one pass with the prompts of those that take the places of others.
duration FullPassTime(const engine_profile& engine, uint32_t running) {
  const double usual_passes =
      std::max(1.0, engine.mean_answer_tokens / std::max(1U, engine.stride));
  const double prompts = engine.mean_prompt_tokens * running / usual_passes;
  return PassTime(engine, running) +
         PrefillTime(engine, static_cast<uint32_t>(prompts));
}

}  // namespace

duration RunTime(const engine_profile& engine,
                 uint32_t running,
                 uint32_t answer_tokens) {
  const double tokens =
      answer_tokens > 0 ? answer_tokens : engine.mean_answer_tokens;
  const double passes = tokens / std::max(1U, engine.stride) + 1;
  return std::chrono::duration_cast<duration>(FullPassTime(engine, running) *
                                              passes);
}

uint32_t AnswerTokensWithin(const engine_profile& engine,
                            uint32_t running,
                            duration span) {
  const duration pass = FullPassTime(engine, running);
  if (pass <= duration(0) || span <= pass)
    return 1;
  const double passes = ToSeconds(span) / ToSeconds(pass) - 1;
  return std::max(1U, static_cast<uint32_t>(passes * engine.stride));
}

duration FirstTokenTime(const engine_profile& engine,
                        uint32_t running,
                        uint32_t ahead,
                        uint64_t unread,
                        uint32_t prompt_tokens) {
  // A request joins between two passes, so half of one goes by at the mean; its
  // first token comes at the end of the pass that reads its prompt.
  const duration joining = PassTime(engine, running) * 3 / 2;
  const duration reading = PrefillTime(engine, static_cast<uint32_t>(unread)) +
                           PrefillTime(engine, prompt_tokens);
  const duration place =
      running + ahead >= engine.slots
          ? PlaceInterval(engine) * static_cast<int>(ahead + 1)
          : duration(0);
  return joining + reading +
         std::chrono::duration_cast<duration>(place * kWaitSpread);
}

}  // namespace fuchsiafall
