/// @file store_revision_type.h Revision of the platform's store.
#ifndef STORE_REVISION_TYPE_H_
#define STORE_REVISION_TYPE_H_

#include <compare>
#include <cstdint>
#include <ostream>

namespace fuchsiafall {

/// Revision of the platform's store. A store that was restored from an older
/// copy begins a new era and gives out numbers again, so numbers order
/// revisions within one era only.
struct store_revision {
  store_revision() = default;
  /// Revision of an unknown era.
  store_revision(uint64_t number_only) : number(number_only) {}
  store_revision(uint64_t era_of, uint64_t number_of)
      : era(era_of), number(number_of) {}

  friend auto operator<=>(const store_revision&,
                          const store_revision&) = default;

  uint64_t era = 0;     ///< 0 if unknown.
  uint64_t number = 0;  ///< 0 for none.
};

inline std::ostream& operator<<(std::ostream& to, const store_revision& shown) {
  return to << shown.era << "." << shown.number;
}

}  // namespace fuchsiafall

#endif  // STORE_REVISION_TYPE_H_
