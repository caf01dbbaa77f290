#include "junctionrail/throttling.h"

namespace junctionrail {

void RetryBudget::OnRequest(const std::string& service, TimeMs now) {
  Window& window = windows_[service];
  Expire(&window, now);
  window.requests.push_back(now);
}

bool RetryBudget::TryConsume(const std::string& service, TimeMs now) {
  const Usage usage = UsageOf(service, now);
  if (static_cast<double>(usage.retries) + 1 > usage.allowed) return false;
  windows_[service].retries.push_back(now);
  return true;
}

RetryBudget::Usage RetryBudget::UsageOf(const std::string& service, TimeMs now) {
  Window& window = windows_[service];
  Expire(&window, now);
  Usage usage;
  usage.requests = window.requests.size();
  usage.retries = window.retries.size();
  usage.allowed =
      options_.ratio * static_cast<double>(usage.requests) + options_.fixed_attempts / entries_;
  usage.entries = entries_;
  return usage;
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
