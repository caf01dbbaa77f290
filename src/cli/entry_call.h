// Calls to an entry's address for other entries and operators (`direct.peer`).
#ifndef JUNCTIONRAIL_CLI_ENTRY_CALL_H_
#define JUNCTIONRAIL_CLI_ENTRY_CALL_H_

#include <string>

#include "commands.h"
#include "junctionrail/net.h"

namespace junctionrail::cli {

// Calls the entry that `--entry` names, and says on standard error why there is no answer.
ExitCode CallEntry(const Options& options, std::string method, std::string target,
                   HttpAnswer* answer);
// Says that the entry's answer is not one that this program knows.
ExitCode BadAnswer(const Options& options, const HttpAnswer& answer);

}  // namespace junctionrail::cli

#endif  // JUNCTIONRAIL_CLI_ENTRY_CALL_H_
