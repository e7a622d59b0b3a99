/// @file child_process.cc Child processes of benches and tests.
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

#include "harness/fleet.h"

namespace fuchsiafall::harness {

child_process::child_process(std::vector<std::string> arguments,
                             std::string log,
                             std::vector<std::string> variables)
    : arguments_(std::move(arguments)),
      log_(std::move(log)),
      variables_(std::move(variables)) {}

child_process::~child_process() {
  if (IsRunning())
    Kill();
}

void child_process::Start() {
  std::vector<char*> argv;
  argv.reserve(arguments_.size() + 1);
  for (std::string& argument : arguments_)
    argv.push_back(argument.data());
  argv.push_back(nullptr);
  std::vector<char*> environment;
  for (char** variable = environ; *variable != nullptr; ++variable)
    environment.push_back(*variable);
  for (std::string& variable : variables_)
    environment.push_back(variable.data());
  environment.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  exit_code_.reset();
  if (posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(),
                  environment.data()) != 0)
    pid_ = -1;
  posix_spawn_file_actions_destroy(&actions);
}

void child_process::Signal(int signal) const {
  if (pid_ > 0)
    kill(pid_, signal);
}

std::optional<int> child_process::Wait(milliseconds timeout) {
  const time_point until = std::chrono::steady_clock::now() + timeout;
  while (IsRunning()) {
    if (std::chrono::steady_clock::now() >= until)
      return std::nullopt;
    std::this_thread::sleep_for(milliseconds(10));
  }
  return exit_code_;
}

void child_process::Kill() {
  Signal(SIGKILL);
  Wait(seconds(10));
}

bool child_process::IsRunning() {
  if (pid_ <= 0)
    return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_)
    return true;
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  pid_ = -1;
  return false;
}

duration child_process::CpuTime() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)),
                   std::istreambuf_iterator<char>());
  const size_t after_name = text.rfind(')');
  if (after_name == std::string::npos)
    return {};
  std::istringstream fields(text.substr(after_name + 2));
  std::string skipped;
  constexpr int kFieldsBeforeTimes = 11;
  for (int i = 0; i < kFieldsBeforeTimes; ++i)
    fields >> skipped;
  int64_t user = 0;
  int64_t system = 0;
  fields >> user >> system;
  return milliseconds((user + system) * 1000 / sysconf(_SC_CLK_TCK));
}

int64_t child_process::ResidentKb() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
  int64_t size = 0;
  int64_t resident = 0;
  file >> size >> resident;
  return resident * sysconf(_SC_PAGESIZE) / 1024;
}

}  // namespace fuchsiafall::harness
