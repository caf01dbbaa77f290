// Stand-in for the weight store: POST /v1/fetch {"memory_mb": N} answers when
// the checkpoint has arrived. Starts are spaced, and beyond a few transfers at
// once each is slower.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>

#include "standin_main.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Where to listen.");
ABSL_FLAG(double, starts_per_second, 3, "Transfers that may start in a second.");
ABSL_FLAG(int, at_full_speed, 4, "Transfers at once that are not slowed.");
ABSL_FLAG(int, ms_per_gb, 100, "Time for a gigabyte at full speed.");

int main(int argc, char** argv) {
  using junctionrail::MonotonicMs;
  using junctionrail::TimeMs;
  absl::ParseCommandLine(argc, argv);
  boost::asio::io_context io(1);
  const auto spacing = static_cast<TimeMs>(1000 / absl::GetFlag(FLAGS_starts_per_second));
  TimeMs next_start = 0;
  int active = 0;
  return junctionrail::standin::Serve(
      io, absl::GetFlag(FLAGS_listen),
      [&](const junctionrail::HttpRequest& request,
          std::shared_ptr<junctionrail::HttpResponder> responder) {
        const auto body = junctionrail::standin::BodyOf(request);
        const double gb = body.value("memory_mb", 1024.0) / 1024.0;
        const TimeMs now = MonotonicMs();
        const TimeMs start = std::max(now, next_start);
        next_start = start + spacing;
        ++active;
        const double slowdown =
            std::max(1.0, static_cast<double>(active) / absl::GetFlag(FLAGS_at_full_speed));
        const auto transfer = static_cast<TimeMs>(gb * absl::GetFlag(FLAGS_ms_per_gb) * slowdown);
        auto timer = std::make_shared<junctionrail::Timer>(io);
        timer->After(start - now + transfer, [&active, responder, timer] {
          --active;
          junctionrail::standin::Answer(*responder, 200, {{"ok", true}});
        });
      });
}
