/// @file configuration_file.cc Parses the operators' inventory (JSON) and rules
/// (INI) files.
#include <Poco/AutoPtr.h>
#include <Poco/Exception.h>
#include <Poco/NumberParser.h>
#include <Poco/Util/IniFileConfiguration.h>
#include <google/protobuf/util/json_util.h>

#include <fstream>
#include <set>
#include <sstream>

#include "configuration_func.h"

namespace fuchsiafall {

outcome<proto::inventory> ReadInventory(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    return failure{path + ": cannot be opened"};
  std::stringstream text;
  text << file.rdbuf();
  proto::inventory inventory;
  google::protobuf::util::Status status =
      google::protobuf::util::JsonStringToMessage(text.str(), &inventory);
  if (!status.ok())
    return failure{path + ": " + std::string(status.message())};
  outcome<done> checked = CheckInventory(inventory);
  if (!checked)
    return failure{path + ": " + checked.LastReason()};
  return inventory;
}

outcome<proto::rules> ReadRules(const std::string& path) {
  proto::rules rules;
#define RULE(field, name, def, min_value, max_value, unit, help) \
  rules.set_##field(def);
#include "table/rules.h"
#undef RULE
  if (path.empty())
    return rules;

  Poco::AutoPtr<Poco::Util::IniFileConfiguration> file;
  try {
    file = new Poco::Util::IniFileConfiguration(path);
  } catch (const Poco::Exception& e) {
    return failure{path + ": cannot be read as INI: " + e.displayText()};
  }
  std::set<std::string> names;
  Poco::Util::AbstractConfiguration::Keys sections;
  file->keys(sections);
  for (const std::string& section : sections) {
    Poco::Util::AbstractConfiguration::Keys keys;
    file->keys(section, keys);
    for (const std::string& key : keys) {
      names.insert(std::string(section).append(".").append(key));
    }
  }
  std::string allowed;
#define RULE(field, name, def, min_value, max_value, unit, help)     \
  allowed += std::string(allowed.empty() ? "" : ", ") + name;        \
  if (names.erase(name) > 0) {                                       \
    unsigned number = 0;                                             \
    std::string found = file->getRawString(name);                    \
    if (!Poco::NumberParser::tryParseUnsigned(found, number) ||      \
        number < (min_value) || number > (max_value)) {              \
      return failure{path + ": " + name + ": found '" + found +      \
                     "', allowed is a whole number from " #min_value \
                     " to " #max_value " " unit};                    \
    }                                                                \
    rules.set_##field(number);                                       \
  }
#include "table/rules.h"
#undef RULE
  if (names.empty())
    return rules;
  return failure{path + ": " + *names.begin() +
                 ": unknown rule, allowed is one of " + allowed};
}

}  // namespace fuchsiafall
