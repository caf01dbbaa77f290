#include "quarantine.h"

#include <cstdio>
#include <nlohmann/json.hpp>

#include "entry_call.h"
#include "junctionrail/quarantine.h"

namespace junctionrail::cli {

ExitCode ListQuarantine(const Options& options) {
  HttpAnswer answer;
  const ExitCode code = CallEntry(options, "GET", "/quarantine", &answer);
  if (code != kDone) return code;
  const auto page = nlohmann::json::parse(answer.body, nullptr, false);
  const bool is_page = answer.status == 200 && page.is_object() && page.contains("refused");
  if (!is_page) return BadAnswer(options, answer);
  if (options.is_json) {
    std::printf("%s\n", answer.body.c_str());
    return kDone;
  }
  for (const auto& it : page["refused"]) {
    std::printf("%s  refused for %lld s, %d upstreams ended\n",
                it.value("digest", std::string()).c_str(),
                static_cast<long long>(it.value("age_ms", 0LL) / 1000), it.value("ends", 0));
  }
  std::printf("%zu refused, %d suspected, %d cleared since the start\n", page["refused"].size(),
              page.value("suspects", 0), page.value("cleared", 0));
  return kDone;
}

ExitCode ReleaseFromQuarantine(const Options& options, const std::string& digest) {
  if (!RequestDigest::Parse(digest)) {
    std::fprintf(stderr,
                 "error: quarantine release: expected 32 hexadecimal digits, found \"%s\"\n",
                 digest.c_str());
    return kBadInput;
  }
  HttpAnswer answer;
  const ExitCode code = CallEntry(options, "POST", "/quarantine/release/" + digest, &answer);
  if (code != kDone) return code;
  if (answer.status == 404) {
    std::fprintf(stderr, "error: %s is not refused at %s\n", digest.c_str(), options.entry.c_str());
    return kRefused;
  }
  if (answer.status != 200) return BadAnswer(options, answer);
  std::printf("released: it is tried once more, alone\n");
  return kDone;
}

}  // namespace junctionrail::cli
