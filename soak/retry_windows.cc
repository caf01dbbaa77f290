#include "retry_windows.h"

#include <algorithm>

namespace junctionrail::soak {

void RetryWindows::OnRequest(const std::string& service) {
  services_[service].requests.push_back(clock_());
}

void RetryWindows::OnArrival(const std::string& service, const std::string& request) {
  Service& it = services_[service];
  const bool is_first = it.arrived.insert(request).second;
  if (!is_first) it.retries.push_back(clock_());
}

int RetryWindows::CountFrom(const std::vector<TimeMs>& times, TimeMs begin) {
  const auto from = std::lower_bound(times.begin(), times.end(), begin);
  return static_cast<int>(std::lower_bound(from, times.end(), begin + kRetryWindowMs) - from);
}

// The requests count in the window, in the one before it, or in the one half a window before it.
double RetryWindows::Allowed(const Service& service, TimeMs begin) {
  const int requests = std::max({CountFrom(service.requests, begin),
                                 CountFrom(service.requests, begin - kRetryWindowMs),
                                 CountFrom(service.requests, begin - kRetryWindowMs / 2)});
  return kRetryRatio * requests + kRetryExtra;
}

// A window with too many retries can be moved to begin with one of them.
std::vector<std::string> RetryWindows::Violations() const {
  std::vector<std::string> sentences;
  for (const auto& [name, service] : services_) {
    double most = 0;
    std::string sentence;
    for (const TimeMs begin : service.retries) {
      const int retries = CountFrom(service.retries, begin);
      const double allowed = Allowed(service, begin);
      if (retries - allowed <= most) continue;
      most = retries - allowed;
      sentence = "service " + name + " had " + std::to_string(retries) + " retries from " +
                 std::to_string(begin) + " on, of " + std::to_string(allowed) + " allowed";
    }
    if (!sentence.empty()) sentences.push_back(sentence);
  }
  return sentences;
}

int RetryWindows::CountRetries() const {
  int n = 0;
  for (const auto& [name, it] : services_) n += static_cast<int>(it.retries.size());
  return n;
}

}  // namespace junctionrail::soak
