// The budget of retries over all entries: what arrives at a service beyond the first of each
// request, against the requests that callers sent to it, in every window.
#ifndef JUNCTIONRAIL_SOAK_RETRY_WINDOWS_H_
#define JUNCTIONRAIL_SOAK_RETRY_WINDOWS_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "junctionrail/base.h"

namespace junctionrail::soak {

// The entries' `retry_ratio`, `retry_extra` and `retry_window_ms`.
constexpr double kRetryRatio = 0.2;
constexpr int kRetryExtra = 20;
constexpr DurationMs kRetryWindowMs = 10000;

class RetryWindows {
 public:
  explicit RetryWindows(std::function<TimeMs()> clock) : clock_(std::move(clock)) {}

  // A caller sends a request to the service.
  void OnRequest(const std::string& service);
  // The request arrives at an upstream of the service, to be run or not.
  void OnArrival(const std::string& service, const std::string& request);
  // A sentence for each service with a window that holds more retries than allowed, about the
  // window with the most of them.
  std::vector<std::string> Violations() const;
  int CountRetries() const;

 private:
  struct Service {
    std::vector<TimeMs> requests;
    std::vector<TimeMs> retries;
    std::set<std::string> arrived;
  };
  // Times in order.
  static int CountFrom(const std::vector<TimeMs>& times, TimeMs begin);
  static double Allowed(const Service& service, TimeMs begin);

  std::function<TimeMs()> clock_;
  std::map<std::string, Service> services_;
};

}  // namespace junctionrail::soak

#endif  // JUNCTIONRAIL_SOAK_RETRY_WINDOWS_H_
