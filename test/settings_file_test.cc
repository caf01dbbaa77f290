// The settings file of a running process, changed with a signal and without.
#include "settings_file.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <optional>

#include "check.h"
#include "loopback.h"

namespace junctionrail::internal {
namespace {

using testing::RunFor;
using testing::RunUntil;

std::string SettingsWith(const std::string& id) {
  return R"({"role":"agent","id":")" + id +
         R"(","data_hall":"hall-1","direct":{"store":"127.0.0.1:1","metrics":"127.0.0.1:2",)"
         R"("link":"127.0.0.1:3","upstream":"127.0.0.1:4"}})";
}

struct World {
  World() {
    char name[] = "/tmp/junctionrail-settings-XXXXXX";
    const int descriptor = mkstemp(name);
    EXPECT_TRUE(descriptor >= 0, "a file for the test");
    close(descriptor);
    path = name;
    Write(SettingsWith("vm-1"));
    file.emplace(io, path);
    file->Watch([this](const Result<Settings, DocumentError>& settings) {
      seen.push_back(settings ? settings.value().id : settings.error().Sentence());
    });
  }
  ~World() { std::remove(path.c_str()); }

  void Write(const std::string& text) { std::ofstream(path) << text; }
  bool AwaitSeen(std::size_t n) {
    return RunUntil(io, [&] { return seen.size() >= n; });
  }

  boost::asio::io_context io;
  std::string path;
  std::optional<SettingsFile> file;
  std::vector<std::string> seen;  // An id, or what is wrong.
};

}  // namespace

TEST_GROUP(SettingsFiles){};

TEST(SettingsFiles, AreReadAgainOnASignal) {
  World world;
  std::raise(SIGHUP);
  EXPECT_TRUE(world.AwaitSeen(1), "also when nothing changed");
  EXPECT_TEXT("vm-1", world.seen[0], "");
}

TEST(SettingsFiles, AreReadAgainWhenTheyChangeWithoutOne) {
  World world;
  world.Write(SettingsWith("vm-two"));
  EXPECT_TRUE(world.AwaitSeen(1), "a change of the file is noticed");
  EXPECT_TEXT("vm-two", world.seen[0], "");
  RunFor(world.io, 2500);
  EXPECT_NUMBER(1, world.seen.size(), "once");
}

TEST(SettingsFiles, SayWhatIsWrongWithAMalformedOne) {
  World world;
  world.Write(R"({"role":"agent"})");
  EXPECT_TRUE(world.AwaitSeen(1), "it is noticed");
  EXPECT_TRUE(world.seen[0].find("id") != std::string::npos, world.seen[0]);
  world.Write(SettingsWith("vm-3"));
  EXPECT_TRUE(world.AwaitSeen(2), "the next one counts again");
  EXPECT_TEXT("vm-3", world.seen[1], "");
}

TEST(SettingsFiles, SwitchMechanismsOffByName) {
  World world;
  const std::string plain = SettingsWith("vm-1");
  const std::string end = "}}";
  const std::string head = plain.substr(0, plain.size() - end.size());
  const auto read = [&](const std::string& policy) {
    world.Write(head + ",\"policy\":" + policy + end);
    const auto settings = ReadSettings(world.path);
    if (!settings) return settings.error().Sentence();
    const PolicySettings& read = settings.value().direct->policy;
    return std::string(read.settles ? "settles" : "") + (read.interrupts ? " interrupts" : "");
  };
  EXPECT_TEXT("settles interrupts", read("{}"), "all are on where none is named");
  EXPECT_TEXT(" interrupts", read(R"({"settles": false})"), "the others stay on");
  const std::string unknown = read(R"({"settle": false})");
  EXPECT_TRUE(unknown.find("direct.policy.settle") != std::string::npos, unknown);
  const std::string wrong = read(R"({"settles": 1})");
  EXPECT_TRUE(wrong.find("direct.policy.settles: expected true or false") != std::string::npos,
              wrong);
}

}  // namespace junctionrail::internal
