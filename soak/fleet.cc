#include "fleet.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <system_error>
#include <utility>

namespace junctionrail::soak {

Process::Process(std::string name, std::string program, std::string settings_file,
                 std::string log_file)
    : name_(std::move(name)),
      program_(std::move(program)),
      settings_file_(std::move(settings_file)),
      log_file_(std::move(log_file)) {}

Process::~Process() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void Process::Start() {
  const std::string settings = "--settings=" + settings_file_;
  char* const argv[] = {program_.data(), const_cast<char*>(settings.c_str()), nullptr};
  is_to_end_ = false;
  is_paused_ = false;
  is_killed_ = false;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file_.c_str(),
                                   O_CREAT | O_WRONLY | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // What the driver has open is not the program's. Unlike after a fork, no signal of the driver
  // meets the child before its program has begun.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error = posix_spawn(&pid_, argv[0], &actions, nullptr, argv, environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error == 0) return;
  pid_ = 0;
  throw std::system_error(error, std::generic_category(), program_);
}

void Process::Signal(int signal) {
  if (pid_ <= 0) return;
  const bool ends = signal == SIGKILL || signal == SIGTERM;
  is_to_end_ = is_to_end_ || ends;
  is_killed_ = is_killed_ || signal == SIGKILL;
  kill(pid_, signal);
  // A paused process sees SIGTERM only when it goes on.
  if (ends && is_paused_) Resume();
}

void Process::Pause() {
  if (pid_ <= 0) return;
  is_paused_ = true;
  kill(pid_, SIGSTOP);
}

void Process::Resume() {
  is_paused_ = false;
  if (pid_ > 0) kill(pid_, SIGCONT);
}

std::string Process::Poll(TimeMs now) {
  std::string sentence;
  int status = 0;
  if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
    pid_ = 0;
    if (!is_to_end_) {
      is_killed_ = true;
      sentence = name_ + " ended by itself, " +
                 (WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status))
                                      : "with " + std::to_string(WEXITSTATUS(status)));
    }
  }
  if (pid_ == 0 && now >= down_until_) Start();
  return sentence;
}

}  // namespace junctionrail::soak
