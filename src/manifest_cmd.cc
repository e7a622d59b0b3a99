/// @file manifest_cmd.cc Operator command that creates the manifest of a
/// weights file.
#include <filesystem>
#include <fstream>
#include <iostream>

#include "hash_func.h"
#include "manifest_func.h"
#include "operator_cmd.h"

namespace fuchsiafall {

namespace {

bool WriteBlob(const std::string& directory,
               const digest& name,
               const std::string& bytes) {
  std::ofstream file(directory + "/" + ToHex(name.value), std::ios::binary);
  file << bytes;
  return file.good();
}

}  // namespace

exit_code RunManifest(const command_line& line) {
  if (line.arguments.size() != 1) {
    return PrintError(exit_code::kUsage, "arguments: allowed is one FILE");
  }
  std::ifstream file(line.arguments[0], std::ios::binary);
  if (!file)
    return PrintError(exit_code::kBadInput,
                      line.arguments[0] + ": cannot be opened");
  if (!line.output.empty()) {
    std::error_code error;
    std::filesystem::create_directories(line.output, error);
    if (error)
      return PrintError(exit_code::kBadInput,
                        line.output + ": " + error.message());
  }
  bool written = true;
  outcome<proto::manifest> manifest =
      MakeManifest(&file, line.chunk_bytes,
                   [&](const digest& name, const std::string& bytes) {
                     if (!line.output.empty())
                       written = written && WriteBlob(line.output, name, bytes);
                   });
  if (!manifest) {
    return PrintError(exit_code::kBadInput,
                      line.arguments[0] + ": " + manifest.LastReason());
  }
  const std::string bytes = manifest->SerializeAsString();
  const digest name = DigestOf(bytes);
  if (!line.output.empty())
    written = written && WriteBlob(line.output, name, bytes);
  if (!written)
    return PrintError(exit_code::kFailed, line.output + ": cannot be written");
  std::cout << ToHex(name.value) << '\n';
  return exit_code::kOk;
}

}  // namespace fuchsiafall
