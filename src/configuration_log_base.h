/// @file configuration_log_base.h Current configuration of a process and its
/// most recent edits.
#ifndef CONFIGURATION_LOG_BASE_H_
#define CONFIGURATION_LOG_BASE_H_

#include <deque>

#include "outcome_type.h"
#include "proto/fuchsiafall.pb.h"
#include "topology_base.h"

namespace fuchsiafall {

/// Keeps the highest configuration revision received, from the store or from a
/// peer, and writes updates for peers that have an older one.
class configuration_log {
 public:
  configuration_log();

  const topology_ptr& Topology() const { return topology_; }
  revision Revision() const { return topology_->Revision(); }

  /// Adopts a whole configuration if its revision is higher than the current
  /// one.
  /// @return Whether it was adopted.
  outcome<bool> AdoptSnapshot(const proto::configuration& snapshot);
  /// Applies the edits that follow the current revision; older ones are
  /// skipped.
  /// @return Whether any was applied; a failure if revisions are missing before
  /// the first.
  outcome<bool> AdoptEdits(
      const google::protobuf::RepeatedPtrField<proto::edit>& edits);

  /// Writes the update that brings a peer from its revision to the current one:
  /// the edits if they are still kept, otherwise the whole configuration.
  void WriteUpdate(revision from, proto::envelope* message) const;

 private:
  topology_ptr topology_;  ///< Never null.
  /// The last edits, contiguous up to the current revision.
  std::deque<proto::edit> edits_;
};

}  // namespace fuchsiafall

#endif  // CONFIGURATION_LOG_BASE_H_
