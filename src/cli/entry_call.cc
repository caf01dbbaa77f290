#include "entry_call.h"

#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <utility>

#include "junctionrail/settings.h"

namespace junctionrail::cli {

ExitCode CallEntry(const Options& options, std::string method, std::string target,
                   HttpAnswer* answer) {
  HttpCall call;
  if (!ParseEndpoint(options.entry, &call.endpoint)) {
    std::fprintf(stderr, "error: --entry: expected ADDRESS:PORT, found \"%s\"\n",
                 options.entry.c_str());
    return kBadInput;
  }
  call.method = std::move(method);
  call.target = std::move(target);
  call.connect_ms = options.timeout_ms;
  call.quiet_ms = options.timeout_ms;
  boost::asio::io_context io;
  HttpClient client(io);
  const auto handle = FetchWhole(client, std::move(call), [&](const HttpAnswer& it) {
    *answer = it;
    io.stop();
  });
  io.run();
  if (answer->status != 0) return kDone;
  std::fprintf(stderr, "error: entry %s: no answer\n", options.entry.c_str());
  return kEntryAway;
}

ExitCode BadAnswer(const Options& options, const HttpAnswer& answer) {
  std::fprintf(stderr, "error: entry %s: status %u: %s\n", options.entry.c_str(), answer.status,
               answer.body.c_str());
  return kUnknown;
}

}  // namespace junctionrail::cli
