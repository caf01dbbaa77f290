#include "settings_file.h"

#include <csignal>
#include <utility>

namespace junctionrail::internal {
namespace {

// Operators expect a changed file to count within seconds; a look costs one
// system call.
constexpr DurationMs kLookMs = 2000;

}  // namespace

SettingsFile::SettingsFile(boost::asio::io_context& io, std::string file)
    : file_(std::move(file)), signals_(io, SIGHUP), timer_(io) {}

void SettingsFile::Watch(Changed changed) {
  changed_ = std::move(changed);
  stamp_ = Stat();
  AwaitSignal();
  timer_.Every(kLookMs, [this] { Look(); });
}

void SettingsFile::AwaitSignal() {
  signals_.async_wait([this](const boost::system::error_code& ec, int) {
    if (ec) return;
    Read();
    AwaitSignal();
  });
}

void SettingsFile::Look() {
  if (!(Stat() == stamp_)) Read();
}

// Noted before it is read: what is written while it is read counts as a change.
void SettingsFile::Read() {
  stamp_ = Stat();
  changed_(ReadSettings(file_));
}

// A file that cannot be looked at differs from one that can; reading it says why.
SettingsFile::Stamp SettingsFile::Stat() const {
  std::error_code ec;
  Stamp stamp;
  stamp.written_at = std::filesystem::last_write_time(file_, ec);
  stamp.bytes = std::filesystem::file_size(file_, ec);
  return stamp;
}

}  // namespace junctionrail::internal
