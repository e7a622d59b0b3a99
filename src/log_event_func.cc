/// @file log_event_func.cc Numbered log events, written by easylogging++.
#include "log_event_func.h"

#include <easylogging++.h>
#include <fcntl.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <iostream>
#include <map>
#include <mutex>

INITIALIZE_EASYLOGGINGPP

namespace fuchsiafall {

namespace {

/// Row of the log event table.
struct log_event_info {
  log_event event;
  el::Level level;
  std::string_view text;
};

constexpr log_event_info kLogEventTable[] = {
#define LOG_EVENT(name, number, level, text) \
  {log_event::name, el::Level::level, text},
#include "table/log_events.h"
#undef LOG_EVENT
};

const log_event_info& InfoOf(log_event event) {
  for (const log_event_info& info : kLogEventTable) {
    if (info.event == event)
      return info;
  }
  return kLogEventTable[0];
}

// For each event; 0 for no limit.
std::atomic<uint32_t> max_lines_per_second{0};

/// Counts the lines of one event in the current second.
struct event_line_count {
  int64_t second = 0;
  uint32_t lines = 0;
  uint64_t suppressed = 0;  ///< Since the last line that was written.
};

/// Counts a line against the rate limit of its event.
/// @param suppressed Set to the number of lines suppressed before this one.
/// @return Whether the line may be written.
bool CountLine(log_event event, uint64_t* suppressed) {
  static std::mutex mutex;
  static std::map<log_event, event_line_count> counts;
  const int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(
          std::chrono::steady_clock::now().time_since_epoch())
          .count();
  std::lock_guard lock(mutex);
  event_line_count& count = counts[event];
  if (count.second != second) {
    count.second = second;
    count.lines = 0;
  }
  if (count.lines >= max_lines_per_second) {
    ++count.suppressed;
    return false;
  }
  ++count.lines;
  *suppressed = count.suppressed;
  count.suppressed = 0;
  return true;
}

}  // namespace

void SetUpLog(const std::string& file, const std::string& name) {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(
      el::ConfigurationType::Format,
      "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level " + name + " %msg");
  configuration.setGlobally(el::ConfigurationType::ToFile,
                            file.empty() ? "false" : "true");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput,
                            file.empty() ? "true" : "false");
  if (!file.empty())
    configuration.setGlobally(el::ConfigurationType::Filename, file);
  el::Loggers::reconfigureAllLoggers(configuration);
}

void LimitLogRate(uint32_t max_lines) {
  max_lines_per_second = max_lines;
  // A slow reader of standard output loses lines instead of blocking the
  // process.
  fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

void LogEvent(log_event event, std::string_view detail) {
  const log_event_info& info = InfoOf(event);
  uint64_t suppressed = 0;
  if (max_lines_per_second > 0 && !CountLine(event, &suppressed))
    return;
  std::string suffix =
      suppressed > 0 ? " left_out=" + std::to_string(suppressed) : "";
  // A write to a full non-blocking pipe leaves the stream in a failed state, in
  // which it would drop all later lines.
  if (!std::cout)
    std::cout.clear();
  std::string line = "E" + std::to_string(static_cast<int>(event)) + " " +
                     std::string(info.text) + ": " + std::string(detail) +
                     suffix;
  switch (info.level) {
    case el::Level::Error:
      LOG(ERROR) << line;
      break;
    case el::Level::Warning:
      LOG(WARNING) << line;
      break;
    default:
      LOG(INFO) << line;
      break;
  }
}

std::string_view TextOf(log_event event) {
  return InfoOf(event).text;
}

}  // namespace fuchsiafall
