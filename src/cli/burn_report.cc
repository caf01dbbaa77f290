// The report on service-level burn: as text, as JSON, and as one HTML page
// that needs nothing else.
#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include "commands.h"

namespace junctionrail::cli {
namespace {

constexpr int kBarWidth = 300;

std::uint64_t Total(const rpc::BurnWindow& window) {
  std::uint64_t sum = 0;
  for (const auto it : window.by_cause()) sum += it;
  return sum;
}

// What used the budget, most first: `queue 12, slow_cold 3`.
std::string UsedBy(const rpc::BurnReply& reply, const rpc::BurnWindow& window) {
  struct Use {
    std::uint64_t n;
    std::string cause;
  };
  std::vector<Use> uses;
  for (int it = 1; it < window.by_cause_size(); ++it) {  // 0 is `good`.
    if (window.by_cause(it) > 0) uses.push_back({window.by_cause(it), reply.causes(it)});
  }
  std::sort(uses.begin(), uses.end(), [](const Use& a, const Use& b) { return a.n > b.n; });
  std::string text;
  for (const auto& it : uses) {
    text += (text.empty() ? "" : ", ") + it.cause + " " + std::to_string(it.n);
  }
  return text.empty() ? "nothing" : text;
}

void PrintText(const rpc::BurnReply& reply) {
  std::printf("counts of %u entries; a rate of 1 uses exactly the budget up\n", reply.entries());
  for (const auto& key : reply.keys()) {
    std::printf("\n%s\n  %-4s %9s %12s %13s %11s %12s  %s\n", key.key().c_str(), "", "calls",
                "first token", "availability", "cold start", "budget left", "used by");
    for (const auto& it : key.windows()) {
      std::printf("  %-4s %9llu %12.2f %13.2f %11.2f %11.0f%%  %s\n", it.name().c_str(),
                  static_cast<unsigned long long>(Total(it)), it.first_token_rate(),
                  it.availability_rate(), it.cold_start_rate(), it.budget_left() * 100,
                  UsedBy(reply, it).c_str());
    }
  }
}

std::string Escaped(const std::string& text) {
  std::string safe;
  for (const char c : text) {
    if (c == '<') {
      safe += "&lt;";
    } else if (c == '&') {
      safe += "&amp;";
    } else {
      safe += c;
    }
  }
  return safe;
}

// A bar whose full length is a rate of 2; a line stands at 1.
void PrintBar(double rate) {
  const int width = static_cast<int>(std::min(rate, 2.0) / 2 * kBarWidth);
  std::printf(
      "<svg width='%d' height='14'><rect width='%d' height='14' fill='#eee'/><rect width='%d' "
      "height='14' fill='%s'/><line x1='%d' x2='%d' y1='0' y2='14' stroke='#000'/></svg>",
      kBarWidth, kBarWidth, width, rate > 1 ? "#c33" : "#393", kBarWidth / 2, kBarWidth / 2);
}

void PrintHtml(const rpc::BurnReply& reply) {
  std::printf(
      "<!DOCTYPE html><html lang='en'><meta charset='utf-8'><title>Service-level burn</title>"
      "<style>body{font-family:sans-serif}td,th{padding:2px 10px;text-align:left}</style>"
      "<h1>Service-level burn</h1><p>Counts of %u entries. The line in each bar is a rate of 1, "
      "which uses exactly the budget up over the window.</p>",
      reply.entries());
  for (const auto& key : reply.keys()) {
    std::printf(
        "<h2>%s</h2><table><tr><th>window<th>calls<th>first token<th>rate<th>"
        "availability<th>budget left<th>used by</tr>",
        Escaped(key.key()).c_str());
    for (const auto& it : key.windows()) {
      std::printf("<tr><td>%s<td>%llu<td>", it.name().c_str(),
                  static_cast<unsigned long long>(Total(it)));
      PrintBar(it.first_token_rate());
      std::printf("<td>%.2f<td>%.2f<td>%.0f%%<td>%s</tr>", it.first_token_rate(),
                  it.availability_rate(), it.budget_left() * 100, UsedBy(reply, it).c_str());
    }
    std::printf("</table>");
  }
  std::printf("</html>\n");
}

}  // namespace

ExitCode ReportBurn(const Options& options, const std::string& key, const std::string& format) {
  Client client(options.entry, options.timeout_ms);
  rpc::BurnRequest request;
  request.set_key(key);
  rpc::BurnReply reply;
  const ExitCode code = client.Ask(&rpc::Operator::Stub::Burn, request, &reply);
  if (code != kDone) return code;
  for (const auto& it : reply.unreachable()) {
    std::fprintf(stderr, "warning: %s could not be asked; its counts are missing\n", it.c_str());
  }
  if (format == "json") {
    PrintJson(reply);
  } else if (format == "html") {
    PrintHtml(reply);
  } else {
    PrintText(reply);
  }
  return kDone;
}

}  // namespace junctionrail::cli
