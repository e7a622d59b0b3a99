/// @file place_message_func.h Messages by which entries request and release
/// places at agents.
#ifndef PLACE_MESSAGE_FUNC_H_
#define PLACE_MESSAGE_FUNC_H_

#include <string>

#include "place_table_base.h"
#include "proto/fuchsiafall.pb.h"

namespace fuchsiafall {

void WritePlaceRequest(const place_request& request,
                       proto::place_question* message);
/// @param entry Address of the entry that sent it.
place_request ReadPlaceRequest(const std::string& entry,
                               const proto::place_question& message);

/// Whether rank and organisation of a place request are within their ranges.
/// ReadPlaceRequest() limits them to these.
bool IsInRange(const proto::place_question& message);

/// @param call Id of the place request that it answers.
void WritePlaceReply(uint64_t call,
                     const place_reply& reply,
                     proto::place_answer* message);
place_reply ReadPlaceReply(const proto::place_answer& message);

/// @param call Id of the place request whose place is released.
/// @param result How the attempt ended for which it was granted.
void WritePlaceRelease(uint64_t call,
                       attempt_result result,
                       proto::place_return* message);
attempt_result ReadAttemptResult(const proto::place_return& message);

}  // namespace fuchsiafall

#endif  // PLACE_MESSAGE_FUNC_H_
