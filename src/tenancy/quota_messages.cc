// CBOR maps with short keys.
#include <nlohmann/json.hpp>

#include "../base/cbor_message.h"
#include "junctionrail/tenancy.h"

namespace junctionrail {
namespace {

using nlohmann::json;

// A map with this one key: what every such message begins with.
constexpr char kRequestKey[] = "quota";
constexpr std::string_view kRequestPrefix =
    "\xa1\x65"
    "quota";
constexpr char kGrantKey[] = "grant";
constexpr std::string_view kGrantPrefix =
    "\xa1\x65"
    "grant";
// Of one message.
constexpr std::size_t kMaxAmounts = 4096;

std::string Pack(const char* key, const json& content) {
  return internal::PackCbor(json{{key, content}});
}

// Calls `read` with what stands under the key; false where it is of another shape.
template <class Read>
bool Unpack(std::string_view bytes, const char* key, Read read) {
  return internal::UnpackCbor(bytes, [&](const json& message) { return read(message.at(key)); });
}

bool IsAmount(double amount) { return amount >= 0 && amount <= 1e15; }

bool ReadRegistration(const json& list, QuotaRegistration* registration) {
  registration->version = list.at(0).get<std::uint64_t>();
  for (const auto& it : list.at(1)) {
    QuotaLimit limit{it.at(0).get<std::string>(), it.at(1).get<double>(), it.at(2).get<double>()};
    if (!IsAmount(limit.rate_per_s) || !IsAmount(limit.burst)) return false;
    registration->limits.push_back(std::move(limit));
  }
  return true;
}

bool ReadDemands(const json& list, std::vector<QuotaDemand>* demands) {
  for (const auto& it : list) {
    QuotaDemand demand{it.at(0).get<std::string>(), it.at(1).get<std::vector<double>>()};
    if (demand.amounts.size() > kMaxAmounts) return false;
    for (const double amount : demand.amounts) {
      if (!IsAmount(amount)) return false;
    }
    demands->push_back(std::move(demand));
  }
  return true;
}

}  // namespace

std::string EncodeQuotaRequest(const QuotaRequest& request) {
  json content = {{"e", request.entry}, {"n", request.id}, {"c", request.entry_count}};
  json demands = json::array();
  for (const auto& it : request.demands) demands.push_back({it.organisation, it.amounts});
  content["w"] = demands;
  if (request.registration) {
    json limits = json::array();
    for (const auto& it : request.registration->limits)
      limits.push_back({it.organisation, it.rate_per_s, it.burst});
    content["h"] = {request.registration->version, limits};
  }
  return Pack(kRequestKey, content);
}

bool IsQuotaRequest(std::string_view bytes) {
  return bytes.substr(0, kRequestPrefix.size()) == kRequestPrefix;
}

bool DecodeQuotaRequest(std::string_view bytes, QuotaRequest* request) {
  return Unpack(bytes, kRequestKey, [request](const json& content) {
    request->entry = content.at("e").get<std::string>();
    request->id = content.at("n").get<std::uint64_t>();
    request->entry_count = content.at("c").get<int>();
    const auto registration = content.find("h");
    if (registration != content.end()) request->registration.emplace();
    if (request->registration && !ReadRegistration(*registration, &*request->registration))
      return false;
    return ReadDemands(content.at("w"), &request->demands);
  });
}

std::string EncodeQuotaGrant(const QuotaGrant& grant) {
  json allocations = json::array();
  for (const auto& it : grant.allocations) {
    allocations.push_back({it.organisation, it.granted, it.advance, it.retry_ms});
  }
  return Pack(kGrantKey, {{"n", grant.id}, {"s", allocations}});
}

bool IsQuotaGrant(std::string_view bytes) {
  return bytes.substr(0, kGrantPrefix.size()) == kGrantPrefix;
}

bool DecodeQuotaGrant(std::string_view bytes, QuotaGrant* grant) {
  return Unpack(bytes, kGrantKey, [grant](const json& content) {
    grant->id = content.at("n").get<std::uint64_t>();
    for (const auto& it : content.at("s")) {
      grant->allocations.push_back({it.at(0).get<std::string>(), it.at(1).get<std::size_t>(),
                                    it.at(2).get<double>(), it.at(3).get<DurationMs>()});
      if (!IsAmount(grant->allocations.back().advance)) return false;
    }
    return true;
  });
}

}  // namespace junctionrail
