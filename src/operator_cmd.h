/// @file operator_cmd.h The commands of the one binary.
#ifndef OPERATOR_CMD_H_
#define OPERATOR_CMD_H_

#include <string>
#include <vector>

#include "network/node_runtime.h"

namespace fuchsiafall {

/// Arguments and options of an operators' command.
struct command_line {
  std::vector<std::string> arguments;  ///< Without the command's own name.
  std::string store;                   ///< ip:port of the platform's store.
  std::string author;                  ///< Name written into edits.
  std::string edit_id;  ///< Chosen by the caller; empty for a random one.
  std::string output;   ///< Folder that chunks are written to.
  uint32_t chunk_bytes = 0;
  uint32_t wait_ms = 0;   ///< Time to wait for processes to answer.
  std::string listen_ip;  ///< Address at which answers of processes arrive.
  link_keys keys;
  bool json = false;
  bool watch = false;
};

/// Names that an option may be left at.
std::string NewEditId();

/// Prints one error to standard error.
exit_code PrintError(exit_code code, const std::string& why);

exit_code RunCheck(const command_line& line);
exit_code RunApply(const command_line& line);
exit_code RunDiff(const command_line& line);
exit_code RunTakeOut(const command_line& line);
exit_code RunReturn(const command_line& line);
exit_code RunSettle(const command_line& line);
exit_code RunStatus(const command_line& line);
exit_code RunRollout(const command_line& line);
exit_code RunManifest(const command_line& line);

/// Understands a command line and runs its command.
exit_code RunCommand(int argc, char** argv);

}  // namespace fuchsiafall

#endif  // OPERATOR_CMD_H_
