// What the stand-ins share: one HTTP server on one thread until SIGTERM.
#ifndef JUNCTIONRAIL_STANDINS_STANDIN_MAIN_H_
#define JUNCTIONRAIL_STANDINS_STANDIN_MAIN_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "junctionrail/net.h"

namespace junctionrail::standin {

// Serves at `listen` until SIGTERM. Prints `listening PORT` once bound, so that
// a test may ask for port 0. Returns the process's exit code.
int Serve(boost::asio::io_context& io, const std::string& listen, HttpHandler handler);

// Answers with JSON.
void Answer(HttpResponder& responder, unsigned status, const nlohmann::json& body);

// A request's JSON body; an empty object when it is none.
nlohmann::json BodyOf(const HttpRequest& request);

}  // namespace junctionrail::standin

#endif  // JUNCTIONRAIL_STANDINS_STANDIN_MAIN_H_
