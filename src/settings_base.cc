/// @file settings_base.cc Reading and checking of settings.
#include "settings_base.h"

#include <Poco/AutoPtr.h>
#include <Poco/Exception.h>
#include <Poco/NumberParser.h>
#include <Poco/StringTokenizer.h>
#include <Poco/Util/IniFileConfiguration.h>

#include <fstream>
#include <set>

namespace fuchsiafall {

namespace {

constexpr std::string_view kAddressMapSection = "address_map";

/// Finds the line of a setting in the INI file, for error messages.
/// @return Line number, or 0 if the setting is not found.
int LineOf(const std::string& path, const std::string& name) {
  size_t dot = name.find('.');
  std::string section = "[" + name.substr(0, dot) + "]";
  std::string key = name.substr(dot + 1);
  std::ifstream file(path);
  std::string line;
  bool inside = false;
  for (int number = 1; std::getline(file, line); ++number) {
    if (line.starts_with("["))
      inside = line.starts_with(section);
    if (inside && line.starts_with(key))
      return number;
  }
  return 0;
}

failure InvalidField(const std::string& path,
                     const std::string& name,
                     const std::string& what) {
  return failure{path + ":" + std::to_string(LineOf(path, name)) + ": " + name +
                 ": " + what};
}

/// Collects the full names of all keys below a section.
void CollectKeys(const Poco::Util::AbstractConfiguration& file,
                 const std::string& prefix,
                 std::set<std::string>* names) {
  Poco::Util::AbstractConfiguration::Keys keys;
  file.keys(prefix, keys);
  if (keys.empty() && !prefix.empty())
    names->insert(prefix);
  for (const std::string& key : keys) {
    CollectKeys(
        file,
        prefix.empty() ? key : std::string(prefix).append(".").append(key),
        names);
  }
}

/// Parses a whole number and checks its bounds.
outcome<int64_t> ReadNumber(const std::string& text,
                            int64_t min,
                            int64_t max,
                            const char* unit) {
  Poco::Int64 number = 0;
  if (Poco::NumberParser::tryParse64(text, number) && number >= min &&
      number <= max) {
    return static_cast<int64_t>(number);
  }
  return failure{"found '" + text + "', allowed is a whole number from " +
                 std::to_string(min) + " to " + std::to_string(max) + " " +
                 unit};
}

/// Reads the known settings and removes their names from the set, so that only
/// unknown names remain in it.
outcome<settings> ReadKnownSettings(
    const Poco::Util::AbstractConfiguration& file,
    const std::string& path,
    std::set<std::string>* names) {
  settings result;
#define SETTING_TEXT(member, name, def, help) \
  if (names->erase(name) > 0)                 \
    result.member = file.getRawString(name);
#define SETTING_NUMBER(member, name, def, min_value, max_value, unit, help) \
  if (names->erase(name) > 0) {                                             \
    outcome<int64_t> number =                                               \
        ReadNumber(file.getRawString(name), min_value, max_value, unit);    \
    if (!number)                                                            \
      return InvalidField(path, name, number.LastReason());                 \
    result.member = *number;                                                \
  }
#include "table/settings.h"
#undef SETTING_TEXT
#undef SETTING_NUMBER
  return result;
}

}  // namespace

outcome<settings> ReadSettings(const std::string& path) {
  Poco::AutoPtr<Poco::Util::IniFileConfiguration> file;
  try {
    file = new Poco::Util::IniFileConfiguration(path);
  } catch (const Poco::Exception& e) {
    return failure{path + ": cannot be read as INI: " + e.displayText()};
  }
  std::set<std::string> names;
  CollectKeys(*file, "", &names);
  outcome<settings> result = ReadKnownSettings(*file, path, &names);
  if (!result)
    return result;
  for (const std::string& name : names) {
    if (!name.starts_with(kAddressMapSection)) {
      return InvalidField(
          path, name,
          "unknown setting; 'fuchsiafall agent --help' lists those allowed");
    }
    result->address_map[name.substr(kAddressMapSection.size() + 1)] =
        file->getRawString(name);
  }
  return result;
}

std::string DescribeSettings() {
  std::string text;
#define SETTING_TEXT(member, name, def, help) \
  text += std::string("  ") + name + " = '" + def + "': " + help + "\n";
#define SETTING_NUMBER(member, name, def, min_value, max_value, unit, help) \
  text += std::string("  ") + name + " = " + std::to_string(def) + " " +    \
          unit + " (" + std::to_string(min_value) + " to " +                \
          std::to_string(max_value) + "): " + help + "\n";
#include "table/settings.h"
#undef SETTING_TEXT
#undef SETTING_NUMBER
  return text;
}

std::vector<std::string> SplitList(const std::string& text) {
  Poco::StringTokenizer parts(text, ",",
                              Poco::StringTokenizer::TOK_TRIM |
                                  Poco::StringTokenizer::TOK_IGNORE_EMPTY);
  return {parts.begin(), parts.end()};
}

}  // namespace fuchsiafall
