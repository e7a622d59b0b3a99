/// @file engine_model_func.h Model of an engine that batches continuously:
/// times worked out from its figures.
#ifndef ENGINE_MODEL_FUNC_H_
#define ENGINE_MODEL_FUNC_H_

#include "site_type.h"
#include "time_type.h"

namespace fuchsiafall {

/// Computes the time in which an engine reads a prompt.
duration PrefillTime(const engine_profile& engine, uint32_t prompt_tokens);

/// Computes the time of one pass, which gives each running request the tokens
/// of one event, without prompts read in between.
duration PassTime(const engine_profile& engine, uint32_t running);

/// Computes the mean time between two places that become free while the batch
/// is full, prompts of the usual size included.
duration PlaceInterval(const engine_profile& engine);

/// Estimates how long a request runs.
/// @param answer_tokens Expected; 0 where it is not known.
duration RunTime(const engine_profile& engine,
                 uint32_t running,
                 uint32_t answer_tokens);

/// Computes the longest answer that is over within a time.
/// @return In tokens, at least 1.
uint32_t AnswerTokensWithin(const engine_profile& engine,
                            uint32_t running,
                            duration span);

/// Estimates the time to the first token of a request.
/// @param ahead Requests that wait for a place before this one.
/// @param unread Prompt tokens that are admitted and not read yet.
duration FirstTokenTime(const engine_profile& engine,
                        uint32_t running,
                        uint32_t ahead,
                        uint64_t unread,
                        uint32_t prompt_tokens);

}  // namespace fuchsiafall

#endif  // ENGINE_MODEL_FUNC_H_
