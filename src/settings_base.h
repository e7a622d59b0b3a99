/// @file settings_base.h Settings of a process, read from an INI file and
/// checked by a table.
#ifndef SETTINGS_BASE_H_
#define SETTINGS_BASE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "outcome_type.h"

namespace fuchsiafall {

/// Settings of an entry or agent, described in table/settings.h.
struct settings {
#define SETTING_TEXT(member, name, def, help) std::string member = def;
#define SETTING_NUMBER(member, name, def, min_value, max_value, unit, help) \
  int64_t member = def;
#include "table/settings.h"
#undef SETTING_TEXT
#undef SETTING_NUMBER

  /// Address prefixes to replace before connecting, for forwarded links.
  std::map<std::string, std::string> address_map;
};

/// Reads settings from an INI file.
/// @return The settings, or the first error with file, line, the value found
/// and the values allowed.
outcome<settings> ReadSettings(const std::string& path);

/// Lists all settings with default, bounds and unit, for --help.
std::string DescribeSettings();

/// Splits "a,b,c" at commas and skips empty parts.
std::vector<std::string> SplitList(const std::string& text);

}  // namespace fuchsiafall

#endif  // SETTINGS_BASE_H_
