/// @file engine_model.cc Latency model of an engine with continuous batching.
#include <algorithm>

#include "engine_model_func.h"

namespace fuchsiafall {

namespace {

/// 90th percentile of the wait for a slot, as a multiple of the mean. Slots
/// become free at the end of a pass, none or several at once.
constexpr double kP90WaitRatio = 1.5;

duration FromMs(double ms) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(ms));
}

}  // namespace

engine_profile SlowedProfile(const engine_profile& engine, double slowdown) {
  engine_profile slowed = engine;
  slowed.step_ms *= slowdown;
  slowed.per_sequence_ms *= slowdown;
  slowed.context_ms_per_k *= slowdown;
  slowed.prefill_per_s /= slowdown;
  slowed.pairs_ms_per_m *= slowdown;
  return slowed;
}

duration PrefillTime(const engine_profile& engine, uint32_t prompt_tokens) {
  if (engine.prefill_per_s <= 0)
    return duration(0);
  const double tokens = prompt_tokens;
  const double million_pairs = tokens * tokens / 2 / 1e6;
  return FromMs(tokens / engine.prefill_per_s * 1000 +
                million_pairs * engine.pairs_ms_per_m);
}

duration PassTime(const engine_profile& engine, uint32_t running) {
  const double context =
      (engine.mean_prompt_tokens + engine.mean_answer_tokens / 2) / 1000;
  const double ms_per_sequence =
      engine.per_sequence_ms + context * engine.context_ms_per_k;
  return FromMs(engine.stride * (engine.step_ms + running * ms_per_sequence));
}

duration SlotInterval(const engine_profile& engine) {
  const double passes =
      std::max(1.0, engine.mean_answer_tokens / std::max(1U, engine.stride));
  const auto prompt = static_cast<uint32_t>(engine.mean_prompt_tokens);
  const auto slots = std::max(1U, engine.slots);
  const auto decoding = std::chrono::duration_cast<duration>(
      PassTime(engine, slots) * (passes / slots));
  return decoding + PrefillTime(engine, prompt);
}

namespace {

/// Computes the time of one pass including the prefill of the requests that
/// replace finished ones.
duration FullPassTime(const engine_profile& engine, uint32_t running) {
  const double mean_passes =
      std::max(1.0, engine.mean_answer_tokens / std::max(1U, engine.stride));
  const double prompts = engine.mean_prompt_tokens * running / mean_passes;
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
                        uint64_t pending_prompt_tokens,
                        uint32_t prompt_tokens) {
  // A request joins the batch between two passes, so it waits half a pass on
  // average. Its first token comes at the end of the pass that prefills it.
  const duration batch_wait = PassTime(engine, running) * 3 / 2;
  const duration prefill =
      PrefillTime(engine, static_cast<uint32_t>(pending_prompt_tokens)) +
      PrefillTime(engine, prompt_tokens);
  const duration slot_wait =
      running + ahead >= engine.slots
          ? SlotInterval(engine) * static_cast<int>(ahead + 1)
          : duration(0);
  return batch_wait + prefill +
         std::chrono::duration_cast<duration>(slot_wait * kP90WaitRatio);
}

duration FreeSlotFirstTokenTime(const engine_profile& engine,
                                uint32_t prompt_tokens) {
  return FirstTokenTime(engine, std::max(1U, engine.slots) - 1, 0, 0,
                        prompt_tokens);
}

}  // namespace fuchsiafall
