/// @file operator_cmd.h Commands of the fuchsiafall binary.
#ifndef OPERATOR_CMD_H_
#define OPERATOR_CMD_H_

#include <string>
#include <vector>

#include "network/node_runtime.h"

namespace fuchsiafall {

/// Arguments and options of an operator command.
struct command_line {
  std::vector<std::string> arguments;  ///< Without the command's name.
  std::string store;                   ///< ip:port of the platform's store.
  std::string author;                  ///< Author recorded in edits.
  std::string edit_id;  ///< Given by the operator; empty for a random one.
  std::string output;   ///< Directory to write chunks to; empty for none.
  uint32_t chunk_bytes = 0;
  uint32_t wait_ms = 0;   ///< Time to wait for processes to answer.
  std::string listen_ip;  ///< Address to receive the processes' answers on.
  link_keys keys;
  bool json = false;
  bool watch = false;
};

/// Generates a random edit id.
std::string NewEditId();

/// Prints an error to standard error.
/// @return The given exit code.
exit_code PrintError(exit_code code, const std::string& reason);

exit_code RunCheck(const command_line& line);
exit_code RunApply(const command_line& line);
exit_code RunDiff(const command_line& line);
exit_code RunTakeOut(const command_line& line);
exit_code RunReturn(const command_line& line);
exit_code RunSettle(const command_line& line);
exit_code RunStatus(const command_line& line);
exit_code RunRollout(const command_line& line);
exit_code RunManifest(const command_line& line);

/// Parses the command line and runs its command.
exit_code RunCommand(int argc, char** argv);

}  // namespace fuchsiafall

#endif  // OPERATOR_CMD_H_
