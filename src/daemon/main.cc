// junctionraild: one process of the system, an entry or an agent by its settings.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <malloc.h>
#include <spdlog/spdlog.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <type_traits>

#include "daemon.h"
#include "direct_daemon.h"
#include "junctionrail/settings.h"
#include "junctionrail/telemetry.h"
#include "settings_file.h"

ABSL_FLAG(std::string, settings, "", "The JSON file with this process's settings.");
ABSL_FLAG(bool, check_settings, false, "Check the settings file and exit.");

namespace {

// Blocks from this size on are given back to the kernel when they are freed. The allocator's own
// threshold rises with what was freed, up to megabytes: it would keep what large bodies took.
constexpr int kReturnedBlockBytes = 128 << 10;
// Exit codes, as docs/SETTINGS.md lists them.
constexpr int kExitDone = 0;
constexpr int kExitSettings = 2;

using ReadAgain = junctionrail::Result<junctionrail::Settings, junctionrail::DocumentError>;

// The settings were read again. What the path through agents takes from them is
// read once; a changed file is checked and reported there. With a malformed one
// the process goes on with what it has.
template <class Daemon>
void Reload(Daemon& daemon, const ReadAgain& settings) {
  if constexpr (std::is_same_v<Daemon, junctionrail::internal::DirectEntry> ||
                std::is_same_v<Daemon, junctionrail::internal::DirectAgent>) {
    if (settings) return daemon.Reload(settings.value());
    daemon.KeepSettings(settings.error().Sentence());
  } else if (settings) {
    spdlog::info("the settings of {} were read again", settings.value().id);
  } else {
    spdlog::error("{}", settings.error().Sentence());
  }
}

template <class Daemon>
int Run(const junctionrail::Settings& settings, const std::string& file) {
  boost::asio::io_context io(1);
  auto daemon = std::make_unique<Daemon>(io, settings);
  const auto error = daemon->Start();
  if (error) {
    std::fprintf(stderr, "%s: %s: expected a free address to listen at, found %s\n", file.c_str(),
                 error->path.c_str(), error->sentence.c_str());
    return kExitSettings;
  }
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&daemon](const boost::system::error_code& ec, int) {
    if (!ec) daemon->Stop();
  });
  junctionrail::internal::SettingsFile settings_file(io, file);
  settings_file.Watch([&daemon](const ReadAgain& changed) { Reload(*daemon, changed); });
  io.run();
  spdlog::default_logger()->flush();
  return kExitDone;
}

}  // namespace

int main(int argc, char** argv) {
  mallopt(M_MMAP_THRESHOLD, kReturnedBlockBytes);
  // Until the settings are watched: they are read below in any case.
  std::signal(SIGHUP, SIG_IGN);
  absl::SetProgramUsageMessage("junctionraild --settings=FILE [--check_settings]");
  absl::ParseCommandLine(argc, argv);
  std::string file = absl::GetFlag(FLAGS_settings);
  const char* from_environment = std::getenv("JUNCTIONRAIL_CONFIG");
  if (file.empty() && from_environment != nullptr) file = from_environment;
  if (file.empty()) {
    std::fprintf(stderr, "--settings: expected a file, found nothing\n");
    return kExitSettings;
  }
  const auto settings = junctionrail::ReadSettings(file);
  if (!settings) {
    std::fprintf(stderr, "%s\n", settings.error().Sentence().c_str());
    return kExitSettings;
  }
  if (absl::GetFlag(FLAGS_check_settings)) {
    std::printf("%s: the settings are well formed\n", file.c_str());
    return kExitDone;
  }
  const junctionrail::Settings& checked = settings.value();
  junctionrail::StartLogs(checked.log_format, checked.log_level, checked.id);
  std::signal(SIGPIPE, SIG_IGN);
  if (checked.direct) {
    return checked.role == junctionrail::Role::kEntry
               ? Run<junctionrail::internal::DirectEntry>(checked, file)
               : Run<junctionrail::internal::DirectAgent>(checked, file);
  }
  if (checked.role == junctionrail::Role::kEntry) {
    return Run<junctionrail::internal::EntryDaemon>(checked, file);
  }
  return Run<junctionrail::internal::AgentDaemon>(checked, file);
}
