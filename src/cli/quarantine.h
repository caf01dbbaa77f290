// Lists and releases the requests that entries refuse since upstreams end when they
// run them.
#ifndef JUNCTIONRAIL_CLI_QUARANTINE_H_
#define JUNCTIONRAIL_CLI_QUARANTINE_H_

#include <string>

#include "client.h"
#include "commands.h"

namespace junctionrail::cli {

// `options.entry` is an entry's address for peers.
ExitCode ListQuarantine(const Options& options);
ExitCode ReleaseFromQuarantine(const Options& options, const std::string& digest);

}  // namespace junctionrail::cli

#endif  // JUNCTIONRAIL_CLI_QUARANTINE_H_
