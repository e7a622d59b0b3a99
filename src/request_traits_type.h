/// @file request_traits_type.h Traits by which a request that crashes engines
/// is recognized.
#ifndef REQUEST_TRAITS_TYPE_H_
#define REQUEST_TRAITS_TYPE_H_

#include <vector>

#include "ids_type.h"

namespace fuchsiafall {

struct request_traits {
  /// Of API key, path and body; retries of a caller have the same one.
  fingerprint request;
  /// Of the parts of its prompt that other requests may share.
  std::vector<fingerprint> parts;

  bool operator==(const request_traits&) const = default;
};

}  // namespace fuchsiafall

#endif  // REQUEST_TRAITS_TYPE_H_
