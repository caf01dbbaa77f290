#include "store.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

namespace review {
namespace {

using nlohmann::json;

constexpr char kEra[] = "Store-Era: 1\r\nContent-Type: application/json\r\n";
constexpr std::int64_t kIdleMs = 75000;
constexpr std::size_t kPage = 50;
constexpr std::int64_t kMostWaitMs = 30000;

std::string Json(int status, const json& document) { return Answer(status, kEra, document.dump()); }

// One field of a query, decoded.
std::string Query(const std::string& target, const std::string& name) {
  std::size_t at = target.find("?" + name + "=");
  if (at == std::string::npos) at = target.find("&" + name + "=");
  if (at == std::string::npos) return "";
  at += name.size() + 2;
  const std::string raw = target.substr(at, target.find('&', at) - at);
  std::string text;
  for (std::size_t n = 0; n < raw.size(); ++n) {
    if (raw[n] != '%') {
      text.push_back(raw[n]);
      continue;
    }
    text.push_back(static_cast<char>(std::strtol(raw.substr(n + 1, 2).c_str(), nullptr, 16)));
    n += 2;
  }
  return text;
}

std::string ToBase64(const std::string& bytes) {
  constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t n = 0; n < bytes.size(); n += 3) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      bits = bits << 8 | (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      const bool is_padding = n + k > bytes.size();
      text.push_back(is_padding ? '=' : kDigits[bits >> (18 - 6 * k) & 63]);
    }
  }
  return text;
}

std::string FromBase64(const std::string& text) {
  const auto digit = [](char c) -> std::uint32_t {
    if (c >= 'A' && c <= 'Z') return static_cast<std::uint32_t>(c - 'A');
    if (c >= 'a' && c <= 'z') return static_cast<std::uint32_t>(c - 'a' + 26);
    if (c >= '0' && c <= '9') return static_cast<std::uint32_t>(c - '0' + 52);
    return c == '+' ? 62 : 63;
  };
  std::string bytes;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char c : text) {
    if (c == '=') break;
    bits = bits << 6 | digit(c);
    count += 6;
    if (count < 8) continue;
    count -= 8;
    bytes.push_back(static_cast<char>(bits >> count & 255));
  }
  return bytes;
}

bool IsBelow(const std::string& key, const std::string& prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

Store::Store(const Address& address) {
  server_ =
      std::make_unique<Server>(address, [this](Connection& connection) { Serve(connection); });
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = items_.find(key);
  if (it != items_.end() && it->second.value == value) return;
  Write(key, value, 0);
  changed_.notify_all();
}

void Store::Remove(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Erase(key);
  changed_.notify_all();
}

void Store::Write(const std::string& key, const std::string& value, std::int64_t lease) {
  ++revision_;
  Item& item = items_[key];
  if (item.created == 0) item.created = revision_;
  item.value = value;
  item.revision = revision_;
  item.lease = lease;
  changes_.push_back({key, revision_});
}

void Store::Erase(const std::string& key) {
  if (items_.erase(key) == 0) return;
  changes_.push_back({key, ++revision_});
}

void Store::EndLeases() {
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (NowMs() < it->second.ends_at) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == it->first) keys.push_back(key);
    }
    for (const auto& key : keys) Erase(key);
    it = leases_.erase(it);
  }
}

void Store::Serve(Connection& connection) {
  Message request;
  while (connection.ReadRequest(&request, kIdleMs) == ReadEnd::kWhole) {
    if (!connection.Send(Handle(request))) return;
  }
}

