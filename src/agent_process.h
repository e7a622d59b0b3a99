/// @file agent_process.h Entry point of the agent process.
#ifndef AGENT_PROCESS_H_
#define AGENT_PROCESS_H_

#include "network/node_runtime.h"

namespace fuchsiafall {

/// Runs an agent until it has shut down.
exit_code RunAgent(const settings& from);

}  // namespace fuchsiafall

#endif  // AGENT_PROCESS_H_
