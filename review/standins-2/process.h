// A process that a trial starts: junctionraild, or a stand-in that is to end as a process does.
#ifndef JUNCTIONRAIL_REVIEW_STANDINS_2_PROCESS_H_
#define JUNCTIONRAIL_REVIEW_STANDINS_2_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace junctionrail::review {

// Killed when it goes out of scope.
class Process {
 public:
  // `arguments` begins with the program. `variables` are set for it, each as NAME=TEXT, beside
  // those of this process. What it writes goes to `log_file`.
  Process(std::vector<std::string> arguments, std::vector<std::string> variables,
          const std::string& log_file);
  Process(Process&& other) noexcept;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  Process& operator=(Process&&) = delete;
  ~Process();

  bool is_running();
  void Kill();

 private:
  pid_t pid_ = 0;
};

}  // namespace junctionrail::review

#endif  // JUNCTIONRAIL_REVIEW_STANDINS_2_PROCESS_H_
