// What organisations may send and have sent, as one entry knows it.
#ifndef JUNCTIONRAIL_CLI_QUOTAS_H_
#define JUNCTIONRAIL_CLI_QUOTAS_H_

#include "commands.h"

namespace junctionrail::cli {

ExitCode ListQuotas(const Options& options);

}  // namespace junctionrail::cli

#endif  // JUNCTIONRAIL_CLI_QUOTAS_H_
