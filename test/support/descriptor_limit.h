// Limits the descriptors of this process, and of those that it starts meanwhile.
#ifndef JUNCTIONRAIL_TEST_SUPPORT_DESCRIPTOR_LIMIT_H_
#define JUNCTIONRAIL_TEST_SUPPORT_DESCRIPTOR_LIMIT_H_

#include <sys/resource.h>

namespace junctionrail::testing {

class ScopedDescriptorLimit {
 public:
  // Descriptors that are open already stay so.
  explicit ScopedDescriptorLimit(rlim_t most) {
    getrlimit(RLIMIT_NOFILE, &previous_);
    const rlimit limit{most, previous_.rlim_max};
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  ~ScopedDescriptorLimit() { setrlimit(RLIMIT_NOFILE, &previous_); }
  ScopedDescriptorLimit(const ScopedDescriptorLimit&) = delete;
  ScopedDescriptorLimit& operator=(const ScopedDescriptorLimit&) = delete;

 private:
  rlimit previous_{};
};

}  // namespace junctionrail::testing

#endif  // JUNCTIONRAIL_TEST_SUPPORT_DESCRIPTOR_LIMIT_H_
