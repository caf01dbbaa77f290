#include "junctionrail/sha256.h"

#include <openssl/evp.h>

#include "junctionrail/base.h"

namespace junctionrail {

struct Sha256::Impl {
  Impl() : context(EVP_MD_CTX_new()) {}
  ~Impl() { EVP_MD_CTX_free(context); }

  EVP_MD_CTX* context;
};

Sha256::Sha256() : impl_(std::make_unique<Impl>()) {
  const bool is_begun =
      impl_->context != nullptr && EVP_DigestInit_ex(impl_->context, EVP_sha256(), nullptr) == 1;
  CheckInvariant(is_begun, "SHA-256 is there");
}

Sha256::~Sha256() = default;

void Sha256::Add(std::string_view bytes) {
  EVP_DigestUpdate(impl_->context, bytes.data(), bytes.size());
}

Sha256Digest Sha256::Finish() {
  Sha256Digest digest{};
  EVP_DigestFinal_ex(impl_->context, digest.data(), nullptr);
  return digest;
}

}  // namespace junctionrail
