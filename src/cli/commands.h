// The commands of `junctionrail`, one function each.
#ifndef JUNCTIONRAIL_CLI_COMMANDS_H_
#define JUNCTIONRAIL_CLI_COMMANDS_H_

#include <string>
#include <vector>

#include "client.h"

namespace junctionrail::cli {

// The flags that commands share.
struct Options {
  std::string entry;
  std::string directory;  // Of declarations.
  std::string author;
  std::string change_id;  // Made up when empty.
  std::string reason;
  bool prune = false;
  bool is_json = false;
  int timeout_ms = 5000;
  int wait_ms = 10000;  // For a change to be in force everywhere.
};

ExitCode Apply(const Options& options);
ExitCode Diff(const Options& options);
ExitCode Check(const Options& options);
ExitCode Get(const Options& options);
ExitCode Status(const Options& options);
ExitCode Drain(const Options& options, const std::string& vm);
// `format` is text, json or html.
ExitCode ReportBurn(const Options& options, const std::string& key, const std::string& format);
// Prints what the log files say of a request, in order.
ExitCode TellStory(const Options& options, const std::string& request,
                   const std::vector<std::string>& files);
// Prints what the log files say of where callers' time went.
ExitCode Explain(const Options& options, const std::vector<std::string>& files);
ExitCode Why(const Options& options, const std::string& kind, const std::string& subject);

}  // namespace junctionrail::cli

#endif  // JUNCTIONRAIL_CLI_COMMANDS_H_
