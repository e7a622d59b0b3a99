/// @file configuration_store.h The sequence of accepted edits in the platform's
/// store.
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

/// The one key by which edits are sequenced, as it was read.
struct stored_head {
  proto::config_head head;
  uint64_t modify_index = 0;  ///< 0 while there is none.
  uint64_t watch_index = 0;
};

/// Reads the head; one that does not exist yet is empty.
outcome<stored_head> ReadHead(const store_client& store);

/// Waits for a change of the head since a watch index, for no longer than the
/// wait.
outcome<stored_head> WatchHead(const store_client& store,
                               uint64_t watch_index,
                               milliseconds wait);

/// Collects what a process at some revision lacks of a head.
outcome<store_changes> NewsSince(const store_client& store,
                                 const proto::config_head& head,
                                 revision from);

/// Reads the whole configuration that a head stands for.
outcome<proto::configuration> ReadConfiguration(const store_client& store,
                                                const proto::config_head& head);

/// How the publishing of an edit ended.
struct publish_result {
  enum class status_type {
    kAccepted,
    kRefused,      ///< The edit cannot be executed on the configuration.
    kConflict,     ///< Another edit came first; nothing was changed.
    kUnreachable,  ///< The store was not reached; nothing was changed.
    kUnknown,      ///< The store gave no answer; the edit may be accepted.
  };
  status_type status = status_type::kUnreachable;
  uint64_t revision = 0;    ///< Of the accepted edit.
  std::string last_reason;  ///< Why it was not accepted; names the other edit
                            ///< of a conflict.
};

struct publish_options {
  std::string edit_id;
  std::string author;
  bool is_rebased =
      false;  ///< Whether the edit is tested anew after another came first.
  uint32_t most_tries = 8;
  std::function<void(milliseconds)>
      pause;  ///< Waits between tries; empty for not at all.
};

/// Makes an edit's change against the configuration that it will follow.
/// @return The edit with its change set, or why there is none.
using edit_hook =
    std::function<outcome<proto::edit>(const proto::configuration& current)>;

/// Tests an edit and has it accepted by compare-and-swap of the head. A lost
/// answer is settled by reading back whether the head holds the edit's id.
publish_result PublishEdit(const store_client& store,
                           const publish_options& options,
                           const edit_hook& make_edit);

/// Tells whether an edit was accepted, and as which revision; 0 when it is not
/// known there.
outcome<uint64_t> SettleEdit(const store_client& store,
                             const std::string& edit_id);

}  // namespace fuchsiafall

#endif  // CONFIGURATION_STORE_H_
