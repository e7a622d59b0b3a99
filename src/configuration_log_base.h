/// @file configuration_log_base.h The configuration in force in one process,
/// and its last edits.
#ifndef CONFIGURATION_LOG_BASE_H_
#define CONFIGURATION_LOG_BASE_H_

#include <deque>

#include "outcome_type.h"
#include "proto/fuchsiafall.pb.h"
#include "world_base.h"

namespace fuchsiafall {

/// Adopts ever higher revisions, whatever their source is, and hands them on.
class configuration_log {
 public:
  configuration_log();

  const world_ptr& World() const { return world_; }
  revision Revision() const { return world_->Revision(); }

  /// Adopts a whole configuration when it is higher than the present one.
  /// @return Whether it was adopted.
  outcome<bool> AdoptSnapshot(const proto::configuration& snapshot);
  /// Adopts the edits that follow the present revision; older ones are passed
  /// over.
  /// @return Whether any was adopted; a failure when there is a gap before the
  /// first.
  outcome<bool> AdoptEdits(
      const google::protobuf::RepeatedPtrField<proto::edit>& edits);

  /// Writes what brings a peer from its revision to the present one, the edits
  /// if they are still held and else the whole configuration.
  void WriteUpdate(revision from, proto::envelope* message) const;

 private:
  world_ptr world_;  ///< Never null.
  std::deque<proto::edit>
      edits_;  ///< The last edits, contiguous up to the present revision.
};

}  // namespace fuchsiafall

#endif  // CONFIGURATION_LOG_BASE_H_
