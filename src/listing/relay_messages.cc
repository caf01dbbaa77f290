// Messages between entries and the relay: CBOR maps with a single key each. Records are arrays, as
// the names of their fields would be most of their size.
#include <nlohmann/json.hpp>

#include "../base/cbor_message.h"
#include "junctionrail/listing.h"

namespace junctionrail {
namespace {

using internal::PackCbor;
using internal::UnpackCbor;
using nlohmann::json;

// Each message is a map with a single key, encoded as the prefix below.
constexpr char kRequestKey[] = "relay";
constexpr std::string_view kRequestPrefix =
    "\xa1\x65"
    "relay";
// Number of fields in a request from an entry that knows several regions; others lack the last two.
constexpr std::size_t kRequestFieldsWithRegion = 6;
constexpr char kReplyKey[] = "list";
constexpr std::string_view kReplyPrefix =
    "\xa1\x64"
    "list";
// In place of the time that a record does not state.
constexpr DurationMs kNotStated = -1;
// Records from processes of an older version lack the fields from here on.
constexpr std::size_t kSoftwareVersionField = 14;

json ToJson(const UpstreamRecord& it) {
  json loaded = json::array();
  for (const auto& model : it.loaded) loaded.push_back({model.name, model.adapters});
  return {it.instance,
          it.service,
          it.endpoint.ToString(),
          it.data_hall,
          it.slots,
          it.is_leaving,
          std::move(loaded),
          it.generation,
          it.is_missing,
          it.id,
          it.started_unix_ms,
          it.is_unreadable,
          it.cold_ms.value_or(kNotStated),
          it.cached_models,
          it.software_version};
}

bool ReadRecord(const json& it, UpstreamRecord* record) {
  record->instance = it.at(0).get<std::string>();
  record->service = it.at(1).get<std::string>();
  if (!ParseEndpoint(it.at(2).get<std::string>(), &record->endpoint)) return false;
  record->data_hall = it.at(3).get<std::string>();
  record->slots = it.at(4).get<int>();
  record->is_leaving = it.at(5).get<bool>();
  for (const auto& model : it.at(6)) {
    record->loaded.push_back(
        {model.at(0).get<std::string>(), model.at(1).get<std::vector<std::string>>()});
  }
  record->generation = it.at(7).get<std::int64_t>();
  record->is_missing = it.at(8).get<bool>();
  record->id = it.at(9).get<std::string>();
  record->started_unix_ms = it.at(10).get<std::int64_t>();
  record->is_unreadable = it.at(11).get<bool>();
  const auto cold_ms = it.at(12).get<DurationMs>();
  if (cold_ms >= 0) record->cold_ms = cold_ms;
  record->cached_models = it.at(13).get<std::vector<std::string>>();
  if (it.size() > kSoftwareVersionField) {
    record->software_version = it.at(kSoftwareVersionField).get<std::string>();
  }
  return !record->instance.empty();
}

}  // namespace

std::string EncodeRelayRequest(const RelayRequest& request) {
  json fields = {request.entry, request.number, request.epoch, request.version};
  const bool asks_for_configuration = request.outdated_configuration != 0;
  if (request.regions > 1 || asks_for_configuration) {
    fields.push_back(request.region);
    fields.push_back(request.regions);
  }
  if (asks_for_configuration) fields.push_back(request.outdated_configuration);
  return PackCbor(json{{kRequestKey, std::move(fields)}});
}

bool IsRelayRequest(std::string_view bytes) {
  return bytes.substr(0, kRequestPrefix.size()) == kRequestPrefix;
}

bool DecodeRelayRequest(std::string_view bytes, RelayRequest* request) {
  return UnpackCbor(bytes, [request](const json& message) {
    const json& it = message.at(kRequestKey);
    request->entry = it.at(0).get<std::string>();
    request->number = it.at(1).get<std::uint64_t>();
    request->epoch = it.at(2).get<std::string>();
    request->version = it.at(3).get<std::uint64_t>();
    if (it.size() >= kRequestFieldsWithRegion) {
      request->region = it.at(4).get<std::string>();
      request->regions = it.at(5).get<int>();
    }
    if (it.size() > kRequestFieldsWithRegion) {
      request->outdated_configuration = it.at(kRequestFieldsWithRegion).get<std::uint64_t>();
    }
    return !request->entry.empty();
  });
}

std::string EncodeListingChanges(const ListingChanges& changes) {
  json changed = json::array();
  for (const auto& it : changes.changed) changed.push_back(ToJson(it));
  return PackCbor(json{{"c", std::move(changed)}, {"r", changes.removed}});
}

bool DecodeListingChanges(std::string_view bytes, ListingChanges* changes) {
  return UnpackCbor(bytes, [changes](const json& message) {
    for (const auto& record : message.at("c")) {
      changes->changed.emplace_back();
      if (!ReadRecord(record, &changes->changed.back())) return false;
    }
    changes->removed = message.at("r").get<std::vector<std::string>>();
    return true;
  });
}

std::string EncodeRelayReply(const RelayReply& reply) {
  json::binary_t changes;
  if (reply.changes) changes.assign(reply.changes->begin(), reply.changes->end());
  json fields = {{"n", reply.number},
                 {"e", reply.epoch},
                 {"v", reply.version},
                 {"a", reply.list_age_ms},
                 {"w", reply.is_whole},
                 {"c", json::binary(std::move(changes))},
                 {"cv", reply.configuration_version},
                 {"ca", reply.configuration_age_ms},
                 {"h", reply.evacuated_halls},
                 {"p", reply.is_planner}};
  if (reply.configuration) {
    const std::string& document = *reply.configuration;
    fields["cd"] = json::binary(json::binary_t::container_type(document.begin(), document.end()));
  }
  return PackCbor(json{{kReplyKey, std::move(fields)}});
}

bool IsRelayReply(std::string_view bytes) {
  return bytes.substr(0, kReplyPrefix.size()) == kReplyPrefix;
}

bool DecodeRelayReply(std::string_view bytes, RelayReply* reply) {
  return UnpackCbor(bytes, [reply](const json& message) {
    const json& it = message.at(kReplyKey);
    reply->number = it.at("n").get<std::uint64_t>();
    reply->epoch = it.at("e").get<std::string>();
    reply->version = it.at("v").get<std::uint64_t>();
    reply->list_age_ms = it.at("a").get<DurationMs>();
    reply->is_whole = it.at("w").get<bool>();
    const auto& changes = it.at("c").get_binary();
    if (!changes.empty())
      reply->changes = std::make_shared<const std::string>(changes.begin(), changes.end());
    reply->configuration_version = it.at("cv").get<std::uint64_t>();
    reply->configuration_age_ms = it.at("ca").get<DurationMs>();
    reply->evacuated_halls = it.at("h").get<std::vector<std::string>>();
    reply->is_planner = it.at("p").get<bool>();
    const auto document = it.find("cd");
    if (document != it.end()) {
      const auto& text = document->get_binary();
      reply->configuration = std::make_shared<const std::string>(text.begin(), text.end());
    }
    return !reply->epoch.empty();
  });
}

}  // namespace junctionrail
