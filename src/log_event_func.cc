/// @file log_event_func.cc Numbered log events over easylogging++.
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

/// Row of the catalogue.
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

std::atomic<uint32_t> lines_per_second{0};  // Of each event; 0 for all.

/// Lines of one event in the present second.
struct event_volume {
  int64_t second = 0;
  uint32_t lines = 0;
  uint64_t left_out = 0;  ///< Since the last line that was written.
};

/// Counts a line against its event's rate.
/// @param left_out Takes the count of those left out before it.
/// @return Whether it may be written.
bool TakeLine(log_event event, uint64_t* left_out) {
  static std::mutex mutex;
  static std::map<log_event, event_volume> volumes;
  const int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(
          std::chrono::steady_clock::now().time_since_epoch())
          .count();
  std::lock_guard lock(mutex);
  event_volume& volume = volumes[event];
  if (volume.second != second) {
    volume.second = second;
    volume.lines = 0;
  }
  if (volume.lines >= lines_per_second) {
    ++volume.left_out;
    return false;
  }
  ++volume.lines;
  *left_out = volume.left_out;
  volume.left_out = 0;
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

void BoundLog(uint32_t most) {
  lines_per_second = most;
  // A reader that does not keep up costs lines, never time.
  fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

void LogEvent(log_event event, std::string_view detail) {
  const log_event_info& info = InfoOf(event);
  uint64_t left_out = 0;
  if (lines_per_second > 0 && !TakeLine(event, &left_out))
    return;
  std::string suffix =
      left_out > 0 ? " left_out=" + std::to_string(left_out) : "";
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
