#include <algorithm>
#include <array>
#include <cstdio>

#include "junctionrail/quarantine.h"
#include "junctionrail/sha256.h"

namespace junctionrail {
namespace {

constexpr std::size_t kHexDigits = 32;

// Adds the part prefixed with its length, so that different lists of parts give different input.
void AddPart(Sha256* hash, std::string_view part) {
  const std::uint64_t n = part.size();
  std::array<char, 8> length{};
  for (std::size_t at = 0; at < length.size(); ++at) {
    length[at] = static_cast<char>(n >> (8 * at));
  }
  hash->Add({length.data(), length.size()});
  hash->Add(part);
}

std::uint64_t ReadUint64(const unsigned char* bytes) {
  std::uint64_t value = 0;
  for (int n = 0; n < 8; ++n) value = value << 8 | bytes[n];
  return value;
}

std::optional<std::uint64_t> ParseHex64(std::string_view digits) {
  std::uint64_t value = 0;
  for (const char c : digits) {
    const bool is_decimal = c >= '0' && c <= '9';
    if (!is_decimal && (c < 'a' || c > 'f')) return std::nullopt;
    value = value << 4 | static_cast<std::uint64_t>(is_decimal ? c - '0' : c - 'a' + 10);
  }
  return value;
}

RequestDigest FinishDigest(Sha256* hash) {
  const Sha256Digest bytes = hash->Finish();
  return {ReadUint64(bytes.data()), ReadUint64(bytes.data() + 8)};
}

// The leading text keeps the digests of parts apart from those of requests.
RequestDigest DigestOfPart(std::string_view id) {
  Sha256 hash;
  AddPart(&hash, "prompt part");
  AddPart(&hash, id);
  return FinishDigest(&hash);
}

void AddDigest(Sha256* hash, const RequestDigest& digest) { AddPart(hash, digest.ToString()); }

}  // namespace

// The input is controlled by callers and the digests are exchanged between processes. This requires
// a collision-resistant hash that needs no shared key.
RequestDigest DigestOf(const RequestIdentity& identity) {
  Sha256 hash;
  for (const auto part :
       {identity.method, identity.host, identity.target, identity.credential, identity.body}) {
    AddPart(&hash, part);
  }
  return FinishDigest(&hash);
}

RequestDigest DigestOfModel(std::string_view name) {
  Sha256 hash;
  AddPart(&hash, "model");
  AddPart(&hash, name);
  return FinishDigest(&hash);
}

std::vector<RequestDigest> DigestsOfSharedParts(std::string_view prompt_parts) {
  std::vector<RequestDigest> digests;
  while (digests.size() < kMaxPromptParts) {
    const std::size_t end = prompt_parts.find(',');
    if (end == std::string_view::npos) break;  // The last part is the request's own.
    std::string_view id = prompt_parts.substr(0, std::min(end, prompt_parts.find(':')));
    prompt_parts.remove_prefix(end + 1);
    while (!id.empty() && id.front() == ' ') id.remove_prefix(1);
    if (id.empty()) continue;
    const RequestDigest digest = DigestOfPart(id);
    const bool is_new = std::find(digests.begin(), digests.end(), digest) == digests.end();
    if (is_new) digests.push_back(digest);
  }
  return digests;
}

RequestDigest CombinationOf(std::vector<RequestDigest> parts) {
  std::sort(parts.begin(), parts.end());
  if (parts.size() > kMaxCombinedParts) parts.resize(kMaxCombinedParts);
  if (parts.size() == 1) return parts.front();
  Sha256 hash;
  AddPart(&hash, "combination of prompt parts");
  for (const auto& it : parts) AddDigest(&hash, it);
  return FinishDigest(&hash);
}

std::vector<RequestDigest> PartsAndCombinations(const std::vector<RequestDigest>& parts) {
  static_assert(kMaxCombinedParts == 3, "all combinations are listed");
  std::vector<RequestDigest> digests = parts;
  for (std::size_t a = 0; a < parts.size(); ++a) {
    for (std::size_t b = a + 1; b < parts.size(); ++b) {
      digests.push_back(CombinationOf({parts[a], parts[b]}));
      for (std::size_t c = b + 1; c < parts.size(); ++c) {
        digests.push_back(CombinationOf({parts[a], parts[b], parts[c]}));
      }
    }
  }
  return digests;
}

std::string RequestDigest::ToString() const {
  char buf[kHexDigits + 1];
  std::snprintf(buf, sizeof(buf), "%016llx%016llx", static_cast<unsigned long long>(high),
                static_cast<unsigned long long>(low));
  return buf;
}

std::optional<RequestDigest> RequestDigest::Parse(std::string_view text) {
  if (text.size() != kHexDigits) return std::nullopt;
  const auto high = ParseHex64(text.substr(0, kHexDigits / 2));
  const auto low = ParseHex64(text.substr(kHexDigits / 2));
  if (!high || !low) return std::nullopt;
  return RequestDigest{*high, *low};
}

}  // namespace junctionrail
