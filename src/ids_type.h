/// @file ids_type.h Identifiers, each with a type of its own.
#ifndef IDS_TYPE_H_
#define IDS_TYPE_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace fuchsiafall {

/// Value that does not convert to or from other types with the same
/// representation.
template <typename Tag, typename Value>
struct strong_typedef {
  Value value{};

  strong_typedef() = default;
  explicit strong_typedef(Value v) : value(std::move(v)) {}
  auto operator<=>(const strong_typedef&) const = default;
};

using vm_id = strong_typedef<struct vm_tag, std::string>;
using domain_id = strong_typedef<struct domain_tag, std::string>;
using service_id = strong_typedef<struct service_tag, std::string>;
using version_id = strong_typedef<struct version_tag, std::string>;
using organisation_id = strong_typedef<struct organisation_tag, std::string>;
using revision = strong_typedef<struct revision_tag, uint64_t>;
using incarnation = strong_typedef<struct incarnation_tag, uint64_t>;
using attempt_id = strong_typedef<struct attempt_tag, uint64_t>;
using fingerprint = strong_typedef<struct fingerprint_tag, uint64_t>;
using chunk_index = strong_typedef<struct chunk_tag, uint32_t>;
/// 32 raw bytes of SHA-256.
using digest = strong_typedef<struct digest_tag, std::string>;

}  // namespace fuchsiafall

template <typename Tag, typename Value>
struct std::hash<fuchsiafall::strong_typedef<Tag, Value>> {
  size_t operator()(const fuchsiafall::strong_typedef<Tag, Value>& id) const {
    return std::hash<Value>()(id.value);
  }
};

#endif  // IDS_TYPE_H_
