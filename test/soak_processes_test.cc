// The soak's own processes: what they may not do to the program that drives them.
#include <filesystem>

#include "../soak/fleet.h"
#include "check.h"
#include "loopback.h"

namespace junctionrail::soak {

TEST_GROUP(SoakProcesses){};

// Guards against "bind: Address already in use" in the soak: a process that was paused before its
// program began kept the driver's sockets open.
TEST(SoakProcesses, KeepNoSocketOfTheDriverHoweverSoonTheyArePaused) {
  constexpr int kTries = 50;
  boost::asio::io_context io;
  const auto script = [](const testing::SeenRequest&, const auto&) {};
  for (int n = 0; n < kTries; ++n) {
    auto upstream = std::make_unique<testing::ScriptedUpstream>(io, script);
    const Endpoint endpoint = upstream->endpoint();
    Process process("sleeper", "/bin/sleep", "", "/dev/null");
    process.Start();
    process.Pause();
    upstream->Crash();
    upstream = nullptr;
    std::string error;
    try {
      testing::ScriptedUpstream again(io, script, endpoint);
    } catch (const std::exception& e) {
      error = e.what();
    }
    EXPECT_TEXT("", error, "the address is free again");
  }
}

}  // namespace junctionrail::soak
