// Messages about the origins of streams: CBOR maps with a single key each.
#include <nlohmann/json.hpp>

#include "../base/cbor_message.h"
#include "junctionrail/stream_origins.h"

namespace junctionrail {
namespace {

using internal::PackCbor;
using internal::UnpackCbor;
using nlohmann::json;

// Each message is a map with a single key, encoded as the prefix below.
constexpr char kReportKey[] = "begun";
constexpr std::string_view kReportPrefix =
    "\xa1\x65"
    "begun";
constexpr char kQueryKey[] = "origin?";
constexpr std::string_view kQueryPrefix =
    "\xa1\x67"
    "origin?";
constexpr char kReplyKey[] = "origin";
constexpr std::string_view kReplyPrefix =
    "\xa1\x66"
    "origin";

bool HasPrefix(std::string_view bytes, std::string_view prefix) {
  return bytes.substr(0, prefix.size()) == prefix;
}

}  // namespace

std::string EncodeOriginReport(const OriginReport& report) {
  json origins = json::array();
  for (const auto& [origin, streams] : report.streams) {
    origins.push_back({origin.service, origin.version, streams});
  }
  return PackCbor(json{{kReportKey, std::move(origins)}});
}

bool IsOriginReport(std::string_view bytes) { return HasPrefix(bytes, kReportPrefix); }

bool DecodeOriginReport(std::string_view bytes, OriginReport* report) {
  return UnpackCbor(bytes, [report](const json& message) {
    for (const auto& it : message.at(kReportKey)) {
      const StreamOrigin origin{it.at(0).get<std::string>(), it.at(1).get<std::string>()};
      report->streams[origin] = it.at(2).get<std::vector<std::string>>();
    }
    return true;
  });
}

std::string EncodeOriginQuery(const OriginQuery& query) {
  return PackCbor(json{{kQueryKey, {query.number, query.stream}}});
}

bool IsOriginQuery(std::string_view bytes) { return HasPrefix(bytes, kQueryPrefix); }

bool DecodeOriginQuery(std::string_view bytes, OriginQuery* query) {
  return UnpackCbor(bytes, [query](const json& message) {
    const json& it = message.at(kQueryKey);
    query->number = it.at(0).get<std::uint64_t>();
    query->stream = it.at(1).get<std::string>();
    return true;
  });
}

std::string EncodeOriginReply(const OriginReply& reply) {
  json fields = json::array({reply.number});
  if (reply.origin) {
    fields.push_back(reply.origin->service);
    fields.push_back(reply.origin->version);
  }
  return PackCbor(json{{kReplyKey, std::move(fields)}});
}

bool IsOriginReply(std::string_view bytes) { return HasPrefix(bytes, kReplyPrefix); }

bool DecodeOriginReply(std::string_view bytes, OriginReply* reply) {
  constexpr std::size_t kFieldsWithOrigin = 3;
  return UnpackCbor(bytes, [reply](const json& message) {
    const json& it = message.at(kReplyKey);
    reply->number = it.at(0).get<std::uint64_t>();
    if (it.size() < kFieldsWithOrigin) return true;
    reply->origin = StreamOrigin{it.at(1).get<std::string>(), it.at(2).get<std::string>()};
    return true;
  });
}

}  // namespace junctionrail
