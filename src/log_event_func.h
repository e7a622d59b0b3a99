/// @file log_event_func.h Numbered log events.
#ifndef LOG_EVENT_FUNC_H_
#define LOG_EVENT_FUNC_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace fuchsiafall {

/// Log events with their numbers, from the log event table.
enum class log_event : int {
#define LOG_EVENT(name, number, level, text) name = number,
#include "table/log_events.h"
#undef LOG_EVENT
};

/// Sets the format and the destination of the log.
/// @param file Path of the log file; empty for standard output.
/// @param name Name of the process, written on each line.
void SetUpLog(const std::string& file, const std::string& name);

/// Limits the rate of each event and makes standard output non-blocking. The
/// next line of an event tells how many were suppressed.
/// @param max_lines Maximum lines of one event per second.
void LimitLogRate(uint32_t max_lines);

/// Writes an event with its number, level and text from the table.
/// @param detail Details of the event, as "key=value" pairs.
void LogEvent(log_event event, std::string_view detail);

/// Looks up the text of an event in the table.
std::string_view TextOf(log_event event);

}  // namespace fuchsiafall

#endif  // LOG_EVENT_FUNC_H_
