/// @file configuration_log.cc Adoption of configuration revisions.
#include "configuration_log_base.h"

#include "configuration_func.h"

namespace fuchsiafall {

namespace {
constexpr size_t kMaxEditsKept = 128;
}

configuration_log::configuration_log()
    : topology_(std::make_shared<topology>(proto::configuration())) {}

outcome<bool> configuration_log::AdoptSnapshot(
    const proto::configuration& snapshot) {
  if (revision(snapshot.revision()) <= Revision())
    return false;
  outcome<done> checked = CheckInventory(snapshot.inventory());
  if (!checked)
    return failure{checked.LastReason()};
  topology_ = std::make_shared<topology>(snapshot);
  edits_.clear();
  return true;
}

outcome<bool> configuration_log::AdoptEdits(
    const google::protobuf::RepeatedPtrField<proto::edit>& edits) {
  proto::configuration next = topology_->Configuration();
  std::deque<proto::edit> adopted;
  for (const proto::edit& edit : edits) {
    if (edit.revision() <= next.revision())
      continue;
    outcome<done> tested = TestEdit(next, edit);
    if (!tested)
      return failure{tested.LastReason()};
    ExecuteEdit(&next, edit);
    adopted.push_back(edit);
  }
  if (adopted.empty())
    return false;
  topology_ = std::make_shared<topology>(std::move(next));
  edits_.insert(edits_.end(), adopted.begin(), adopted.end());
  while (edits_.size() > kMaxEditsKept)
    edits_.pop_front();
  return true;
}

void configuration_log::WriteUpdate(revision from,
                                    proto::envelope* message) const {
  if (edits_.empty() || edits_.front().revision() > from.value + 1) {
    *message->mutable_snapshot() = topology_->Configuration();
    return;
  }
  proto::config_delta* delta = message->mutable_config_delta();
  for (const proto::edit& edit : edits_) {
    if (edit.revision() > from.value)
      *delta->add_edits() = edit;
  }
}

}  // namespace fuchsiafall
