// Signals that arrive at this thread at any time.
#ifndef JUNCTIONRAIL_TEST_SUPPORT_SIGNAL_STORM_H_
#define JUNCTIONRAIL_TEST_SUPPORT_SIGNAL_STORM_H_

#include <pthread.h>
#include <signal.h>

#include <atomic>
#include <chrono>
#include <thread>

namespace junctionrail::testing {

// From its construction until its end, the thread that made it gets signals, which are handled and
// do nothing else.
class SignalStorm {
 public:
  SignalStorm() {
    struct sigaction action = {};
    action.sa_handler = [](int) {};
    sigaction(SIGUSR1, &action, &previous_);
    sender_ = std::thread([this, target = pthread_self()] {
      while (!is_over_) {
        pthread_kill(target, SIGUSR1);
        std::this_thread::sleep_for(std::chrono::microseconds(5));
      }
    });
  }
  ~SignalStorm() {
    is_over_ = true;
    sender_.join();
    sigaction(SIGUSR1, &previous_, nullptr);
  }

 private:
  struct sigaction previous_ = {};
  std::atomic<bool> is_over_ = false;
  std::thread sender_;
};

}  // namespace junctionrail::testing

#endif  // JUNCTIONRAIL_TEST_SUPPORT_SIGNAL_STORM_H_
