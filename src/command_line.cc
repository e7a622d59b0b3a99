/// @file command_line.cc Command line of the fuchsiafall binary.
#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

#include "agent_process.h"
#include "entry_process.h"
#include "hosted_process.h"
#include "manifest_func.h"
#include "operator_cmd.h"
#include "platform/documents.h"

namespace fuchsiafall {

namespace {

namespace po = boost::program_options;

using command_function = exit_code (*)(const command_line&);

/// Operator command with its help text.
struct command_info {
  std::string_view name;
  std::string_view arguments;
  std::string_view help;
  bool needs_store;
  command_function run;
};

constexpr command_info kCommands[] = {
    {"check", "INVENTORY [RULES]", "checks an inventory and rules", false,
     RunCheck},
    {"diff", "INVENTORY [RULES]", "shows what apply would change", true,
     RunDiff},
    {"apply", "INVENTORY [RULES]", "applies an inventory and rules", true,
     RunApply},
    {"take-out", "DOMAIN", "takes a failure domain out of service", true,
     RunTakeOut},
    {"return", "DOMAIN", "returns a failure domain to service", true,
     RunReturn},
    {"settle", "EDIT_ID", "shows whether an edit was accepted", true,
     RunSettle},
    {"status", "", "shows all processes with the revision in force", true,
     RunStatus},
    {"rollout", "status", "shows how far each rollout is", true, RunRollout},
    {"manifest", "FILE", "creates a manifest of weights and prints its digest",
     false, RunManifest},
};

constexpr char kExitCodes[] =
    "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 bad input, 4 conflict with "
    "another edit,\n"
    "5 store unreachable, nothing changed, 6 unknown whether the edit was "
    "accepted\n";

void PrintUsage() {
  std::cout << "Usage: fuchsiafall COMMAND [ARGUMENTS] [OPTIONS]\n\n"
            << "  entry --config F.ini   runs an entry, which serves callers\n"
            << "  agent --config F.ini   runs the agent in front of a backend "
               "server\n";
  for (const command_info& command : kCommands) {
    std::cout << "  " << command.name << ' ' << command.arguments << "   "
              << command.help << '\n';
  }
  std::cout << "\n'fuchsiafall COMMAND --help' shows a command's options.\n"
            << kExitCodes;
}

/// Describes the options of operator commands, bound to the fields that they
/// are stored in.
po::options_description OperatorOptions(command_line* line,
                                        std::string* config) {
  po::options_description options("Options");
  auto add = options.add_options();
  add("help", "shows this help");
  add("version", "shows the version");
  add("config", po::value(config), "INI file with platform.store and keys");
  add("store", po::value(&line->store),
      "address of the platform's store, ip:port");
  add("author", po::value(&line->author)->default_value("operator"),
      "author recorded in edits");
  add("edit-id", po::value(&line->edit_id),
      "id of the edit, so that it can be repeated safely");
  add("listen", po::value(&line->listen_ip)->default_value("127.0.0.1"),
      "local address that processes answer to");
  add("wait", po::value(&line->wait_ms)->default_value(2000),
      "ms to wait for the answers of processes");
  add("chunk-bytes",
      po::value(&line->chunk_bytes)->default_value(kDefaultChunkBytes),
      "chunk size in bytes, for manifest");
  add("out", po::value(&line->output),
      "directory to write chunks to, for manifest");
  add("json", po::bool_switch(&line->json), "prints JSON instead of a table");
  add("watch", po::bool_switch(&line->watch),
      "refreshes the output until the rollout is finished");
  return options;
}

outcome<done> ReadOperatorConfig(const std::string& path, command_line* line) {
  if (path.empty())
    return done{};
  outcome<settings> read = ReadSettings(path);
  if (!read)
    return failure{read.LastReason()};
  if (line->store.empty())
    line->store = read->store;
  line->keys = {read->public_key, read->secret_key, read->fleet_key};
  return done{};
}

exit_code RunOperatorCommand(const command_info& command,
                             int argc,
                             char** argv) {
  command_line line;
  std::string config;
  po::options_description options = OperatorOptions(&line, &config);
  po::options_description all = options;
  all.add_options()("argument", po::value(&line.arguments));
  po::positional_options_description positional;
  positional.add("argument", -1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(all)
                  .positional(positional)
                  .run(),
              values);
    po::notify(values);
  } catch (const po::error& e) {
    return PrintError(exit_code::kUsage,
                      std::string(e.what()) + "; see 'fuchsiafall " +
                          std::string(command.name) + " --help'");
  }
  if (values.contains("help")) {
    std::cout << "Usage: fuchsiafall " << command.name << ' '
              << command.arguments << " [OPTIONS]\n"
              << command.help << "\n\n"
              << options << '\n'
              << kExitCodes;
    return exit_code::kOk;
  }
  if (values.contains("version")) {
    std::cout << "fuchsiafall " << FUCHSIAFALL_VERSION << '\n';
    return exit_code::kOk;
  }
  outcome<done> read = ReadOperatorConfig(config, &line);
  if (!read)
    return PrintError(exit_code::kBadInput, read.LastReason());
  if (command.needs_store && line.store.empty()) {
    return PrintError(exit_code::kUsage,
                      "--store: missing, allowed is the store's ip:port");
  }
  if (line.chunk_bytes == 0) {
    return PrintError(exit_code::kUsage,
                      "--chunk-bytes: found 0, allowed is 1 or more");
  }
  return command.run(line);
}

exit_code RunRole(const std::string& role, int argc, char** argv) {
  std::string config;
  po::options_description options("Options");
  options.add_options()("help", "shows this help and all settings")(
      "version", "shows the version")("config", po::value(&config),
                                      "INI file with the settings");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
  } catch (const po::error& e) {
    return PrintError(exit_code::kUsage, e.what());
  }
  if (values.contains("help")) {
    std::cout << "Usage: fuchsiafall " << role << " --config F.ini\n\n"
              << options << "\nSettings, as section.name in the INI file:\n"
              << DescribeSettings();
    return exit_code::kOk;
  }
  if (values.contains("version")) {
    std::cout << "fuchsiafall " << FUCHSIAFALL_VERSION << '\n';
    return exit_code::kOk;
  }
  const char* hosted_settings = std::getenv(platform::kSettingsVariable);
  if (config.empty() && hosted_settings != nullptr)
    return RunHosted(role, hosted_settings);
  if (config.empty())
    return PrintError(exit_code::kUsage,
                      "--config: missing, allowed is an INI file");
  outcome<settings> read = ReadSettings(config);
  if (!read)
    return PrintError(exit_code::kBadInput, read.LastReason());
  if (read->vm.empty() || read->domain.empty()) {
    return PrintError(exit_code::kBadInput,
                      config + ": node.vm and node.domain must be set");
  }
  SetUpLog(read->log_file, read->vm);
  return role == "entry" ? RunEntry(*read) : RunAgent(*read);
}

}  // namespace

exit_code RunCommand(int argc, char** argv) {
  const std::string name = argc > 1 ? argv[1] : "--help";
  if (name == "--help" || name == "help") {
    PrintUsage();
    return argc > 1 ? exit_code::kOk : exit_code::kUsage;
  }
  if (name == "--version") {
    std::cout << "fuchsiafall " << FUCHSIAFALL_VERSION << '\n';
    return exit_code::kOk;
  }
  if (name == "entry" || name == "agent")
    return RunRole(name, argc - 1, argv + 1);
  for (const command_info& command : kCommands) {
    if (command.name == name)
      return RunOperatorCommand(command, argc - 1, argv + 1);
  }
  return PrintError(exit_code::kUsage,
                    "command: found '" + name +
                        "'; 'fuchsiafall --help' lists those allowed");
}

}  // namespace fuchsiafall
