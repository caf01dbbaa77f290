#include "standin_main.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>

namespace junctionrail::standin {
namespace {

constexpr std::uint64_t kMostBodyBytes = 64 << 20;

}  // namespace

int Serve(boost::asio::io_context& io, const std::string& listen, HttpHandler handler) {
  HttpServerOptions options;
  if (!ParseEndpoint(listen, &options.endpoint)) {
    std::fprintf(stderr, "--listen: expected address:port, found \"%s\"\n", listen.c_str());
    return 2;
  }
  options.max_body_bytes = kMostBodyBytes;
  HttpServer server(io, options, std::move(handler));
  const auto port = server.Listen();
  if (!port) {
    std::fprintf(stderr, "%s\n", port.error().sentence.c_str());
    return 2;
  }
  std::printf("listening %u\n", static_cast<unsigned>(port.value()));
  std::fflush(stdout);
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
  io.run();
  return 0;
}

void Answer(HttpResponder& responder, unsigned status, const nlohmann::json& body) {
  responder.Whole(status, {{"Content-Type", "application/json"}}, body.dump());
}

nlohmann::json BodyOf(const HttpRequest& request) {
  nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
  return body.is_object() ? body : nlohmann::json::object();
}

}  // namespace junctionrail::standin
