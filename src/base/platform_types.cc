#include "junctionrail/platform_types.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace junctionrail {
namespace {

using nlohmann::json;

constexpr std::int64_t kMostSlots = 100000;

VmInfo ReadVm(ObjectReader& r, bool* is_gone) {
  VmInfo info;
  info.vm = r.String("vm", std::nullopt);
  info.incarnation = r.String("incarnation", "");
  info.data_hall = r.String("data_hall", "");
  const std::size_t role = r.Word("role", {"entry", "engine", "service"}, 1);
  info.role = static_cast<VmRole>(role);
  info.service = r.String("service", "");
  const std::string link = r.String("link", "");
  if (!link.empty() && !ParseEndpoint(link, &info.link)) r.Complain("link", "an endpoint", link);
  const std::string rpc = r.String("rpc", "");
  if (!rpc.empty() && !ParseEndpoint(rpc, &info.rpc)) r.Complain("rpc", "an endpoint", rpc);
  const std::size_t state = r.Word("state", {"live", "leaving", "gone"}, 0);
  info.is_leaving = state == 1;
  *is_gone = state == 2;
  return info;
}

}  // namespace

std::string EncodeGrant(const GrantRecord& record) {
  json slots = json::array();
  for (const auto& it : record.slots) {
    slots.push_back({{"index", it.index},
                     {"vm", it.vm},
                     {"incarnation", it.incarnation},
                     {"token", it.token},
                     {"list_revision", it.list_revision}});
  }
  return DumpJson(json{{"last_token", record.last_token}, {"slots", std::move(slots)}});
}

Result<GrantRecord, DocumentError> DecodeGrant(std::string_view text, std::string_view key) {
  const auto document = ParseJson(text, key);
  if (!document) return document.error();
  GrantRecord record;
  record.key = key;
  ObjectReader reader(document.value(), std::string(key), "");
  record.last_token = reader.Integer("last_token", 0, INT64_MAX, std::nullopt);
  reader.Each("slots", [&record](ObjectReader& r) {
    GrantSlot slot;
    slot.index = static_cast<std::uint32_t>(r.Integer("index", 0, kMostSlots, std::nullopt));
    slot.vm = r.String("vm", std::nullopt);
    slot.incarnation = r.String("incarnation", std::nullopt);
    slot.token = r.Integer("token", 0, INT64_MAX, std::nullopt);
    slot.list_revision = r.Integer("list_revision", 0, INT64_MAX, std::nullopt);
    record.slots.push_back(std::move(slot));
  });
  const auto error = reader.Finish();
  if (error) return *error;
  return record;
}

bool MergeVmList(std::string_view text, VmList* list) {
  const auto document = ParseJson(text, "vm list");
  if (!document) return false;
  VmList merged = *list;
  ObjectReader reader(document.value(), "vm list", "");
  const std::int64_t revision = reader.Integer("revision", 0, INT64_MAX, std::nullopt);
  if (reader.Boolean("whole", false)) merged.vms.clear();
  reader.Each("vms", [&merged](ObjectReader& r) {
    bool is_gone = false;
    VmInfo info = ReadVm(r, &is_gone);
    auto& vms = merged.vms;
    const auto it = std::find_if(vms.begin(), vms.end(),
                                 [&info](const VmInfo& old) { return old.vm == info.vm; });
    if (it != vms.end()) vms.erase(it);
    if (!is_gone) vms.push_back(std::move(info));
  });
  if (reader.Finish() || revision < list->revision) return false;
  merged.revision = revision;
  *list = std::move(merged);
  return true;
}

}  // namespace junctionrail
