// Stand-in for a plain service whose calls may not be repeated. Every POST runs
// an action and counts it under its "ref": {"ref": R, "delay_ms": N}. GET
// /counter?ref=R tells how often R ran. {"die": true} ends the process after
// the action has run and before its answer.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdlib>
#include <map>

#include "standin_main.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Where to listen.");

int main(int argc, char** argv) {
  using junctionrail::standin::Answer;
  absl::ParseCommandLine(argc, argv);
  boost::asio::io_context io(1);
  std::map<std::string, int> ran;
  return junctionrail::standin::Serve(
      io, absl::GetFlag(FLAGS_listen),
      [&](const junctionrail::HttpRequest& request,
          std::shared_ptr<junctionrail::HttpResponder> responder) {
        if (request.method == "GET") {
          const std::size_t equals = request.target.rfind("ref=");
          const std::string ref =
              equals == std::string::npos ? "" : request.target.substr(equals + 4);
          return Answer(*responder, 200, {{"ref", ref}, {"ran", ran[ref]}});
        }
        const auto body = junctionrail::standin::BodyOf(request);
        const std::string ref = body.value("ref", "");
        const int count = ++ran[ref];
        if (body.value("die", false)) std::_Exit(1);
        const nlohmann::json answer = {{"ref", ref}, {"ran", count}};
        auto timer = std::make_shared<junctionrail::Timer>(io);
        timer->After(body.value("delay_ms", 0),
                     [responder, answer, timer] { Answer(*responder, 200, answer); });
      });
}
