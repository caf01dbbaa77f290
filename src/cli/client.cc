#include "client.h"

#include <google/protobuf/util/json_util.h>
#include <grpcpp/grpcpp.h>

#include <cstdio>

namespace junctionrail::cli {
namespace {

constexpr int kMostMessageBytes = 64 << 20;

}  // namespace

Client::Client(const std::string& entry, int timeout_ms) : entry_(entry), timeout_ms_(timeout_ms) {
  grpc::ChannelArguments arguments;
  arguments.SetMaxReceiveMessageSize(kMostMessageBytes);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  stub_ = rpc::Operator::NewStub(
      grpc::CreateCustomChannel(entry, grpc::InsecureChannelCredentials(), arguments));
}

ExitCode Report(const grpc::Status& status, const std::string& entry) {
  const std::string message = status.error_message();
  switch (status.error_code()) {
    case grpc::StatusCode::OK:
      return kDone;
    case grpc::StatusCode::INVALID_ARGUMENT:
      std::fprintf(stderr, "error: %s\n", message.c_str());
      return kBadInput;
    case grpc::StatusCode::UNAVAILABLE:
    case grpc::StatusCode::DEADLINE_EXCEEDED:
      std::fprintf(stderr, "error: entry %s: %s\n", entry.c_str(), message.c_str());
      return status.error_code() == grpc::StatusCode::UNAVAILABLE ? kEntryAway : kUnknown;
    case grpc::StatusCode::UNKNOWN:
      std::fprintf(stderr, "error: %s\n", message.c_str());
      return kUnknown;
    default:
      std::fprintf(stderr, "error: %s\n", message.c_str());
      return kRefused;
  }
}

void PrintJson(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.add_whitespace = true;
  options.always_print_primitive_fields = true;
  options.preserve_proto_field_names = true;
  std::string text;
  google::protobuf::util::MessageToJsonString(message, &text, options);
  std::fputs(text.c_str(), stdout);
}

}  // namespace junctionrail::cli
