/// @file log_event_func.cc Numbered log events over easylogging++.
#include "log_event_func.h"

#include <easylogging++.h>

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

void LogEvent(log_event event, std::string_view detail) {
  const log_event_info& info = InfoOf(event);
  std::string line = "E" + std::to_string(static_cast<int>(event)) + " " +
                     std::string(info.text) + ": " + std::string(detail);
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
