/// @file server_sent_event_func.h Parsing of the blocks of a text/event-stream,
/// each of which ends with a blank line.
#ifndef SERVER_SENT_EVENT_FUNC_H_
#define SERVER_SENT_EVENT_FUNC_H_

#include <cstdint>
#include <string_view>

namespace fuchsiafall {

/// What a block of an event stream contains.
enum class event_block_type {
  kEvent,      ///< An event with its id and data.
  kFiller,     ///< No event: only comments, empty lines and retry times.
  kMalformed,  ///< Anything else; it cannot be placed in the stream.
};

struct parsed_event_block {
  event_block_type type = event_block_type::kMalformed;
  uint64_t id = 0;  ///< Of an event.
};

/// Parses a block of an event stream. Each event needs data and one numeric id:
/// two in a block are two events whose separator was lost.
/// @param block Including its terminating blank line.
parsed_event_block ParseEventBlock(std::string_view block);

}  // namespace fuchsiafall

#endif  // SERVER_SENT_EVENT_FUNC_H_
