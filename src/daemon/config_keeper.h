// Keeps an entry's configuration and grants in step with the key-value
// service: reads them whole, watches for changes, and, since a watch can die
// without a word, asks for the next version now and then.
#ifndef JUNCTIONRAIL_DAEMON_CONFIG_KEEPER_H_
#define JUNCTIONRAIL_DAEMON_CONFIG_KEEPER_H_

#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "junctionrail/store.h"

namespace junctionrail::internal {

struct KeeperCallbacks {
  std::function<void(Configuration)> configuration;
  std::function<void(ConfigChange)> change;
  std::function<void(GrantRecord)> grant;
  std::function<std::uint64_t()> version;  // In force now.
  std::function<std::size_t()> entries;    // Live ones, to spread their reads.
  std::function<void()> unreachable;       // After each failure to read.
};

class ConfigKeeper : public std::enable_shared_from_this<ConfigKeeper> {
 public:
  ConfigKeeper(boost::asio::io_context& io, KvClient& kv, std::uint64_t seed,
               KeeperCallbacks callbacks);
  void Start();
  void Stop();

  // Reads everything again, at once unless a read is under way.
  void ReadAgain();

  // Whether the last call to the service was answered, and whether everything
  // has been read at least once.
  bool IsReachable() const { return is_reachable_; }
  bool HasRead() const { return has_read_; }

 private:
  void ReadGrants(std::int64_t config_revision);
  void Watch();
  void OnEvents(const std::vector<KvEvent>& events);
  void OnWatchEnded(bool must_read);
  void Failed();
  void Poll();
  DurationMs Jittered(DurationMs delay);

  KvClient& kv_;
  KeeperCallbacks callbacks_;
  Timer retry_;
  Timer poll_;
  std::mt19937_64 random_;
  std::shared_ptr<HttpCallHandle> watch_;
  std::int64_t seen_revision_ = 0;
  DurationMs backoff_ms_;
  bool is_reading_ = false;
  bool is_reachable_ = false;
  bool has_read_ = false;
  bool is_stopped_ = false;
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_DAEMON_CONFIG_KEEPER_H_
