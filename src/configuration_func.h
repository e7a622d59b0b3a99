/// @file configuration_func.h Checks of inventories, and the operators' edits
/// as commands.
#ifndef CONFIGURATION_FUNC_H_
#define CONFIGURATION_FUNC_H_

#include <string>

#include "outcome_type.h"
#include "proto/fuchsiafall.pb.h"

namespace fuchsiafall {

/// Checks that all ids are unique and all references resolve.
/// @return One error with place, what was found and what is allowed.
outcome<done> CheckInventory(const proto::inventory& inventory);

/// Tests whether an edit can be executed on a configuration.
outcome<done> TestEdit(const proto::configuration& current,
                       const proto::edit& edit);

/// Executes a tested edit; all processes do so in the order of revisions.
/// @pre TestEdit() accepted it on the same configuration.
void ExecuteEdit(proto::configuration* configuration, const proto::edit& edit);

/// Computes the difference that turns one inventory into another.
proto::inventory_delta DiffInventories(const proto::inventory& from,
                                       const proto::inventory& to);

/// Whether a delta changes nothing.
bool IsEmptyDelta(const proto::inventory_delta& delta);

/// Reads an inventory from its JSON form.
outcome<proto::inventory> ReadInventory(const std::string& path);

/// Reads rules from an INI file; an empty path gives the defaults.
outcome<proto::rules> ReadRules(const std::string& path);

}  // namespace fuchsiafall

#endif  // CONFIGURATION_FUNC_H_
