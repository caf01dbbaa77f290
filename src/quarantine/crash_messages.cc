// Crashes are sent as CBOR between processes and stored as JSON, with the same fields.
#include <nlohmann/json.hpp>

#include "../base/cbor_message.h"
#include "junctionrail/checked_json.h"
#include "junctionrail/quarantine.h"

namespace junctionrail {
namespace {

using nlohmann::json;

// The message is a map with this single key, encoded as the prefix below.
constexpr char kMessageKey[] = "end";
constexpr std::string_view kMessagePrefix =
    "\xa1\x63"
    "end";

// A suspect of an older version, or one without parts, has fewer fields.
constexpr std::size_t kPartsField = 3;
constexpr std::size_t kModelField = 5;

json ToJson(const std::vector<RequestDigest>& digests) {
  json list = json::array();
  for (const auto& it : digests) list.push_back(it.ToString());
  return list;
}

json ToJson(const UpstreamCrash& crash) {
  json suspects = json::array();
  for (const auto& it : crash.suspects) {
    json fields = {it.digest.ToString(), it.has_sent_event, it.was_isolated};
    if (!it.parts.empty()) {
      fields.push_back(ToJson(it.parts));
      fields.push_back(it.has_sound_part);
      fields.push_back(it.model.ToString());
    }
    suspects.push_back(std::move(fields));
  }
  json content = {{"i", crash.instance}, {"s", suspects}};
  if (!crash.sound_parts.empty()) content["p"] = ToJson(crash.sound_parts);
  return content;
}

bool ReadDigests(const json& list, std::vector<RequestDigest>* digests) {
  for (const auto& it : list) {
    const auto digest = RequestDigest::Parse(it.get<std::string>());
    if (!digest) return false;
    digests->push_back(*digest);
  }
  return true;
}

// Throws json::exception if a field is missing or has the wrong type.
bool FromJson(const json& it, UpstreamCrash* crash) {
  crash->instance = it.at("i").get<std::string>();
  for (const auto& suspect : it.at("s")) {
    const auto digest = RequestDigest::Parse(suspect.at(0).get<std::string>());
    if (!digest) return false;
    crash->suspects.push_back(
        {*digest, suspect.at(1).get<bool>(), suspect.at(2).get<bool>(), {}, false});
    if (suspect.size() <= kPartsField) continue;
    if (!ReadDigests(suspect.at(kPartsField), &crash->suspects.back().parts)) return false;
    crash->suspects.back().has_sound_part = suspect.at(kPartsField + 1).get<bool>();
    if (suspect.size() <= kModelField) continue;
    const auto model = RequestDigest::Parse(suspect.at(kModelField).get<std::string>());
    if (!model) return false;
    crash->suspects.back().model = *model;
  }
  const auto sound = it.find("p");
  if (sound != it.end() && !ReadDigests(*sound, &crash->sound_parts)) return false;
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

std::string CrashToText(const UpstreamCrash& crash) { return DumpJson(ToJson(crash)); }

bool CrashFromText(std::string_view text, UpstreamCrash* crash) {
  const json content = json::parse(text, nullptr, false);
  try {
    return content.is_object() && FromJson(content, crash);
  } catch (const json::exception&) {
    return false;
  }
}

}  // namespace junctionrail
