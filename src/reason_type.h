/// @file reason_type.h Reasons for refusals, retries and drops.
#ifndef REASON_TYPE_H_
#define REASON_TYPE_H_

#include <cstdint>
#include <string_view>

namespace fuchsiafall {

/// Reason for which a request is refused or retried.
enum class reason : uint8_t {
#define REASON(name, code, status, not_run, text) name,
#include "table/reasons.h"
#undef REASON
  kEnd
};

inline constexpr size_t kReasonCount = static_cast<size_t>(reason::kEnd);

/// Row of the table of reasons.
struct reason_info {
  std::string_view code;  ///< Stable code, sent to callers.
  int http_status;        ///< Status of the refusal.
  bool proves_not_run;    ///< Whether the request is known not to have run.
  std::string_view text;  ///< One human-readable line.
};

inline constexpr reason_info kReasonTable[kReasonCount] = {
#define REASON(name, code, status, not_run, text) {code, status, not_run, text},
#include "table/reasons.h"
#undef REASON
};

/// Looks up the row of a reason.
constexpr const reason_info& InfoOf(reason why) {
  return kReasonTable[static_cast<size_t>(why)];
}

/// Converts a number received from another process. Numbers out of range become
/// kEngineFailed, which does not claim that the request has not run.
constexpr reason ReasonFromNumber(uint32_t number) {
  return number < kReasonCount ? static_cast<reason>(number)
                               : reason::kEngineFailed;
}

}  // namespace fuchsiafall

#endif  // REASON_TYPE_H_
