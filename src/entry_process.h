/// @file entry_process.h Process of an entry.
#ifndef ENTRY_PROCESS_H_
#define ENTRY_PROCESS_H_

#include "network/node_runtime.h"

namespace fuchsiafall {

/// Runs an entry until it is shut down.
exit_code RunEntry(const settings& from);

}  // namespace fuchsiafall

#endif  // ENTRY_PROCESS_H_
