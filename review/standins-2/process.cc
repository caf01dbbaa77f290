#include "process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <system_error>
#include <utility>

namespace junctionrail::review {
namespace {

std::vector<char*> PointersTo(std::vector<std::string>* texts) {
  std::vector<char*> pointers;
  for (auto& it : *texts) pointers.push_back(it.data());
  return pointers;
}

}  // namespace

Process::Process(std::vector<std::string> arguments, std::vector<std::string> variables,
                 const std::string& log_file) {
  std::vector<char*> argv = PointersTo(&arguments);
  argv.push_back(nullptr);
  std::vector<char*> envp = PointersTo(&variables);
  for (char** it = environ; *it != nullptr; ++it) envp.push_back(*it);
  envp.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                   O_CREAT | O_WRONLY | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error = posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), envp.data());
  posix_spawn_file_actions_destroy(&actions);
  if (error == 0) return;
  pid_ = 0;
  throw std::system_error(error, std::generic_category(), arguments.front());
}

Process::Process(Process&& other) noexcept : pid_(std::exchange(other.pid_, 0)) {}

Process::~Process() { Kill(); }

bool Process::is_running() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = 0;
  return pid_ > 0;
}

void Process::Kill() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

}  // namespace junctionrail::review
