// Timers that are cancelled or set anew while their time is over.
#include <chrono>
#include <thread>

#include "check.h"
#include "junctionrail/net.h"
#include "loopback.h"

namespace junctionrail {

TEST_GROUP(Timers){};

TEST(Timers, ThatAreCancelledAfterTheirTimeIsOverDoNotCall) {
  // Found by the fault soak, seed 348 on a busy machine: a caller's timer that
  // was set anew called twice, so two requests went out on one connection.
  boost::asio::io_context io;
  Timer first(io);
  Timer second(io);
  bool is_called = false;
  first.After(1, [&second] { second.Cancel(); });
  second.After(2, [&is_called] { is_called = true; });
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  testing::RunFor(io, 50);
  EXPECT_TRUE(!is_called, "both were due when the first call cancelled the second");
}

TEST(Timers, ThatAreSetAnewAfterTheirTimeIsOverCallOnce) {
  boost::asio::io_context io;
  Timer first(io);
  Timer second(io);
  int calls = 0;
  first.After(1, [&] { second.After(10, [&calls] { ++calls; }); });
  second.After(2, [&calls] { ++calls; });
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  testing::RunFor(io, 100);
  EXPECT_NUMBER(1, calls, "the earlier setting is forgotten");
}

}  // namespace junctionrail
