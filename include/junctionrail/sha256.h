// SHA-256 of bytes that come in parts.
#ifndef JUNCTIONRAIL_SHA256_H_
#define JUNCTIONRAIL_SHA256_H_

#include <array>
#include <memory>
#include <string_view>

namespace junctionrail {

using Sha256Digest = std::array<unsigned char, 32>;

class Sha256 {
 public:
  Sha256();
  ~Sha256();

  void Add(std::string_view bytes);
  // Once; nothing may be added after it.
  Sha256Digest Finish();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_SHA256_H_
