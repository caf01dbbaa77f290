// What the platform tells the system and keeps for it: the list of VMs, and
// the grants in the key-value service.
#ifndef JUNCTIONRAIL_PLATFORM_TYPES_H_
#define JUNCTIONRAIL_PLATFORM_TYPES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "junctionrail/base.h"
#include "junctionrail/checked_json.h"
#include "junctionrail/settings.h"

namespace junctionrail {

enum class VmRole { kEntry, kEngine, kService };

// One VM of the platform's list.
struct VmInfo {
  std::string vm;
  std::string incarnation;
  std::string data_hall;
  VmRole role = VmRole::kEngine;
  std::string service;  // Of a kService VM: the service it runs.
  Endpoint link;        // The agent's, for upstreams.
  Endpoint rpc;         // The entry's, for entries.
  bool is_leaving = false;
};

// The list as of one revision. It lags, and a later revision is newer.
struct VmList {
  std::int64_t revision = 0;
  std::vector<VmInfo> vms;
};

// One replica slot: the durable right to hold a replica on one VM.
struct GrantSlot {
  std::uint32_t index = 0;
  std::string vm;
  std::string incarnation;
  std::int64_t token = 0;          // Fencing token, growing within a key.
  std::int64_t list_revision = 0;  // Of the VM list the placing entry saw.
};

// All slots of one key. One compare-and-swap sees them all.
struct GrantRecord {
  std::string key;
  std::int64_t revision = 0;    // The service's; 0 when the key does not exist.
  std::int64_t last_token = 0;  // Highest ever given out; never falls.
  std::vector<GrantSlot> slots;
};

std::string EncodeGrant(const GrantRecord& record);
Result<GrantRecord, DocumentError> DecodeGrant(std::string_view text, std::string_view key);

// Merges one answer of the platform's list (changes since a revision) into `list`.
// Returns false, and changes nothing, when it is not well formed.
bool MergeVmList(std::string_view text, VmList* list);

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_PLATFORM_TYPES_H_
