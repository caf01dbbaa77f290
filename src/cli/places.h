// Data halls, their regions and upstreams, as one entry knows them.
#ifndef JUNCTIONRAIL_CLI_PLACES_H_
#define JUNCTIONRAIL_CLI_PLACES_H_

#include "commands.h"

namespace junctionrail::cli {

ExitCode ListPlaces(const Options& options);

}  // namespace junctionrail::cli

#endif  // JUNCTIONRAIL_CLI_PLACES_H_
