// CBOR between processes, JSON in the store; the same fields in both.
#include <nlohmann/json.hpp>

#include "../base/cbor_message.h"
#include "junctionrail/quarantine.h"

namespace junctionrail {
namespace {

using nlohmann::json;

// A map with this one key: what every such message begins with.
constexpr char kKey[] = "end";
constexpr std::string_view kFirstBytes =
    "\xa1\x63"
    "end";

json ToJson(const UpstreamEnd& end) {
  json suspects = json::array();
  for (const auto& it : end.suspects) {
    suspects.push_back({it.digest.ToString(), it.has_shown_event, it.was_alone});
  }
  return {{"i", end.instance}, {"s", suspects}};
}

// Throws json::exception where a field is missing or of another type.
bool FromJson(const json& it, UpstreamEnd* end) {
  end->instance = it.at("i").get<std::string>();
  for (const auto& suspect : it.at("s")) {
    const auto digest = RequestDigest::Parse(suspect.at(0).get<std::string>());
    if (!digest) return false;
    end->suspects.push_back({*digest, suspect.at(1).get<bool>(), suspect.at(2).get<bool>()});
  }
  return !end->instance.empty();
}

}  // namespace

std::string EncodeEnd(const UpstreamEnd& end) {
  json content = ToJson(end);
  content["a"] = end.age_ms;
  content["w"] = end.is_to_record;
  return internal::PackCbor(json{{kKey, content}});
}

bool IsEndMessage(std::string_view bytes) {
  return bytes.substr(0, kFirstBytes.size()) == kFirstBytes;
}

bool DecodeEnd(std::string_view bytes, UpstreamEnd* end) {
  return internal::UnpackCbor(bytes, [end](const json& message) {
    const json& content = message.at(kKey);
    end->age_ms = content.at("a").get<DurationMs>();
    end->is_to_record = content.value("w", false);
    return FromJson(content, end);
  });
}

std::string EndToText(const UpstreamEnd& end) { return ToJson(end).dump(); }

bool EndFromText(std::string_view text, UpstreamEnd* end) {
  const json content = json::parse(text, nullptr, false);
  try {
    return content.is_object() && FromJson(content, end);
  } catch (const json::exception&) {
    return false;
  }
}

}  // namespace junctionrail
