// Blocking HTTP/1.1 on loopback sockets, for the stand-ins of the review. A thread serves each
// connection.
#ifndef JUNCTIONRAIL_REVIEW_HTTP_H_
#define JUNCTIONRAIL_REVIEW_HTTP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace review {

// Milliseconds since the start of the trial.
std::int64_t NowMs();
void SleepMs(std::int64_t ms);

struct Address {
  std::string ip;
  std::uint16_t port = 0;

  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

struct Message {
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  // The value of a field, or an empty text.
  std::string Field(const std::string& name) const;
  // Of a request.
  std::string Method() const;
  std::string Target() const;
  // Of an answer; 0 if the line is not that of an HTTP/1.1 answer.
  int Status() const;
};

// How the reading of a message ended.
enum class ReadEnd {
  kWhole,
  kClosed,     // Before its first byte.
  kCutShort,   // Closed within it.
  kReset,      // Reset, before or within it.
  kNoMessage,  // What came is no HTTP/1.1 message.
  kTimeout,
};
const char* NameOf(ReadEnd end);

class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {}
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection();

  // Whether there is anything to read within the time, an end too.
  bool AwaitBytes(std::int64_t timeout_ms);
  ReadEnd ReadRequest(Message* request, std::int64_t timeout_ms);
  ReadEnd ReadAnswer(Message* answer, std::int64_t timeout_ms);
  bool Send(const std::string& bytes);
  // The far end reads an end, after all that was sent.
  void Close();
  void Reset();

 private:
  enum class Kind { kRequest, kAnswer };
  ReadEnd Read(Kind kind, Message* message, std::int64_t timeout_ms);
  ReadEnd ReadBody(Kind kind, Message* message, std::int64_t until);
  // Reads until the buffer holds `n` bytes.
  ReadEnd Fill(std::size_t n, std::int64_t until);
  ReadEnd ReadLine(std::string* line, std::int64_t until);
  ReadEnd ReadMore(std::int64_t until);

  int descriptor_;
  std::string buffer_;
};

// Null when the connection is refused, or not open within the time.
std::unique_ptr<Connection> Connect(const Address& to, std::int64_t timeout_ms);

// Accepts connections until it is stopped, each with a thread of its own.
class Server {
 public:
  using Serve = std::function<void(Connection& connection)>;

  Server(const Address& address, Serve serve);
  // Stops listening: later connections are refused.
  void Stop();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

std::string Answer(int status, const std::string& fields, const std::string& body);

}  // namespace review

#endif  // JUNCTIONRAIL_REVIEW_HTTP_H_
