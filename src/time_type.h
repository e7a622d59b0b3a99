/// @file time_type.h Clock types. Code that makes decisions takes the current
/// time as an argument.
#ifndef TIME_TYPE_H_
#define TIME_TYPE_H_

#include <chrono>

namespace fuchsiafall {

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using milliseconds = std::chrono::milliseconds;
using seconds = std::chrono::seconds;

/// Converts a duration to whole milliseconds.
inline int64_t ToMs(duration span) {
  return std::chrono::duration_cast<milliseconds>(span).count();
}

/// Converts a duration to seconds, with their fraction.
inline double ToSeconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace fuchsiafall

#endif  // TIME_TYPE_H_