std::string Store::Handle(const Message& request) {
  constexpr char kKeep[] = "/kv-keep/";
  const std::string target = request.Target();
  const std::string path = target.substr(0, target.find('?'));
  const std::string prefix = Query(target, "pathPrefix");
  const std::string after = Query(target, "after");
  if (path == "/kv-watch") {
    const std::int64_t wait_ms = std::atoll(Query(target, "waitMs").c_str());
    return Watch(prefix, std::atoll(after.c_str()), std::min(wait_ms, kMostWaitMs));
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  EndLeases();
  if (path == "/kv-key") return Key(Query(target, "tlsKey"));
  if (path == "/kv-range") return Range(prefix, after);
  if (path == "/kv-txn") return Transact(request.body);
  if (path == "/kv-lease") {
    const json asked = json::parse(request.body, nullptr, false);
    const std::int64_t ttl_ms = asked.value("ttlMs", std::int64_t{3000});
    leases_[++last_lease_] = {ttl_ms, NowMs() + ttl_ms};
    return Json(200, {{"lease", last_lease_}, {"ttlMs", ttl_ms}});
  }
  if (IsBelow(path, kKeep)) return KeepLease(std::atoll(path.substr(sizeof(kKeep) - 1).c_str()));
  return Json(404, json::object());
}

std::string Store::KeepLease(std::int64_t lease) {
  const auto it = leases_.find(lease);
  if (it == leases_.end()) return Json(404, json::object());
  it->second.ends_at = NowMs() + it->second.ttl_ms;
  return Json(200, {{"ttlMs", it->second.ttl_ms}});
}

json Store::ToJson(const std::string& key, const Item& item) const {
  return {{"tlsKey", key},
          {"value", ToBase64(item.value)},
          {"revision", item.revision},
          {"createRevision", item.created},
          {"lease", item.lease}};
}

std::string Store::Key(const std::string& key) {
  const auto it = items_.find(key);
  if (it == items_.end()) return Json(404, json::object());
  json document = ToJson(key, it->second);
  document["asOf"] = revision_;
  return Json(200, document);
}

std::string Store::Range(const std::string& prefix, const std::string& after) {
  json items = json::array();
  bool is_truncated = false;
  for (const auto& [key, item] : items_) {
    if (!IsBelow(key, prefix) || (!after.empty() && key <= after)) continue;
    is_truncated = items.size() == kPage;
    if (is_truncated) break;
    items.push_back(ToJson(key, item));
  }
  return Json(200, {{"items", items}, {"truncated", is_truncated}, {"asOf", revision_}});
}

json Store::ChangesAfter(const std::string& prefix, std::int64_t after) const {
  json events = json::array();
  for (const auto& it : changes_) {
    if (it.revision <= after || !IsBelow(it.key, prefix)) continue;
    const auto item = items_.find(it.key);
    if (item == items_.end()) {
      events.push_back({{"tlsKey", it.key}, {"revision", it.revision}, {"tombstone", true}});
    } else if (item->second.revision == it.revision) {
      events.push_back(ToJson(it.key, item->second));
    }
  }
  return events;
}

std::string Store::Watch(const std::string& prefix, std::int64_t after, std::int64_t wait_ms) {
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait_ms);
  std::unique_lock<std::mutex> lock(mutex_);
  if (after > revision_) return Json(410, json::object());
  json events = ChangesAfter(prefix, after);
  while (events.empty() && std::chrono::steady_clock::now() < until) {
    changed_.wait_until(lock, until);
    events = ChangesAfter(prefix, after);
  }
  return Json(200, {{"events", events}, {"asOf", revision_}});
}

std::string Store::Transact(const std::string& body) {
  const json commit = json::parse(body, nullptr, false);
  if (!commit.is_object()) return Json(400, json::object());
  json failed = json::array();
  bool holds = true;
  for (const auto& it : commit.value("expected", json::array())) {
    const auto key = it.at("tlsKey").get<std::string>();
    const auto item = items_.find(key);
    const std::int64_t revision = item == items_.end() ? 0 : item->second.revision;
    holds = holds && revision == it.at("revision").get<std::int64_t>();
    if (item != items_.end()) failed.push_back(ToJson(key, item->second));
  }
  if (!holds) return Json(412, {{"items", failed}});
  const json writes = commit.value("writes", json::array());
  for (const auto& it : writes) {
    const std::int64_t lease = it.value("lease", std::int64_t{0});
    if (lease != 0 && leases_.count(lease) == 0) return Json(404, json::object());
  }
  for (const auto& it : writes) {
    Write(it.at("tlsKey").get<std::string>(), FromBase64(it.at("value").get<std::string>()),
          it.value("lease", std::int64_t{0}));
  }
  for (const auto& it : commit.value("remove", json::array())) Erase(it.get<std::string>());
  changed_.notify_all();
  return Json(200, {{"revision", revision_}});
}

}  // namespace review
