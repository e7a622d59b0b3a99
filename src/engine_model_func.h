/// @file engine_model_func.h Latency model of an engine with continuous
/// batching, computed from its profile.
#ifndef ENGINE_MODEL_FUNC_H_
#define ENGINE_MODEL_FUNC_H_

#include "site_type.h"
#include "time_type.h"

namespace fuchsiafall {

/// Returns the profile of an engine all of whose work takes longer than usual:
/// passes and prefill, and so the time until slots become free.
/// @param slowdown Time of work as a multiple of the usual.
engine_profile SlowedProfile(const engine_profile& engine, double slowdown);

/// Computes the prefill time of a prompt.
duration PrefillTime(const engine_profile& engine, uint32_t prompt_tokens);

/// Computes the time of one decode pass without prefill. A pass generates the
/// tokens of one event for each running request.
duration PassTime(const engine_profile& engine, uint32_t running);

/// Computes the mean interval at which slots of a full batch become free,
/// including the prefill of prompts of the usual size.
duration SlotInterval(const engine_profile& engine);

/// Estimates the time from the start of a request to its last token.
/// @param answer_tokens Expected answer length; 0 if unknown.
duration RunTime(const engine_profile& engine,
                 uint32_t running,
                 uint32_t answer_tokens);

/// Computes the longest answer that can be generated within a time.
/// @return Number of tokens, at least 1.
uint32_t AnswerTokensWithin(const engine_profile& engine,
                            uint32_t running,
                            duration span);

/// Estimates the time to the first token of a request.
/// @param ahead Requests queued for a slot before this one.
/// @param pending_prompt_tokens Prompt tokens of admitted requests that are not
///     prefilled yet.
duration FirstTokenTime(const engine_profile& engine,
                        uint32_t running,
                        uint32_t ahead,
                        uint64_t pending_prompt_tokens,
                        uint32_t prompt_tokens);

/// Estimates that time for a request that gets the last free slot.
duration FreeSlotFirstTokenTime(const engine_profile& engine,
                                uint32_t prompt_tokens);

}  // namespace fuchsiafall

#endif  // ENGINE_MODEL_FUNC_H_
