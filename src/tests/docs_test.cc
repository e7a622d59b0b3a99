/// @file docs_test.cc Checks that the documentation lists all log events,
/// reasons and settings of the code.
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <set>

#include "log_event_func.h"
#include "reason_type.h"

namespace fuchsiafall::tests {

namespace {

std::string ReadDoc(const std::string& name) {
  std::ifstream file(std::string(SOURCE_DIR) + "/docs/" + name);
  return {(std::istreambuf_iterator<char>(file)),
          std::istreambuf_iterator<char>()};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(docs_suite)

BOOST_AUTO_TEST_CASE(events_and_reasons_are_catalogued) {
  const std::string doc = ReadDoc("EVENTS.md");
  std::set<int> numbers;
  const int events[] = {
#define LOG_EVENT(name, number, level, text) number,
#include "table/log_events.h"
#undef LOG_EVENT
  };
  for (int number : events) {
    BOOST_TEST(numbers.insert(number).second,
               "number " << number << " is used twice");
    BOOST_TEST(
        doc.find("| E" + std::to_string(number) + " |") != std::string::npos,
        "E" << number << " is missing from docs/EVENTS.md");
  }
  for (size_t i = 1; i < kReasonCount; ++i) {
    BOOST_TEST(doc.find("| `" + std::string(kReasonTable[i].code) + "` |") !=
                   std::string::npos,
               kReasonTable[i].code << " is missing from docs/EVENTS.md");
  }
}

BOOST_AUTO_TEST_CASE(settings_are_described) {
  const std::string doc = ReadDoc("OPERATING.md");
  const char* names[] = {
#define SETTING_TEXT(member, name, def, help) name,
#define SETTING_NUMBER(member, name, def, min, max, unit, help) name,
#include "table/settings.h"
#undef SETTING_TEXT
#undef SETTING_NUMBER
  };
  for (const char* name : names) {
    BOOST_TEST(doc.find("`" + std::string(name) + "`") != std::string::npos,
               name << " is missing from docs/OPERATING.md");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace fuchsiafall::tests
