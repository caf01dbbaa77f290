// Property tests of the reader of responses: whatever an upstream sends on a connection, and
// however its bytes are cut, a request gets its own response or none.
#include <algorithm>
#include <cstring>
#include <string>
#include <variant>
#include <vector>

#include "check.h"
#include "random_run.h"
#include "response_reader.h"

namespace junctionrail::internal {
namespace {

using test::RandomChoices;
using test::Require;

constexpr char kIdField[] = "Request-Id";
constexpr char kCurrent[] = "current";
constexpr unsigned kFirstFinalStatus = 200;
constexpr std::size_t kMaxPiece = 7;

enum class Framing { kLength, kChunked, kClose };

struct Response {
  std::string id;
  std::string body;
  Framing framing = Framing::kLength;
  unsigned status = 200;
};

std::string BytesOf(const Response& response, bool is_head_method) {
  std::string bytes = "HTTP/1.1 " + std::to_string(response.status) + " x\r\n";
  if (!response.id.empty()) bytes += std::string(kIdField) + ": " + response.id + "\r\n";
  if (response.status < kFirstFinalStatus) return bytes + "\r\n";
  if (response.framing == Framing::kClose) return bytes + "\r\n" + response.body;
  if (response.framing == Framing::kLength) {
    bytes += "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
    return is_head_method ? bytes : bytes + response.body;
  }
  bytes += "Transfer-Encoding: chunked\r\n\r\n";
  if (is_head_method) return bytes;
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", response.body.size());
  return bytes + (response.body.empty() ? "" : size + response.body + "\r\n") + "0\r\n\r\n";
}

struct Outcome {
  int heads = 0;
  int completions = 0;
  bool is_unreadable = false;
  std::string body;

  bool operator==(const Outcome& other) const {
    return heads == other.heads && completions == other.completions &&
           is_unreadable == other.is_unreadable && body == other.body;
  }
};

// Checks the order of events.
struct Recorder {
  Outcome& outcome;
  void operator()(const ResponseHeadRead&) const {
    ++outcome.heads;
    Require(outcome.heads == 1, "a request gets one head");
  }
  void operator()(const ResponseBodyRead& it) const {
    Require(outcome.heads == 1, "a body follows its head");
    outcome.body += it.data;
  }
  void operator()(const ResponseComplete&) const {
    Require(outcome.heads == 1, "a response that ends has begun");
    ++outcome.completions;
  }
  void operator()(const ResponseUnreadable&) const { outcome.is_unreadable = true; }
};

bool IsOver(const Outcome& it) { return it.completions > 0 || it.is_unreadable; }

// Reads the bytes in pieces of `piece` bytes, and then the end of the connection.
Outcome Read(const std::string& bytes, std::size_t piece, bool is_head_method) {
  ResponseReader reader(kIdField);
  reader.Begin(kCurrent, is_head_method);
  Outcome outcome;
  for (std::size_t at = 0; at < bytes.size() && !IsOver(outcome); at += piece) {
    const std::size_t n = std::min(piece, bytes.size() - at);
    std::memcpy(reader.Prepare(n).data(), bytes.data() + at, n);
    reader.Commit(n);
    while (!IsOver(outcome)) {
      const auto event = reader.Next();
      if (!event) break;
      std::visit(Recorder{outcome}, *event);
    }
  }
  if (!IsOver(outcome)) std::visit(Recorder{outcome}, reader.OnClosed());
  return outcome;
}

// Each step adds a response to what the upstream sends, at last the one to the current request.
class ResponsesSimulation {
 public:
  explicit ResponsesSimulation(std::uint32_t seed) : is_head_method_(seed % 4 == 0) {}

  void Step(RandomChoices choices) {
    if (is_sent_) return;
    Response response;
    const std::uint32_t kind = choices.Next(16);
    response.framing = static_cast<Framing>(choices.Next(2));
    if (kind == 0) return SendOwn(response, choices);
    if (kind <= 3) response.status = 103;
    if (kind == 4 && choices.Next(2) == 0) response.framing = Framing::kClose;
    if (kind <= 10) response.id = "earlier";
    response.body = DrawBody(choices);
    bytes_ += BytesOf(response, false);
    is_taken_ |= response.status >= kFirstFinalStatus && response.framing == Framing::kClose;
  }

  void Drain() {
    const Outcome whole = Read(bytes_, std::max<std::size_t>(1, bytes_.size()), is_head_method_);
    const bool is_answered = is_sent_ && !is_taken_;
    Require(whole.completions == (is_answered ? 1 : 0), "its own response answers a request");
    Require(!is_answered || whole.body == (is_head_method_ ? "" : own_body_),
            "the body is its own");
    for (std::size_t piece = 1; piece <= kMaxPiece; ++piece) {
      Require(Read(bytes_, piece, is_head_method_) == whole, "pieces make no difference");
    }
  }

 private:
  // The bodies of other responses may look like a response to the current request.
  static std::string DrawBody(RandomChoices& choices) {
    const std::string plain(choices.Next(40), 'x');
    return choices.Next(2) == 0 ? plain : BytesOf({kCurrent, plain, Framing::kLength, 200}, false);
  }

  void SendOwn(Response response, RandomChoices& choices) {
    is_sent_ = true;
    response.id = kCurrent;
    response.body = DrawBody(choices);
    if (choices.Next(3) == 0) response.framing = Framing::kClose;
    own_body_ = response.body;
    bytes_ += BytesOf(response, is_head_method_);
  }

  bool is_head_method_;
  std::string bytes_;
  std::string own_body_;
  bool is_sent_ = false;
  bool is_taken_ = false;  // By a response without a length to another request.
};

}  // namespace

TEST_GROUP(RandomResponses){};

TEST(RandomResponses, GiveARequestItsOwnOrNone) {
  CHECK(test::RunRandomTest<ResponsesSimulation>("responses"));
}

}  // namespace junctionrail::internal
