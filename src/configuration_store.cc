/// @file configuration_store.cc Publishes edits to the platform's store and
/// reads them back.
#include "configuration_store.h"

#include <algorithm>
#include <set>
#include <utility>

#include "configuration_func.h"

namespace fuchsiafall {

namespace {

constexpr char kHeadKey[] = "fuchsiafall/head";
constexpr char kSnapshotPrefix[] = "fuchsiafall/snapshot/";
constexpr int kMaxEditsInHead = 64;
constexpr size_t kMaxHeadBytes = 128 * 1024;
// Limit of the platform's store.
constexpr size_t kMaxValueBytes = 1024 * 1024;
constexpr int kMaxSettledIds = 2000;
constexpr milliseconds kRetryPause{100};

using status_type = publish_result::status_type;

/// Finds the revision that an edit created, by the edit ids kept in the head:
/// those of the last consecutive revisions, in order.
/// @return 0 if the head does not list the edit.
uint64_t FindEditRevision(const proto::config_head& head,
                          const std::string& edit_id) {
  const int count = head.settled_edit_ids_size();
  for (int i = count - 1; i >= 0; --i) {
    if (head.settled_edit_ids(i) == edit_id) {
      return head.revision() - static_cast<uint64_t>(count - 1 - i);
    }
  }
  return 0;
}

std::string DescribeLastEdit(const proto::config_head& head) {
  if (head.edits().empty())
    return "edit of revision " + std::to_string(head.revision());
  const proto::edit& last = *head.edits().rbegin();
  return "edit '" + last.edit_id() + "' by '" + last.author() +
         "' created revision " + std::to_string(last.revision());
}

/// Writes a snapshot under its own key. If the answer is lost, reads the value
/// back to see whether the write succeeded.
outcome<done> WriteSnapshot(const store_client& store,
                            const std::string& key,
                            const std::string& value) {
  if (value.size() > kMaxValueBytes) {
    return failure{"configuration: found " + std::to_string(value.size()) +
                   " bytes, allowed are " + std::to_string(kMaxValueBytes)};
  }
  store_write written = store.write(key, value, 0);
  if (written == store_write::kDone)
    return done{};
  store_value back = store.read(key);
  if (back.status == store_value::status_type::kFound && back.value == value)
    return done{};
  return failure{
      "the platform's store did not accept the configuration snapshot"};
}

/// Makes the head that includes a new edit. When the edits in the head reach
/// their limit, they are replaced by a snapshot.
outcome<proto::config_head> MakeNextHead(const store_client& store,
                                         const proto::config_head& head,
                                         const proto::configuration& current,
                                         const proto::edit& edit) {
  proto::config_head next = head;
  next.set_revision(edit.revision());
  next.add_settled_edit_ids(edit.edit_id());
  auto* ids = next.mutable_settled_edit_ids();
  if (ids->size() > kMaxSettledIds)
    ids->DeleteSubrange(0, ids->size() - kMaxSettledIds);
  *next.add_edits() = edit;
  if (next.edits_size() <= kMaxEditsInHead &&
      next.ByteSizeLong() <= kMaxHeadBytes)
    return next;

  proto::configuration snapshot = current;
  ExecuteEdit(&snapshot, edit);
  next.clear_edits();
  next.set_snapshot_revision(edit.revision());
  next.set_snapshot_key(kSnapshotPrefix + std::to_string(edit.revision()) +
                        "-" + edit.edit_id());
  outcome<done> written =
      WriteSnapshot(store, next.snapshot_key(), snapshot.SerializeAsString());
  if (!written)
    return failure{written.LastReason()};
  return next;
}

/// State of publishing one edit, kept across attempts.
class publisher {
 public:
  publisher(const store_client& store,
            const publish_options& options,
            const edit_hook& make_edit)
      : store_(store), options_(options), make_edit_(make_edit) {}

  publish_result Run() {
    for (uint32_t i = 0; i < options_.max_attempts; ++i) {
      if (i > 0 && options_.pause)
        options_.pause(kRetryPause);
      if (Try())
        return result_;
    }
    if (has_unanswered_write_)
      return Result(status_type::kUnknown,
                    "the platform's store did not answer the write");
    return result_;
  }

 private:
  publish_result Result(status_type status, const std::string& why) const {
    publish_result result = result_;
    result.status = status;
    result.last_reason = why;
    return result;
  }

  /// Makes one attempt.
  /// @return Whether result_ is final.
  bool Try() {
    outcome<stored_head> read = ReadHead(store_);
    if (!read) {
      result_ = Result(status_type::kUnreachable, read.LastReason());
      return false;
    }
    // The pending write was conditional on the old modify index, so it cannot
    // succeed any more.
    if (read->modify_index != written_against_) {
      has_unanswered_write_ = false;
      RemoveUnused(read->head.snapshot_key());
    }
    result_.revision = FindEditRevision(read->head, options_.edit_id);
    if (result_.revision != 0) {
      result_.status = status_type::kAccepted;
      return true;
    }
    if (base_ && *base_ != read->head.revision() && !options_.may_rebase) {
      result_ = Result(status_type::kConflict, DescribeLastEdit(read->head));
      return true;
    }
    base_ = read->head.revision();
    return TryWrite(*read);
  }

