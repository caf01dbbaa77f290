// The operators' side of the RPC, and the exit codes scripts rely on.
#ifndef JUNCTIONRAIL_CLI_CLIENT_H_
#define JUNCTIONRAIL_CLI_CLIENT_H_

#include <memory>
#include <string>

#include "junctionrail.grpc.pb.h"

namespace junctionrail::cli {

// Exit codes, as docs/OPERATORS.md lists them.
enum ExitCode : int {
  kDone = 0,
  kRefused = 1,    // The system answered and did not do it.
  kBadInput = 2,   // The command line or a declaration is wrong.
  kEntryAway = 3,  // No entry answered; nothing was changed.
  kNotYet = 4,     // Accepted, but not in force everywhere when the wait ended.
  kUnknown = 5,    // Whether it was done is not known.
};

// Prints what went wrong as one line and returns the exit code for it.
ExitCode Report(const grpc::Status& status, const std::string& entry);

// A connection to one entry. Calls wait at most `timeout_ms`.
class Client {
 public:
  Client(const std::string& entry, int timeout_ms);

  template <class Request, class Reply>
  grpc::Status Call(grpc::Status (rpc::Operator::Stub::*method)(grpc::ClientContext*,
                                                                const Request&, Reply*),
                    const Request& request, Reply* reply) {
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + std::chrono::milliseconds(timeout_ms_));
    return (stub_.get()->*method)(&context, request, reply);
  }

  // Calls, and prints what went wrong when something did.
  template <class Request, class Reply>
  ExitCode Ask(grpc::Status (rpc::Operator::Stub::*method)(grpc::ClientContext*, const Request&,
                                                           Reply*),
               const Request& request, Reply* reply) {
    return Report(Call(method, request, reply), entry_);
  }

 private:
  std::string entry_;
  int timeout_ms_;
  std::unique_ptr<rpc::Operator::Stub> stub_;
};

// Prints a reply as JSON, with the names of the schema file.
void PrintJson(const google::protobuf::Message& message);

}  // namespace junctionrail::cli

#endif  // JUNCTIONRAIL_CLI_CLIENT_H_
