// The delay of the event loop as metrics show it.
#include "loop_monitor.h"

#include <chrono>
#include <thread>

#include "check.h"
#include "loopback.h"

namespace junctionrail::internal {
namespace {

// Measurements above `ms`, which is the upper limit of a bucket.
std::uint64_t CountFrom(const LatencyHistogram& histogram, std::int64_t ms) {
  std::uint64_t n = 0;
  for (std::size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
    if (bucket > 0 && kLatencyBucketsMs[bucket - 1] >= ms) n += histogram.buckets[bucket];
  }
  return n;
}

}  // namespace

TEST_GROUP(LoopMonitor){};

// Guards against a process that acts late while no metric says so.
TEST(LoopMonitor, MeasuresAStepThatHoldsUpTheLoop) {
  boost::asio::io_context io;
  EventLog log{testing::QuietLog()};
  LoopMonitor monitor(io, log);
  monitor.Start();
  Timer busy(io);
  busy.After(10, [] { std::this_thread::sleep_for(std::chrono::milliseconds(900)); });
  testing::RunFor(io, 1500);
  EXPECT_TRUE(CountFrom(monitor.lag(), 600) > 0, "a delay of 0.65 s is measured");
}

}  // namespace junctionrail::internal
