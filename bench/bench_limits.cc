// What it costs to hold upstreams' limits over all entries: bytes and processor time of entries
// and of the one agent that counts, at growing sizes. Prints; asserts nothing.
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "junctionrail/tenancy.h"

namespace junctionrail {
namespace {

using Clock = std::chrono::steady_clock;

constexpr DurationMs kStepMs = 25;
constexpr int kSeconds = 10;
constexpr double kLimitPerS = 2;
// Each entry wants to send so often to each upstream with a limit.
constexpr int kStepsBetweenRequests = 20;

double MillisecondsSince(Clock::time_point start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

std::string Instance(int n) { return "instance-" + std::to_string(n); }

struct Cost {
  double entries_ms = 0;  // Of all entries together.
  double giver_ms = 0;
  std::size_t bytes = 0;  // Both ways.
  int taken = 0;
};

int CountTaken(const std::vector<QuotaClient::Outcome>& outcomes) {
  int taken = 0;
  for (const auto& it : outcomes) {
    if (it.admission.decision == QuotaClient::Decision::kAdmitted) ++taken;
  }
  return taken;
}

// One step of an entry: its requests, and what its giver answers.
void Pass(QuotaClient* taker, QuotaAllocator* giver, int upstreams, bool has_requests, TimeMs now,
          Cost* cost) {
  auto start = Clock::now();
  std::uint64_t ticket = 0;
  for (int k = 0; has_requests && k < upstreams; ++k) {
    const auto verdict = taker->AcquireForUpstream(Instance(k), ++ticket, now);
    if (verdict.decision == QuotaClient::Decision::kAdmitted) ++cost->taken;
  }
  const auto messages = taker->TakeMessages(now);
  cost->entries_ms += MillisecondsSince(start);
  for (const auto& it : messages) {
    start = Clock::now();
    const QuotaGrant grant = giver->OnRequest(it.request, now);
    cost->giver_ms += MillisecondsSince(start);
    cost->bytes += EncodeQuotaRequest(it.request).size();
    if (!grant.allocations.empty()) cost->bytes += EncodeQuotaGrant(grant).size();
    start = Clock::now();
    cost->taken += CountTaken(taker->OnGrant(grant, now));
    cost->entries_ms += MillisecondsSince(start);
  }
}

void Measure(int entries, int upstreams) {
  QuotaAllocator giver;
  std::vector<std::unique_ptr<QuotaClient>> takers;
  TimeMs now = 1000000;
  for (int n = 0; n < entries; ++n) {
    takers.push_back(std::make_unique<QuotaClient>("entry-" + std::to_string(n)));
    takers.back()->SetEntryCount(entries, now);
    takers.back()->SetAllocators({{"agent", "10.0.0.1:1"}}, now);
    for (int k = 0; k < upstreams; ++k)
      takers.back()->SetUpstreamLimit(Instance(k), RateLimit{kLimitPerS}, now);
  }
  Cost cost;
  const int steps = static_cast<int>(kSeconds * DurationMs{1000} / kStepMs);
  for (int step = 0; step < steps; ++step) {
    now += kStepMs;
    auto start = Clock::now();
    giver.Tick(now);
    cost.giver_ms += MillisecondsSince(start);
    for (int n = 0; n < entries; ++n) {
      const bool has_requests = (step + n) % kStepsBetweenRequests == 0;
      Pass(takers[static_cast<std::size_t>(n)].get(), &giver, upstreams, has_requests, now, &cost);
    }
  }
  std::printf("%8d %10d %14.1f %14.3f %14.3f %12.2f\n", entries, upstreams,
              static_cast<double>(cost.bytes) / entries / kSeconds,
              cost.entries_ms / entries / kSeconds, cost.giver_ms / kSeconds,
              static_cast<double>(cost.taken) / upstreams / kSeconds);
}

}  // namespace
}  // namespace junctionrail

int main() {
  std::printf("%8s %10s %14s %14s %14s %12s\n", "entries", "upstreams", "B/s an entry",
              "ms/s an entry", "ms/s at giver", "sent/s each");
  for (const int upstreams : {1, 8, 24}) {
    for (const int entries : {4, 25, 100, 320}) junctionrail::Measure(entries, upstreams);
  }
}
