// The real programs of a soak, each its own process, and the signals they get.
#ifndef JUNCTIONRAIL_SOAK_FLEET_H_
#define JUNCTIONRAIL_SOAK_FLEET_H_

#include <sys/types.h>

#include <string>
#include <vector>

#include "junctionrail/base.h"

namespace junctionrail::soak {

class Process {
 public:
  // Runs `program` with the settings in `settings_file`; its output goes to
  // `log_file`.
  Process(std::string name, std::string program, std::string settings_file, std::string log_file);
  ~Process();

  void Start();
  void Signal(int signal);
  void Pause();
  void Resume();
  // Starts it again if it has ended and its time has come. Returns a sentence
  // when it ended by itself.
  std::string Poll(TimeMs now);
  bool is_running() const { return pid_ > 0; }
  // Runs, and was told neither to end nor to pause.
  bool is_well() const { return is_running() && !is_paused_ && !is_to_end_; }
  bool is_paused() const { return is_paused_; }
  bool is_to_end() const { return is_to_end_; }
  bool is_killed() const { return is_killed_; }
  const std::string& name() const { return name_; }
  // An end is not restarted for so long; for ends that a fault causes.
  void HoldDown(TimeMs until) { down_until_ = until; }

 private:
  std::string name_;
  std::string program_;
  std::string settings_file_;
  std::string log_file_;
  pid_t pid_ = 0;
  bool is_paused_ = false;
  bool is_to_end_ = false;  // It was sent a signal that ends it.
  bool is_killed_ = false;  // By that signal, or it ended by itself; until it starts again.
  TimeMs down_until_ = 0;
};

}  // namespace junctionrail::soak

#endif  // JUNCTIONRAIL_SOAK_FLEET_H_
