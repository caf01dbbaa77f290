// The settings file of a running process: read again on SIGHUP, and when it has
// changed without a signal.
#ifndef JUNCTIONRAIL_DAEMON_SETTINGS_FILE_H_
#define JUNCTIONRAIL_DAEMON_SETTINGS_FILE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <filesystem>
#include <functional>
#include <string>

#include "junctionrail/net.h"
#include "junctionrail/settings.h"

namespace junctionrail::internal {

class SettingsFile {
 public:
  // What was read, or why it cannot be used.
  using Changed = std::function<void(const Result<Settings, DocumentError>&)>;

  SettingsFile(boost::asio::io_context& io, std::string file);
  // Calls `changed` from the io_context's thread. The file as it is now counts
  // as read.
  void Watch(Changed changed);

 private:
  struct Stamp {
    std::filesystem::file_time_type written_at;
    std::uintmax_t bytes = 0;

    bool operator==(const Stamp& other) const {
      return written_at == other.written_at && bytes == other.bytes;
    }
  };

  void AwaitSignal();
  void Look();
  void Read();
  Stamp Stat() const;

  std::string file_;
  boost::asio::signal_set signals_;
  Timer timer_;
  Changed changed_;
  Stamp stamp_;
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_DAEMON_SETTINGS_FILE_H_
