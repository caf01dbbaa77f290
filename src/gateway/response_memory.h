// Accounts for the bytes of unfinished responses that an entry holds, and ends attempts when they
// are too many. Free of I/O.
#ifndef JUNCTIONRAIL_GATEWAY_RESPONSE_MEMORY_H_
#define JUNCTIONRAIL_GATEWAY_RESPONSE_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace junctionrail::internal {

// Responses that are kept until they are whole are a few MiB at most. The smallest entries have
// 260 MB for the whole process.
constexpr std::size_t kMaxResponseBytes = 64 << 20;
// A single faulty upstream leaves as much to the others.
constexpr std::size_t kMaxUpstreamResponseBytes = 32 << 20;
constexpr char kResponsesTooLong[] = "more than 64 MiB of unfinished responses";
constexpr char kUpstreamResponsesTooLong[] =
    "more than 32 MiB of unfinished responses of one upstream";

class ResponseMemory {
 public:
  using AttemptId = std::uint64_t;  // 0: none.
  // Called to end the attempt, with the bound that was exceeded. The bytes are no longer counted.
  using EndCallback = std::function<void(std::string_view reason)>;

  AttemptId Add(const std::string& instance, EndCallback end);
  // The attempt has ended, and holds nothing any more. Does nothing if it was removed before.
  void Remove(AttemptId id);
  // What the attempt holds now. Returns whether a bound is exceeded.
  bool SetBytes(AttemptId id, std::size_t bytes);
  // Ends attempts until no bound is exceeded. Must not be called from within a callback of an
  // attempt.
  void EndExcess();

  std::size_t held_bytes() const { return held_bytes_; }
  std::uint64_t ended_attempts() const { return ended_attempts_; }

 private:
  struct Attempt {
    std::string instance;
    std::size_t bytes = 0;
    EndCallback end;
  };
  struct Upstream {
    std::size_t bytes = 0;
    int attempts = 0;
  };
  using Attempts = std::map<AttemptId, Attempt>;
  struct Excess {
    std::string instance;
    std::string_view reason;
  };

  std::optional<Excess> FindExcess() const;
  AttemptId FindLargest(const std::string& instance) const;

  Attempts attempts_;
  std::map<std::string, Upstream> upstreams_;  // By instance.
  std::size_t held_bytes_ = 0;
  AttemptId last_id_ = 0;
  std::uint64_t ended_attempts_ = 0;
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_GATEWAY_RESPONSE_MEMORY_H_
