#include <algorithm>
#include <utility>

#include "junctionrail/tenancy.h"

namespace junctionrail {

KeyDigest DigestOfKey(std::string_view key) {
  Sha256 hash;
  hash.Add(key);
  return hash.Finish();
}

OrganisationTable::OrganisationTable(std::vector<Organisation> organisations)
    : organisations_(std::move(organisations)) {
  for (std::size_t n = 0; n < organisations_.size(); ++n) {
    for (const auto& key : organisations_[n].keys) by_key_.emplace(key, n);
  }
}

const Organisation* OrganisationTable::FindByKey(const KeyDigest& key) const {
  const auto it = by_key_.find(key);
  return it == by_key_.end() ? nullptr : &organisations_[it->second];
}

void ConfigurationFreshness::OnApplied(std::uint64_t version) { version_ = version; }

// An earlier version comes from a store that lost the later one.
bool ConfigurationFreshness::OnConfirmed(std::uint64_t version, TimeMs as_of) {
  if (version > version_) return false;
  as_of_ = std::max(as_of_, as_of);
  return true;
}

}  // namespace junctionrail
