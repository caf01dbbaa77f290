// Where streams began. What two software versions of an upstream write does not fit together, so a
// stream that its caller resumes may go on only at the version that began it. The caller may reach
// any entry: each entry reports the streams that begin there to a few holders, chosen by a hash of
// the stream, and an entry that does not know a stream asks these.
// This layer is free of I/O: callers pass the current time and transport the messages.
#ifndef JUNCTIONRAIL_STREAM_ORIGINS_H_
#define JUNCTIONRAIL_STREAM_ORIGINS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "junctionrail/base.h"

namespace junctionrail {

struct StreamOrigin {
  std::string service;
  std::string version;  // Of the software of the upstream that sent the first event.

  bool operator==(const StreamOrigin& other) const {
    return service == other.service && version == other.version;
  }
  bool operator<(const StreamOrigin& other) const {
    return service != other.service ? service < other.service : version < other.version;
  }
};

struct StreamOriginLimits {
  // Longer than the deadlines within which callers resume a stream.
  DurationMs ttl_ms = 120000;
  std::size_t max_streams = 65536;  // The oldest ones are forgotten first.
  std::size_t max_id_bytes = 64;    // Streams with longer ids are not kept.
};

// The origins of recent streams that one process knows. A stream is named by the id of the request
// that brought its first event.
class StreamOriginTable {
 public:
  explicit StreamOriginTable(StreamOriginLimits limits = {}) : limits_(limits) {}

  // The first origin that is added for a stream stays.
  void Add(std::string_view stream, const StreamOrigin& origin, TimeMs now);
  std::optional<StreamOrigin> Find(std::string_view stream, TimeMs now) const;
  std::size_t size() const { return streams_.size(); }

 private:
  struct Entry {
    StreamOrigin origin;
    TimeMs added_at = 0;
  };

  void Expire(TimeMs now);

  StreamOriginLimits limits_;
  std::unordered_map<std::string, Entry> streams_;
  std::deque<std::string> order_;  // Keys of `streams_`, oldest first.
};

// --- Messages between entries and holders ---

// Streams that began, by their origin.
struct OriginReport {
  std::map<StreamOrigin, std::vector<std::string>> streams;
};
struct OriginQuery {
  std::uint64_t number = 0;
  std::string stream;
};
struct OriginReply {
  std::uint64_t number = 0;  // Of the query.
  std::optional<StreamOrigin> origin;
};

// Each message has a distinct prefix, by which Is...() recognizes it.
std::string EncodeOriginReport(const OriginReport& report);
bool IsOriginReport(std::string_view bytes);
bool DecodeOriginReport(std::string_view bytes, OriginReport* report);
std::string EncodeOriginQuery(const OriginQuery& query);
bool IsOriginQuery(std::string_view bytes);
bool DecodeOriginQuery(std::string_view bytes, OriginQuery* query);
std::string EncodeOriginReply(const OriginReply& reply);
bool IsOriginReply(std::string_view bytes);
bool DecodeOriginReply(std::string_view bytes, OriginReply* reply);

// A holder's side: keeps what entries report and answers their queries.
class StreamOriginHolder {
 public:
  static bool IsForHolder(std::string_view bytes) {
    return IsOriginReport(bytes) || IsOriginQuery(bytes);
  }
  // Returns the reply to a query; nullopt for a report and for malformed messages, which `is_valid`
  // tells apart.
  std::optional<std::string> OnMessage(std::string_view bytes, TimeMs now, bool* is_valid);

 private:
  StreamOriginTable streams_;
};

// A process that may hold the origins of streams.
struct OriginHolderSite {
  std::string address;  // Stays the same when the upstream beside it starts again.
  std::string instance;
};

// The holders of the stream among the candidates, best first, at most `n`. All entries that know
// the same candidates choose the same ones.
std::vector<OriginHolderSite> ChooseOriginHolders(std::string_view stream,
                                                  std::vector<OriginHolderSite> candidates,
                                                  std::size_t n);

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_STREAM_ORIGINS_H_
