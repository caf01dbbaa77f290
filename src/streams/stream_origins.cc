#include "junctionrail/stream_origins.h"

#include <algorithm>

namespace junctionrail {

void StreamOriginTable::Add(std::string_view stream, const StreamOrigin& origin, TimeMs now) {
  Expire(now);
  if (stream.empty() || stream.size() > limits_.max_id_bytes) return;
  const auto [it, is_new] = streams_.try_emplace(std::string(stream), Entry{origin, now});
  if (!is_new) return;
  order_.push_back(it->first);
  if (streams_.size() <= limits_.max_streams) return;
  streams_.erase(order_.front());
  order_.pop_front();
}

std::optional<StreamOrigin> StreamOriginTable::Find(std::string_view stream, TimeMs now) const {
  const auto it = streams_.find(std::string(stream));
  if (it == streams_.end() || now - it->second.added_at >= limits_.ttl_ms) return std::nullopt;
  return it->second.origin;
}

void StreamOriginTable::Expire(TimeMs now) {
  while (!order_.empty() && now - streams_.at(order_.front()).added_at >= limits_.ttl_ms) {
    streams_.erase(order_.front());
    order_.pop_front();
  }
}

std::optional<std::string> StreamOriginHolder::OnMessage(std::string_view bytes, TimeMs now,
                                                         bool* is_valid) {
  if (IsOriginReport(bytes)) {
    OriginReport report;
    *is_valid = DecodeOriginReport(bytes, &report);
    if (!*is_valid) return std::nullopt;
    for (const auto& [origin, streams] : report.streams) {
      for (const auto& it : streams) streams_.Add(it, origin, now);
    }
    return std::nullopt;
  }
  OriginQuery query;
  *is_valid = DecodeOriginQuery(bytes, &query);
  if (!*is_valid) return std::nullopt;
  return EncodeOriginReply({query.number, streams_.Find(query.stream, now)});
}

std::vector<OriginHolderSite> ChooseOriginHolders(std::string_view stream,
                                                  std::vector<OriginHolderSite> candidates,
                                                  std::size_t n) {
  std::sort(candidates.begin(), candidates.end(),
            [stream](const OriginHolderSite& a, const OriginHolderSite& b) {
              return RendezvousScore(stream, a.address) > RendezvousScore(stream, b.address);
            });
  if (candidates.size() > n) candidates.resize(n);
  return candidates;
}

}  // namespace junctionrail
