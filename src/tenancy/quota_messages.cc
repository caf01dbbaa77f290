// CBOR maps with short keys.
#include <nlohmann/json.hpp>

#include "../base/cbor_message.h"
#include "junctionrail/tenancy.h"

namespace junctionrail {
namespace {

using nlohmann::json;

// A map with this one key: what every such message begins with.
constexpr char kAskKey[] = "quota";
constexpr std::string_view kAskBytes =
    "\xa1\x65"
    "quota";
constexpr char kGrantKey[] = "grant";
constexpr std::string_view kGrantBytes =
    "\xa1\x65"
    "grant";
// Of one message.
constexpr std::size_t kMostAmounts = 4096;

std::string Pack(const char* key, const json& content) {
  return internal::PackCbor(json{{key, content}});
}

// Calls `read` with what stands under the key; false where it is of another shape.
template <class Read>
bool Unpack(std::string_view bytes, const char* key, Read read) {
  return internal::UnpackCbor(bytes, [&](const json& message) { return read(message.at(key)); });
}

bool IsAmount(double amount) { return amount >= 0 && amount <= 1e15; }

bool ReadHoldings(const json& list, QuotaHoldings* holdings) {
  holdings->version = list.at(0).get<std::uint64_t>();
  for (const auto& it : list.at(1)) {
    QuotaHolding holding{it.at(0).get<std::string>(), it.at(1).get<double>(),
                         it.at(2).get<double>()};
    if (!IsAmount(holding.per_s) || !IsAmount(holding.burst)) return false;
    holdings->all.push_back(std::move(holding));
  }
  return true;
}

bool ReadWants(const json& list, std::vector<QuotaWant>* wants) {
  for (const auto& it : list) {
    QuotaWant want{it.at(0).get<std::string>(), it.at(1).get<std::vector<double>>()};
    if (want.amounts.size() > kMostAmounts) return false;
    for (const double amount : want.amounts) {
      if (!IsAmount(amount)) return false;
    }
    wants->push_back(std::move(want));
  }
  return true;
}

}  // namespace

std::string EncodeQuotaAsk(const QuotaAsk& ask) {
  json content = {{"e", ask.entry}, {"n", ask.number}, {"c", ask.entries}};
  json wants = json::array();
  for (const auto& it : ask.wants) wants.push_back({it.organisation, it.amounts});
  content["w"] = wants;
  if (ask.holdings) {
    json all = json::array();
    for (const auto& it : ask.holdings->all) all.push_back({it.organisation, it.per_s, it.burst});
    content["h"] = {ask.holdings->version, all};
  }
  return Pack(kAskKey, content);
}

bool IsQuotaAsk(std::string_view bytes) { return bytes.substr(0, kAskBytes.size()) == kAskBytes; }

bool DecodeQuotaAsk(std::string_view bytes, QuotaAsk* ask) {
  return Unpack(bytes, kAskKey, [ask](const json& content) {
    ask->entry = content.at("e").get<std::string>();
    ask->number = content.at("n").get<std::uint64_t>();
    ask->entries = content.at("c").get<int>();
    const auto holdings = content.find("h");
    if (holdings != content.end()) ask->holdings.emplace();
    if (ask->holdings && !ReadHoldings(*holdings, &*ask->holdings)) return false;
    return ReadWants(content.at("w"), &ask->wants);
  });
}

std::string EncodeQuotaGrant(const QuotaGrant& grant) {
  json shares = json::array();
  for (const auto& it : grant.shares) {
    shares.push_back({it.organisation, it.granted, it.ahead, it.retry_ms});
  }
  return Pack(kGrantKey, {{"n", grant.number}, {"s", shares}});
}

bool IsQuotaGrant(std::string_view bytes) {
  return bytes.substr(0, kGrantBytes.size()) == kGrantBytes;
}

bool DecodeQuotaGrant(std::string_view bytes, QuotaGrant* grant) {
  return Unpack(bytes, kGrantKey, [grant](const json& content) {
    grant->number = content.at("n").get<std::uint64_t>();
    for (const auto& it : content.at("s")) {
      grant->shares.push_back({it.at(0).get<std::string>(), it.at(1).get<std::size_t>(),
                               it.at(2).get<double>(), it.at(3).get<DurationMs>()});
      if (!IsAmount(grant->shares.back().ahead)) return false;
    }
    return true;
  });
}

}  // namespace junctionrail
