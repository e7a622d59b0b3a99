/// @file configuration_func.h Validation of inventories and edits, and the
/// operators' input files.
#ifndef CONFIGURATION_FUNC_H_
#define CONFIGURATION_FUNC_H_

#include <string>

#include "outcome_type.h"
#include "proto/fuchsiafall.pb.h"

namespace fuchsiafall {

/// Checks that all ids are unique and all references resolve.
/// @return The first error: the path of the field, the value found and the
/// values allowed.
outcome<done> CheckInventory(const proto::inventory& inventory);

/// Validates that an edit can be applied to a configuration.
outcome<done> TestEdit(const proto::configuration& current,
                       const proto::edit& edit);

/// Applies a validated edit. All processes apply edits in revision order.
/// @pre TestEdit() accepted the edit for the same configuration.
void ExecuteEdit(proto::configuration* configuration, const proto::edit& edit);

/// Computes the delta that turns one inventory into another.
proto::inventory_delta DiffInventories(const proto::inventory& from,
                                       const proto::inventory& to);

/// Whether a delta changes nothing.
bool IsEmptyDelta(const proto::inventory_delta& delta);

/// Reads and validates an inventory in JSON.
outcome<proto::inventory> ReadInventory(const std::string& path);

/// Reads rules from an INI file; an empty path gives the defaults.
outcome<proto::rules> ReadRules(const std::string& path);

}  // namespace fuchsiafall

#endif  // CONFIGURATION_FUNC_H_
