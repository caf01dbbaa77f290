#include "junctionrail/base.h"

#include <absl/strings/escaping.h>
#include <spdlog/spdlog.h>

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdlib>
#include <utility>

namespace junctionrail {
namespace {

InvariantHandler& Handler() {
  static InvariantHandler handler = [](std::string_view sentence) {
    spdlog::critical("invariant broken: {}", sentence);
    spdlog::default_logger()->flush();
    std::abort();
  };
  return handler;
}

}  // namespace

void CheckInvariant(bool holds, std::string_view sentence) {
  if (!holds) Handler()(sentence);
}

InvariantHandler SetInvariantHandler(InvariantHandler handler) {
  return std::exchange(Handler(), std::move(handler));
}

bool Contains(const std::vector<std::string>& list, std::string_view value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

std::uint64_t RendezvousScore(std::string_view key, std::string_view node) {
  // Seeding the node's hash with the key's keeps "ab"+"c" apart from "a"+"bc".
  const XXH64_hash_t seed = XXH3_64bits(key.data(), key.size());
  return XXH3_64bits_withSeed(node.data(), node.size(), seed);
}

std::string EncodeBase64(std::string_view bytes) {
  return absl::Base64Escape(absl::string_view(bytes.data(), bytes.size()));
}

bool DecodeBase64(std::string_view text, std::string* bytes) {
  return absl::Base64Unescape(absl::string_view(text.data(), text.size()), bytes);
}

}  // namespace junctionrail
