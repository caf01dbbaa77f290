// An entry of the direct path as a process of its own, with stand-ins of the platform's store and
// of its upstreams in the test's process.
#ifndef JUNCTIONRAIL_TEST_SUPPORT_ENTRY_PROCESS_H_
#define JUNCTIONRAIL_TEST_SUPPORT_ENTRY_PROCESS_H_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <optional>
#include <string>

#include "junctionrail/net.h"
#include "loopback.h"
#include "platform_standin.h"

namespace junctionrail::testing {

struct EntryProcessOptions {
  std::optional<std::size_t> max_descriptors;  // None: as many as the test may have.
};

class EntryProcess {
 public:
  // Returns once the entry is ready. It serves "/quick/", which is answered at once, with 8 MiB at
  // "/quick/large", and "/silent/", which never is answered.
  explicit EntryProcess(EntryProcessOptions options = {});
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  Endpoint callers() const { return {address_, kCallersPort}; }
  Endpoint health() const { return {address_, kHealthPort}; }
  const std::string& address() const { return address_; }
  pid_t pid() const { return pid_; }
  // Whether the process still runs.
  bool IsRunning();
  // What a caller gets that sends one request with a body of `body_bytes` on a new connection.
  std::string Fetch(std::size_t body_bytes);
  // The metrics page.
  std::string Metrics();

  boost::asio::io_context io;
  StandinStore store{io};

 private:
  static constexpr std::uint16_t kCallersPort = 8100;
  static constexpr std::uint16_t kHealthPort = 8101;
  static constexpr std::uint16_t kPeerPort = 8102;
  static constexpr std::uint16_t kMetricsPort = 8300;

  void Configure();
  void Start(const EntryProcessOptions& options);
  void AwaitReady();
  std::string Get(const Endpoint& endpoint, const std::string& target);

  std::string address_ = OwnAddress(77);
  ScriptedUpstream quick_;
  ScriptedUpstream silent_;
  std::string directory_;
  pid_t pid_ = 0;
};

// The head of a request, up to the fields that frame its body.
std::string RequestHead(const std::string& line, const std::string& id);

}  // namespace junctionrail::testing

#endif  // JUNCTIONRAIL_TEST_SUPPORT_ENTRY_PROCESS_H_
