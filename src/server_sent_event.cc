/// @file server_sent_event.cc Parsing of the blocks of a text/event-stream.
#include <Poco/UTF8Encoding.h>

#include <algorithm>
#include <charconv>
#include <optional>

#include "server_sent_event_func.h"

namespace fuchsiafall {

namespace {

/// Event streams are always encoded as UTF-8.
bool IsUtf8(std::string_view text) {
  static const Poco::UTF8Encoding encoding;
  const auto* bytes = reinterpret_cast<const unsigned char*>(text.data());
  const auto size = static_cast<int>(text.size());
  for (int at = 0; at < size;) {
    if (bytes[at] < 0x80) {
      ++at;
      continue;
    }
    const int length = encoding.sequenceLength(bytes + at, size - at);
    if (length > size - at ||
        !Poco::UTF8Encoding::isLegal(bytes + at, length)) {
      return false;
    }
    at += length;
  }
  return true;
}

/// The standard allows any character in the name of an unknown field. Narrower
/// names tell a field from the rest of a line that was overwritten.
bool IsFieldName(std::string_view name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_';
  });
}

/// Removes the first line, which ends with CR, LF or both.
std::string_view TakeLine(std::string_view* block) {
  const size_t end = std::min(block->find_first_of("\r\n"), block->size());
  const std::string_view line = block->substr(0, end);
  block->remove_prefix(end);
  if (!block->empty())
    block->remove_prefix(block->starts_with("\r\n") ? 2 : 1);
  return line;
}

std::optional<uint64_t> ParseId(std::string_view value) {
  while (value.starts_with(' '))
    value.remove_prefix(1);
  uint64_t id = 0;
  const char* end = value.data() + value.size();
  const auto [next, error] = std::from_chars(value.data(), end, id);
  if (error != std::errc() || next != end)
    return std::nullopt;
  return id;
}

}  // namespace

parsed_event_block ParseEventBlock(std::string_view block) {
  if (!IsUtf8(block))
    return {};
  std::optional<uint64_t> id;
  bool has_data = false;
  bool has_other_field = false;
  bool has_line = false;
  bool has_ended = false;
  while (!block.empty()) {
    const std::string_view line = TakeLine(&block);
    if (line.empty()) {
      has_ended = has_line;
      continue;
    }
    if (has_ended)
      return {};
    has_line = true;
    if (line.starts_with(':'))
      continue;
    const size_t colon = std::min(line.find(':'), line.size());
    const std::string_view name = line.substr(0, colon);
    if (!IsFieldName(name))
      return {};
    if (name == "id") {
      const auto value = ParseId(line.substr(std::min(colon + 1, line.size())));
      if (id || !value)
        return {};
      id = value;
    } else if (name == "data") {
      has_data = true;
    } else if (name != "retry") {
      has_other_field = true;
    }
  }
  if (id && has_data)
    return {.type = event_block_type::kEvent, .id = *id};
  if (id || has_data || has_other_field)
    return {.type = event_block_type::kMalformed};
  return {.type = event_block_type::kFiller};
}

}  // namespace fuchsiafall
