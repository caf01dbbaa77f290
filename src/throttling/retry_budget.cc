#include "junctionrail/throttling.h"

namespace junctionrail {

void RetryBudget::OnRequest(const std::string& service, TimeMs now) {
  Window& window = windows_[service];
  Expire(&window, now);
  window.requests.push_back(now);
}

bool RetryBudget::TryConsume(const std::string& service, TimeMs now) {
  Window& window = windows_[service];
  Expire(&window, now);
  const double allowed = options_.ratio * static_cast<double>(window.requests.size()) +
                         options_.fixed_attempts / entries_;
  if (static_cast<double>(window.retries.size()) + 1 > allowed) return false;
  window.retries.push_back(now);
  return true;
}

void RetryBudget::Expire(Window* window, TimeMs now) const {
  const TimeMs oldest = now - options_.window_ms;
  while (!window->requests.empty() && window->requests.front() <= oldest) {
    window->requests.pop_front();
  }
  while (!window->retries.empty() && window->retries.front() <= oldest) {
    window->retries.pop_front();
  }
}

}  // namespace junctionrail
