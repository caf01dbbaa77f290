#include "commands.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "explain.h"
#include "junctionrail/declarations.h"
#include "story.h"

namespace junctionrail::cli {
namespace {

constexpr auto kPollPeriod = std::chrono::milliseconds(100);

template <class Keys>
void PrintKeys(const char* mark, const Keys& keys) {
  for (const auto& it : keys) std::printf("%s %s\n", mark, it.c_str());
}

void PrintDifference(const rpc::ApplyReply& reply) {
  PrintKeys("+", reply.added());
  PrintKeys("~", reply.changed());
  PrintKeys("-", reply.removed());
  if (reply.added_size() + reply.changed_size() + reply.removed_size() == 0) {
    std::printf("no difference from version %llu\n",
                static_cast<unsigned long long>(reply.version()));
  }
}

std::string NewChangeId() {
  std::random_device random;
  char buf[33];
  std::snprintf(buf, sizeof(buf), "%08x%08x", random(), random());
  return buf;
}

// Reads the directory; prints the complaint when it is wrong.
bool ReadDirectory(const Options& options, std::string* declarations) {
  if (options.directory.empty()) {
    std::fprintf(stderr, "error: -f: expected a directory of declarations, found nothing\n");
    return false;
  }
  const auto read = ReadDeclarationDirectory(options.directory);
  if (!read) {
    std::fprintf(stderr, "error: %s\n", read.error().Sentence().c_str());
    return false;
  }
  // The version belongs to the log; declarations carry none.
  const std::string text = EncodeConfiguration(read.value());
  auto document = ParseJson(text, options.directory);
  document.value().erase("version");
  *declarations = document.value().dump();
  return true;
}

ExitCode SendApply(const Options& options, bool dry_run, rpc::ApplyReply* reply) {
  rpc::ApplyRequest request;
  if (!ReadDirectory(options, request.mutable_declarations_json())) return kBadInput;
  request.set_author(options.author);
  request.set_change_id(options.change_id.empty() ? NewChangeId() : options.change_id);
  request.set_prune(options.prune);
  request.set_dry_run(dry_run);
  Client client(options.entry, options.timeout_ms);
  return client.Ask(&rpc::Operator::Stub::Apply, request, reply);
}

// The entries where `version` is not in force yet, by asking each of them.
struct Lagging {
  int asked = 0;
  std::vector<std::string> entries;
};
Lagging FindLagging(const Options& options, std::uint64_t version) {
  Lagging lagging;
  Client client(options.entry, options.timeout_ms);
  rpc::StatusReply all;
  if (!client.Call(&rpc::Operator::Stub::Status, rpc::StatusRequest(), &all).ok()) {
    lagging.asked = 1;
    lagging.entries.push_back(options.entry + " (does not answer)");
    return lagging;
  }
  for (const auto& it : all.entries()) {
    ++lagging.asked;
    Client peer(it.rpc(), options.timeout_ms);
    rpc::StatusReply status;
    const bool is_answered =
        peer.Call(&rpc::Operator::Stub::Status, rpc::StatusRequest(), &status).ok();
    if (!is_answered) {
      lagging.entries.push_back(it.vm() + " (does not answer)");
    } else if (status.config_version() < version) {
      lagging.entries.push_back(it.vm() + " (at version " +
                                std::to_string(status.config_version()) + ")");
    }
  }
  return lagging;
}

ExitCode WaitForForce(const Options& options, std::uint64_t version) {
  const auto start = std::chrono::steady_clock::now();
  const auto until = start + std::chrono::milliseconds(options.wait_ms);
  std::size_t shown = 0;
  while (true) {
    const Lagging lagging = FindLagging(options, version);
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::steady_clock::now() - start)
                        .count();
    if (lagging.entries.empty()) {
      if (!options.is_json) {
        std::printf("in force at all %d entries, seen %lld ms after acceptance\n", lagging.asked,
                    static_cast<long long>(ms));
      }
      return kDone;
    }
    if (std::chrono::steady_clock::now() >= until) {
      for (const auto& it : lagging.entries) {
        std::fprintf(stderr, "error: not in force yet: %s\n", it.c_str());
      }
      return kNotYet;
    }
    if (!options.is_json && lagging.entries.size() != shown) {
      shown = lagging.entries.size();
      std::printf("in force at %d of %d entries\n", lagging.asked - static_cast<int>(shown),
                  lagging.asked);
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
}

void PrintStatus(const rpc::StatusReply& status) {
  std::printf("entry %s  configuration %llu  key-value service %s  calls present %llu\n",
              status.vm().c_str(), static_cast<unsigned long long>(status.config_version()),
              status.kv_reachable() ? "answers" : "AWAY",
              static_cast<unsigned long long>(status.present()));
  std::printf("\n%-16s %-22s %s\n", "ENTRY", "RPC", "STATE");
  for (const auto& it : status.entries()) {
    std::printf("%-16s %-22s %s\n", it.vm().c_str(), it.rpc().c_str(),
                it.leaving() ? "leaving" : "live");
  }
  std::printf("\n%-16s %-16s %-22s %-10s %s\n", "UPSTREAM", "DATA HALL", "ROLE", "STATE",
              "IN FLIGHT");
  for (const auto& it : status.upstreams()) {
    const char* state = it.leaving() ? "leaving" : (it.ejected() ? "ejected" : "live");
    const std::string role = it.role() + (it.service().empty() ? "" : " " + it.service());
    std::printf("%-16s %-16s %-22s %-10s %u\n", it.vm().c_str(), it.data_hall().c_str(),
                role.c_str(), state, it.in_flight());
  }
  std::printf("\n%-32s %-9s %s\n", "MODEL", "REPLICAS", "SLOTS");
  for (const auto& it : status.models()) {
    std::string slots;
    for (const auto& slot : it.slots()) {
      slots += (slots.empty() ? "" : " ") + std::to_string(slot.index()) + ":" + slot.vm();
    }
    std::printf("%-32s %d/%-7u %s\n", it.key().c_str(), it.slots_size(), it.declared(),
                slots.empty() ? "-" : slots.c_str());
  }
}

void PrintDecisions(const rpc::WhyReply& reply) {
  for (const auto& it : reply.decisions()) {
    std::printf("%s: %s\n", it.process().c_str(), it.sentence().c_str());
    if (!it.key().empty()) std::printf("    model: %s\n", it.key().c_str());
    if (!it.inputs().empty()) std::printf("    inputs: %s\n", it.inputs().c_str());
    for (const auto& candidate : it.rejected()) {
      std::printf("    rejected: %s: %s\n", candidate.vm().c_str(), candidate.reason().c_str());
    }
    std::printf("    configuration: %llu  at: %lld ms\n",
                static_cast<unsigned long long>(it.config_version()),
                static_cast<long long>(it.at_ms()));
  }
}

}  // namespace

namespace {

// Hands each file to `read`; false, and says which, when one cannot be read.
bool ReadLogs(const std::vector<std::string>& files,
              const std::function<void(std::istream&)>& read) {
  for (const auto& file : files) {
    std::ifstream log(file);
    if (!log) {
      std::fprintf(stderr, "error: %s: expected a log file that can be read\n", file.c_str());
      return false;
    }
    read(log);
  }
  return true;
}

}  // namespace

ExitCode Explain(const Options& options, const std::vector<std::string>& files) {
  if (options.is_json) {
    std::fprintf(stderr, "error: explain: expected --output=text, found json\n");
    return kBadInput;
  }
  Explanation explanation;
  if (!ReadLogs(files, [&](std::istream& log) { explanation.Read(log); })) return kBadInput;
  std::printf("%s", explanation.ToText().c_str());
  if (explanation.lines_passed_over() > 0) {
    std::fprintf(stderr, "%zu lines are no events\n", explanation.lines_passed_over());
  }
  return kDone;
}

ExitCode TellStory(const Options& options, const std::string& request,
                   const std::vector<std::string>& files) {
  Story story(request);
  if (!ReadLogs(files, [&](std::istream& log) { story.Read(log); })) return kBadInput;
  const std::vector<StoryLine> lines = story.Lines();
  if (lines.empty()) {
    std::fprintf(stderr, "error: no line names the request %s (%zu lines are no events)\n",
                 request.c_str(), story.lines_passed_over());
    return kRefused;
  }
  for (const auto& it : lines) {
    if (options.is_json) {
      const nlohmann::json line = {
          {"t", it.wall_ms}, {"process", it.process}, {"event", it.event}, {"details", it.details}};
      std::printf("%s\n", line.dump().c_str());
    } else {
      std::printf("%+8lld ms  %-20s %-18s %s\n",
                  static_cast<long long>(it.wall_ms - lines.front().wall_ms), it.process.c_str(),
                  it.event.c_str(), it.details.c_str());
    }
  }
  return kDone;
}

ExitCode Check(const Options& options) {
  std::string declarations;
  if (!ReadDirectory(options, &declarations)) return kBadInput;
  std::printf("%s: the declarations are well formed\n", options.directory.c_str());
  return kDone;
}

ExitCode Diff(const Options& options) {
  rpc::ApplyReply reply;
  const ExitCode code = SendApply(options, true, &reply);
  if (code != kDone) return code;
  if (options.is_json) {
    PrintJson(reply);
  } else {
    PrintDifference(reply);
  }
  return kDone;
}

ExitCode Apply(const Options& options) {
  rpc::ApplyReply reply;
  const ExitCode code = SendApply(options, false, &reply);
  if (code != kDone) return code;
  if (options.is_json) {
    PrintJson(reply);
  } else {
    PrintDifference(reply);
    if (reply.accepted()) {
      std::printf("version %llu is accepted\n", static_cast<unsigned long long>(reply.version()));
    }
  }
  return reply.accepted() ? WaitForForce(options, reply.version()) : kDone;
}

ExitCode Get(const Options& options) {
  Client client(options.entry, options.timeout_ms);
  rpc::GetReply reply;
  const ExitCode code = client.Ask(&rpc::Operator::Stub::Get, rpc::GetRequest(), &reply);
  if (code != kDone) return code;
  const auto document = ParseJson(reply.declarations_json(), options.entry);
  if (!document) return kRefused;
  std::printf("%s\n", document.value().dump(2).c_str());
  return kDone;
}

ExitCode Status(const Options& options) {
  Client client(options.entry, options.timeout_ms);
  rpc::StatusReply reply;
  const ExitCode code = client.Ask(&rpc::Operator::Stub::Status, rpc::StatusRequest(), &reply);
  if (code != kDone) return code;
  if (options.is_json) {
    PrintJson(reply);
  } else {
    PrintStatus(reply);
  }
  return kDone;
}

ExitCode Drain(const Options& options, const std::string& vm) {
  Client client(options.entry, options.timeout_ms);
  rpc::DrainRequest request;
  request.set_vm(vm);
  request.set_reason(options.reason.empty() ? "an operator asked" : options.reason);
  rpc::DrainReply reply;
  const ExitCode code = client.Ask(&rpc::Operator::Stub::Drain, request, &reply);
  if (code != kDone) return code;
  if (!options.is_json) std::printf("%s is asked to leave\n", vm.c_str());
  return kDone;
}

ExitCode Why(const Options& options, const std::string& kind, const std::string& subject) {
  Client client(options.entry, options.timeout_ms);
  rpc::WhyRequest request;
  request.set_subject(subject);
  rpc::WhyReply reply;
  const ExitCode code = client.Ask(&rpc::Operator::Stub::Why, request, &reply);
  if (code != kDone) return code;
  if (options.is_json) {
    PrintJson(reply);
  } else {
    PrintDecisions(reply);
  }
  for (const auto& it : reply.unreachable()) {
    std::fprintf(stderr, "warning: %s could not be asked\n", it.c_str());
  }
  if (reply.decisions_size() > 0) return kDone;
  std::fprintf(stderr, "error: no record of %s \"%s\"%s\n", kind.c_str(), subject.c_str(),
               reply.evicted() > 0 ? "; it may have been evicted from the bounded records" : "");
  return kRefused;
}

}  // namespace junctionrail::cli