  bool TryWrite(const stored_head& read) {
    outcome<proto::configuration> current =
        ReadConfiguration(store_, read.head);
    if (!current) {
      result_ = Result(status_type::kUnreachable, current.LastReason());
      return false;
    }
    outcome<proto::edit> edit = make_edit_(*current);
    if (edit) {
      edit->set_edit_id(options_.edit_id);
      edit->set_author(options_.author);
      edit->set_revision(current->revision() + 1);
    }
    outcome<done> tested =
        edit ? TestEdit(*current, *edit) : failure{edit.LastReason()};
    if (!tested) {
      result_ = Result(status_type::kRefused, tested.LastReason());
      return true;
    }
    outcome<proto::config_head> next =
        MakeNextHead(store_, read.head, *current, *edit);
    if (!next) {
      result_ = Result(status_type::kUnreachable, next.LastReason());
      return false;
    }
    if (next->snapshot_key() != read.head.snapshot_key()) {
      unused_snapshot_candidates_.insert(
          {read.head.snapshot_key(), next->snapshot_key()});
    }
    written_against_ = read.modify_index;
    switch (
        store_.write(kHeadKey, next->SerializeAsString(), read.modify_index)) {
      case store_write::kDone:
        result_.status = status_type::kAccepted;
        result_.revision = next->revision();
        RemoveUnused(next->snapshot_key());
        return true;
      case store_write::kUnknown:
        has_unanswered_write_ = true;
        return false;
      case store_write::kConflict:
        result_ =
            Result(status_type::kConflict, "another edit was accepted first");
        return false;
      case store_write::kNotSent:
        result_ = Result(status_type::kUnreachable,
                         "no connection to the platform's store");
        return false;
    }
    return false;
  }

  /// Removes snapshots that the head does not refer to: replaced ones, and ones
  /// whose head was never written.
  void RemoveUnused(const std::string& in_use) {
    for (const std::string& key :
         std::exchange(unused_snapshot_candidates_, {})) {
      if (key.empty() || key == in_use)
        continue;
      store_value old = store_.read(key);
      if (old.status == store_value::status_type::kFound)
        store_.remove(key, old.modify_index);
    }
  }

  const store_client& store_;
  const publish_options& options_;
  const edit_hook& make_edit_;
  publish_result result_;
  /// Revision that the edit was first based on.
  std::optional<uint64_t> base_;
  /// Whether an unanswered write may yet succeed.
  bool has_unanswered_write_ = false;
  /// Keys of snapshots that the head may no longer refer to.
  std::set<std::string> unused_snapshot_candidates_;
  /// Modify index of the last conditional write.
  uint64_t written_against_ = 0;
};

/// Parses the answer to a read or watch of the head.
outcome<stored_head> ParseHead(const store_value& value) {
  stored_head result;
  result.modify_index = value.modify_index;
  result.watch_index = value.watch_index;
  if (value.status == store_value::status_type::kAbsent)
    return result;
  if (value.status == store_value::status_type::kUnreachable) {
    return failure{"the platform's store cannot be reached"};
  }
  if (!result.head.ParseFromString(value.value))
    return failure{
        "the configuration head in the platform's store cannot be parsed"};
  return result;
}

}  // namespace

outcome<stored_head> ReadHead(const store_client& store) {
  return ParseHead(store.read(kHeadKey));
}

outcome<stored_head> WatchHead(const store_client& store,
                               uint64_t watch_index,
                               milliseconds wait) {
  return ParseHead(store.watch(kHeadKey, watch_index, wait));
}

outcome<store_changes> ChangesSince(const store_client& store,
                                    const proto::config_head& head,
                                    revision from) {
  store_changes changes;
  if (from.value < head.snapshot_revision()) {
    store_value value = store.read(head.snapshot_key());
    proto::configuration snapshot;
    if (value.status != store_value::status_type::kFound ||
        !snapshot.ParseFromString(value.value)) {
      return failure{"the configuration snapshot '" + head.snapshot_key() +
                     "' cannot be read"};
    }
    changes.snapshot = std::move(snapshot);
  }
  for (const proto::edit& edit : head.edits()) {
    if (edit.revision() > from.value)
      *changes.edits.Add() = edit;
  }
  return changes;
}

outcome<proto::configuration> ReadConfiguration(
    const store_client& store,
    const proto::config_head& head) {
  outcome<store_changes> changes = ChangesSince(store, head, revision(0));
  if (!changes)
    return failure{changes.LastReason()};
  proto::configuration configuration;
  if (changes->snapshot)
    configuration = *changes->snapshot;
  for (const proto::edit& edit : changes->edits)
    ExecuteEdit(&configuration, edit);
  return configuration;
}

publish_result PublishEdit(const store_client& store,
                           const publish_options& options,
                           const edit_hook& make_edit) {
  return publisher(store, options, make_edit).Run();
}

outcome<uint64_t> ReadEditRevision(const store_client& store,
                                   const std::string& edit_id) {
  outcome<stored_head> read = ReadHead(store);
  if (!read)
    return failure{read.LastReason()};
  return FindEditRevision(read->head, edit_id);
}

}  // namespace fuchsiafall
