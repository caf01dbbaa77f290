// CBOR between processes, JSON in the store; the same fields in both.
#include <nlohmann/json.hpp>

#include "../base/cbor_message.h"
#include "junctionrail/quarantine.h"

namespace junctionrail {
namespace {

using nlohmann::json;

// A map with this one key: what every such message begins with.
constexpr char kMessageKey[] = "end";
constexpr std::string_view kMessagePrefix =
    "\xa1\x63"
    "end";

json ToJson(const UpstreamCrash& crash) {
  json suspects = json::array();
  for (const auto& it : crash.suspects) {
    suspects.push_back({it.digest.ToString(), it.has_sent_event, it.was_isolated});
  }
  return {{"i", crash.instance}, {"s", suspects}};
}

// Throws json::exception where a field is missing or of another type.
bool FromJson(const json& it, UpstreamCrash* crash) {
  crash->instance = it.at("i").get<std::string>();
  for (const auto& suspect : it.at("s")) {
    const auto digest = RequestDigest::Parse(suspect.at(0).get<std::string>());
    if (!digest) return false;
    crash->suspects.push_back({*digest, suspect.at(1).get<bool>(), suspect.at(2).get<bool>()});
  }
  return !crash->instance.empty();
}

}  // namespace

std::string EncodeCrash(const UpstreamCrash& crash) {
  json content = ToJson(crash);
  content["a"] = crash.age_ms;
  content["w"] = crash.should_record;
  return internal::PackCbor(json{{kMessageKey, content}});
}

bool IsCrashMessage(std::string_view bytes) {
  return bytes.substr(0, kMessagePrefix.size()) == kMessagePrefix;
}

bool DecodeCrash(std::string_view bytes, UpstreamCrash* crash) {
  return internal::UnpackCbor(bytes, [crash](const json& message) {
    const json& content = message.at(kMessageKey);
    crash->age_ms = content.at("a").get<DurationMs>();
    crash->should_record = content.value("w", false);
    return FromJson(content, crash);
  });
}

std::string CrashToText(const UpstreamCrash& crash) { return ToJson(crash).dump(); }

bool CrashFromText(std::string_view text, UpstreamCrash* crash) {
  const json content = json::parse(text, nullptr, false);
  try {
    return content.is_object() && FromJson(content, crash);
  } catch (const json::exception&) {
    return false;
  }
}

}  // namespace junctionrail
