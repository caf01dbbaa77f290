// junctionrail: the operators' command-line tool.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <string>
#include <vector>

#include "commands.h"
#include "places.h"
#include "quarantine.h"
#include "quotas.h"

ABSL_FLAG(std::string, entry, "127.0.0.1:7000", "The RPC address of any entry.");
ABSL_FLAG(std::string, f, "", "The directory of declarations (apply, diff, check).");
ABSL_FLAG(std::string, output, "text", "How to print: text or json; a report also as html.");
ABSL_FLAG(std::string, author, "", "Who makes the change (apply).");
ABSL_FLAG(std::string, change_id, "", "A name for the change; repeating one is harmless (apply).");
ABSL_FLAG(std::string, reason, "", "Why the upstream is to leave (drain).");
ABSL_FLAG(bool, prune, false, "Also delete what the declarations do not name (apply, diff).");
ABSL_FLAG(int, timeout_ms, 5000, "How long to wait for an entry.");
ABSL_FLAG(int, wait_ms, 10000, "How long to wait for a change to be in force everywhere (apply).");

namespace {

using junctionrail::cli::ExitCode;
using junctionrail::cli::Options;

constexpr char kUsage[] =
    "junctionrail [flags] COMMAND\n"
    "  check -f DIR              check declarations without any entry\n"
    "  diff -f DIR               show what apply would change\n"
    "  apply -f DIR              accept declarations and wait until they are in force\n"
    "  get                       print the declarations in force\n"
    "  status                    entries, upstreams and replica slots\n"
    "  drain VM                  ask an upstream to leave\n"
    "  report burn [KEY]         service-level burn, of one name or all (--output=html too)\n"
    "  why request ID            why a request went where it went\n"
    "  why model NAME@VERSION    why a model is where it is\n"
    "  why upstream VM           what was decided about an upstream\n"
    "  quarantine list           requests refused since upstreams end when they run them\n"
    "  quarantine release DIGEST let one be tried once more, alone; both with --entry=ADDRESS of\n"
    "                            an entry for peers (direct.peer)\n"
    "  places                    data halls: regions, upstreams, evacuations; --entry as for\n"
    "                            quarantine\n"
    "  quotas                    what organisations may send, and what this entry sent and "
    "refused\n"
    "                            of it; --entry as for quarantine\n"
    "  story ID FILE...          what the logs of all processes say of a request\n"
    "  explain FILE...           where callers' time went, out of the logs of all processes\n"
    "Exit codes: 0 done, 1 refused, 2 bad input, 3 entry away, 4 not in force yet, 5 unknown";

ExitCode BadUsage(const std::string& sentence) {
  std::fprintf(stderr, "error: %s\n%s\n", sentence.c_str(), kUsage);
  return ExitCode::kBadInput;
}

ExitCode RunWhy(const Options& options, const std::vector<std::string>& words) {
  if (words.size() != 3) return BadUsage("why: expected request, model or upstream, and a name");
  const std::string& kind = words[1];
  if (kind != "request" && kind != "model" && kind != "upstream") {
    return BadUsage("why: expected request, model or upstream, found \"" + kind + "\"");
  }
  return junctionrail::cli::Why(options, kind, words[2]);
}

ExitCode RunReport(const Options& options, const std::vector<std::string>& words) {
  const bool is_burn = words.size() >= 2 && words.size() <= 3 && words[1] == "burn";
  if (!is_burn) return BadUsage("report: expected burn, and at most one name@version");
  return junctionrail::cli::ReportBurn(options, words.size() == 3 ? words[2] : "",
                                       absl::GetFlag(FLAGS_output));
}

ExitCode RunQuarantine(const Options& options, const std::vector<std::string>& words) {
  const bool is_list = words.size() == 2 && words[1] == "list";
  const bool is_release = words.size() == 3 && words[1] == "release";
  if (is_list) return junctionrail::cli::ListQuarantine(options);
  if (is_release) return junctionrail::cli::ReleaseFromQuarantine(options, words[2]);
  return BadUsage("quarantine: expected list, or release and a digest");
}

ExitCode Run(const Options& options, const std::vector<std::string>& words) {
  if (words.empty()) return BadUsage("expected a command, found nothing");
  const std::string& command = words[0];
  if (command == "why") return RunWhy(options, words);
  if (command == "drain") {
    if (words.size() != 2) return BadUsage("drain: expected the name of one VM");
    return junctionrail::cli::Drain(options, words[1]);
  }
  if (command == "quarantine") return RunQuarantine(options, words);
  if (command == "report") return RunReport(options, words);
  if (command == "story") {
    if (words.size() < 3) return BadUsage("story: expected a request's id and log files");
    return junctionrail::cli::TellStory(options, words[1], {words.begin() + 2, words.end()});
  }
  if (command == "explain") {
    if (words.size() < 2) return BadUsage("explain: expected log files");
    return junctionrail::cli::Explain(options, {words.begin() + 1, words.end()});
  }
  if (words.size() != 1) return BadUsage(command + ": expected no further words");
  if (command == "check") return junctionrail::cli::Check(options);
  if (command == "diff") return junctionrail::cli::Diff(options);
  if (command == "apply") return junctionrail::cli::Apply(options);
  if (command == "get") return junctionrail::cli::Get(options);
  if (command == "status") return junctionrail::cli::Status(options);
  if (command == "places") return junctionrail::cli::ListPlaces(options);
  if (command == "quotas") return junctionrail::cli::ListQuotas(options);
  return BadUsage("no command is called \"" + command + "\"");
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(kUsage);
  const std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
  const std::vector<std::string> words(rest.begin() + 1, rest.end());
  const std::string output = absl::GetFlag(FLAGS_output);
  const bool is_report = !words.empty() && words[0] == "report";
  if (output != "text" && output != "json" && !(is_report && output == "html")) {
    return BadUsage("--output: expected text or json, or html for a report, found \"" + output +
                    "\"");
  }
  Options options;
  options.entry = absl::GetFlag(FLAGS_entry);
  options.directory = absl::GetFlag(FLAGS_f);
  options.author = absl::GetFlag(FLAGS_author);
  options.change_id = absl::GetFlag(FLAGS_change_id);
  options.reason = absl::GetFlag(FLAGS_reason);
  options.prune = absl::GetFlag(FLAGS_prune);
  options.is_json = output == "json";
  options.timeout_ms = absl::GetFlag(FLAGS_timeout_ms);
  options.wait_ms = absl::GetFlag(FLAGS_wait_ms);
  return Run(options, words);
}
