// What entries and agents keep in the platform's store of requests that end upstreams: a
// record of each end and of each refusal, with an expiry. For processes that no link
// reaches, and for those that start later.
#ifndef JUNCTIONRAIL_DAEMON_QUARANTINE_KEEPER_H_
#define JUNCTIONRAIL_DAEMON_QUARANTINE_KEEPER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "junctionrail/event_log.h"
#include "junctionrail/net.h"
#include "junctionrail/quarantine.h"
#include "platform.h"

namespace junctionrail::internal {

// Writes records. Two calls a record: a lease, and the record under it.
class QuarantineRecorder : public std::enable_shared_from_this<QuarantineRecorder> {
 public:
  // `writer` is this process; each has records of its own.
  QuarantineRecorder(boost::asio::io_context& io, platform::StoreClient& store, EventLog& log,
                     std::string writer);

  void Record(const UpstreamCrash& end);
  void Record(const RequestDigest& refused);
  // The operators let it be tried again: removes what all processes wrote of it.
  void Release(const RequestDigest& refused, std::function<void(bool is_done)> done);

 private:
  void Write(const std::string& key, const std::string& value, DurationMs ttl_ms, int tries);
  void WriteUnder(std::int64_t lease, const std::string& key, const std::string& value,
                  DurationMs ttl_ms, int tries);
  void Again(const std::string& key, const std::string& value, DurationMs ttl_ms, int tries,
             std::string_view reason);

  boost::asio::io_context& io_;
  platform::StoreClient& store_;
  EventLog& log_;
  std::string writer_;
};

// Follows all records by a watch.
class QuarantineFollower : public std::enable_shared_from_this<QuarantineFollower> {
 public:
  struct Callbacks {
    std::function<void(const UpstreamCrash&)> ended;
    std::function<void(const RequestDigest&)> refused;
    std::function<void(const RequestDigest&)> released;
  };

  QuarantineFollower(boost::asio::io_context& io, platform::StoreClient& store, EventLog& log,
                     Callbacks callbacks);

  void Start() { Read(); }
  // The store was away until just now: a watch on it may have died unseen.
  void Reread();
  // What others had recorded when this process started is known.
  bool has_read() const { return has_read_; }

 private:
  void Read();
  void ReadAfter(DurationMs delay);
  void Watch();
  void Take(const platform::StoreItem& item);

  platform::StoreClient& store_;
  EventLog& log_;
  Callbacks callbacks_;
  Timer timer_;
  std::uint64_t round_ = 0;  // Answers of an earlier one are passed over.
  std::int64_t revision_ = 0;
  bool has_read_ = false;
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_DAEMON_QUARANTINE_KEEPER_H_
