/// @file log_event_func.h Numbered log events.
#ifndef LOG_EVENT_FUNC_H_
#define LOG_EVENT_FUNC_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace fuchsiafall {

/// Events of the catalogue, by their numbers.
enum class log_event : int {
#define LOG_EVENT(name, number, level, text) name = number,
#include "table/log_events.h"
#undef LOG_EVENT
};

/// Sets the log's format and its file.
/// @param file Path of the log file; empty for standard error.
/// @param name Name of the process, written on each line.
void SetUpLog(const std::string& file, const std::string& name);

/// Bounds each event to a number of lines a second, with a count of what was
/// left out, and never waits for the reader of standard output.
void BoundLog(uint32_t most);

/// Writes one event with its number, level and text from the catalogue.
/// @param detail What it concerns, as "key=value" words.
void LogEvent(log_event event, std::string_view detail);

/// Looks up the catalogue's text of an event.
std::string_view TextOf(log_event event);

}  // namespace fuchsiafall

#endif  // LOG_EVENT_FUNC_H_
