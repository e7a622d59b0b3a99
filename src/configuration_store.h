/// @file configuration_store.h Publishes edits to the platform's store and
/// reads them back.
#ifndef CONFIGURATION_STORE_H_
#define CONFIGURATION_STORE_H_

#include <functional>
#include <optional>
#include <string>

#include "agent_base.h"
#include "network/store_client.h"
#include "outcome_type.h"
#include "proto/fuchsiafall.pb.h"

namespace fuchsiafall {

/// Value of the single store key by which edits are ordered, as read.
struct stored_head {
  proto::config_head head;
  uint64_t modify_index = 0;  ///< 0 if the key does not exist.
  uint64_t watch_index = 0;   ///< Index to pass to WatchHead().
};

/// Reads the head; empty if the key does not exist yet.
outcome<stored_head> ReadHead(const store_client& store);

/// Waits for the head to change after a watch index.
/// @param wait Maximum wait.
outcome<stored_head> WatchHead(const store_client& store,
                               uint64_t watch_index,
                               milliseconds wait);

/// Collects the snapshot and edits that a process lacks to reach a head.
/// @param from Revision of the process.
outcome<store_changes> ChangesSince(const store_client& store,
                                    const proto::config_head& head,
                                    revision from);

/// Reads the whole configuration at a head: its snapshot with its edits
/// applied.
outcome<proto::configuration> ReadConfiguration(const store_client& store,
                                                const proto::config_head& head);

/// Result of publishing an edit.
struct publish_result {
  enum class status_type {
    kAccepted,
    kRefused,      ///< The edit cannot be applied to the configuration.
    kConflict,     ///< Another edit was accepted first; nothing was changed.
    kUnreachable,  ///< The store was not reached; nothing was changed.
    kUnknown,      ///< The write was not answered; it may have succeeded.
  };
  status_type status = status_type::kUnreachable;
  uint64_t revision = 0;    ///< Of the accepted edit.
  std::string last_reason;  ///< Why it was not accepted; on a conflict names
                            ///< the other edit.
};

struct publish_options {
  std::string edit_id;
  std::string author;
  /// Whether to rebase the edit if another is accepted first.
  bool may_rebase = false;
  uint32_t max_attempts = 8;
  /// Sleeps between attempts; empty for no pause.
  std::function<void(milliseconds)> pause;
};

/// Creates an edit based on the current configuration.
/// @return The edit with its change set, or the reason why there is none.
using edit_hook =
    std::function<outcome<proto::edit>(const proto::configuration& current)>;

/// Validates an edit and publishes it by compare-and-swap of the head. If the
/// answer is lost, reads the head back and looks for the edit's id.
publish_result PublishEdit(const store_client& store,
                           const publish_options& options,
                           const edit_hook& make_edit);

/// Reads the head and looks up the revision that an edit created.
/// @return 0 if it is not among the last accepted edits.
outcome<uint64_t> ReadEditRevision(const store_client& store,
                                   const std::string& edit_id);

}  // namespace fuchsiafall

#endif  // CONFIGURATION_STORE_H_
