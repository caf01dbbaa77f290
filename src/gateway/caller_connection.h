// A caller's HTTP/1.1 connection: parses requests one at a time, passes each to an Exchange and
// writes its response.
#ifndef JUNCTIONRAIL_GATEWAY_CALLER_CONNECTION_H_
#define JUNCTIONRAIL_GATEWAY_CALLER_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "error_response.h"
#include "exchange.h"
#include "gateway_impl.h"

namespace junctionrail::internal {

class CallerConnection : public CallerSink, public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(Gateway::Impl& gateway, boost::asio::ip::tcp::socket socket);

  // What a caller loses if its connection is closed now.
  enum class CloseCost {
    kNothing,   // It has its last response, or no request.
    kReceived,  // A part of a request, which has not run.
    kUnread,    // A response that it does not read, or to a request behind which it sent more.
    kResponse,  // The response to its request.
  };

  void Start();
  // The next response announces the close and is the last one. With `closes_idle`, the connection
  // is closed now if no request is in flight or on its way.
  void Drain(bool closes_idle);
  // Whether an upstream has sent something of the response that was not read.
  bool HasUnreadResponse() const { return exchange_ && exchange_->HasUnreadResponse(); }
  // Answers a request that has none yet, as the process is about to end.
  void AnswerStop();
  // Closes now; a request in flight fails.
  void ForceClose();
  // The VM has resumed from a suspension.
  void OnVmResumed();
  CloseCost cost_of_close() const;
  TimeMs last_activity_at() const { return last_activity_at_; }
  // Closes now, for another connection. A request that is being received is refused.
  void CloseForAnother();
  // Adds what it holds.
  void CountWork(OpenWork* work);
  bool IsIdle() const {
    return exchange_ == nullptr && pending_output_.empty() && output_in_flight_.empty();
  }

  void SendResponse(unsigned status, std::vector<HttpHeader> fields, std::string body) override;
  void SendHead(unsigned status, std::vector<HttpHeader> fields) override;
  void SendBodyPart(std::string_view data) override;
  void SendEnd() override;
  void Abort() override;
  bool IsSendQueueFull() const override;
  bool HasDisconnected() override;

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void Read();
  void OnReadable();
  void WatchForEnd();
  void DropInput();
  // Whether the caller has sent bytes that wait in the socket.
  bool HasUnread();
  // Whether a request is being received, or its bytes wait.
  bool HasInput();
  DurationMs IdleTimeout() const;
  void Parse();
  // Removes from the socket what was parsed, and forgets the rest.
  void ConsumeParsed();
  void ConsumeFromSocket(std::size_t n);
  void OnParseError(boost::system::error_code ec);
  bool IsFramingUnambiguous() const;
  bool IsLineTooLong() const;
  void TakeHead();
  void Dispatch();
  // The body as its request, and those that send it, hold it.
  std::shared_ptr<const std::string> TakeBody();
  // Makes room for what is parsed next of a body without a length.
  void GrowBody();
  // What the request that is being received holds.
  std::size_t ReceivedBytes() const;
  // Of responses that are not in the socket yet.
  std::size_t UnsentBytes() const;
  // Whether a request is being received.
  bool IsReceiving() const;
  void BeginReservation();
  // Accounts for all that the connection holds. Returns false if there is no room.
  bool Reserve();
  // Likewise; if there is no room, a request being received is refused, or the connection closes
  // soon.
  bool ReserveReceived();
  void ReserveOutput();
  void OnEvicted();
  void CloseForMemory();
  void RefuseForMemory(std::string_view reason);
  // Refuses a request that is being received, and closes.
  void RefuseReceiving(const ErrorResponse& response);
  // Nothing that was received is needed any more.
  void ReleaseInput();
  void Reject(unsigned status, std::string_view code);
  void FinishResponse(bool must_close);
  void Write(std::string_view data);
  void Flush();
  void WriteSome();
  void OnWritten(std::size_t n);
  void Linger();
  void CloseIdle();
  void Close();
  void RecordDroppedInput();
  void RecordUnsentOutput();
  void ArmTimer(DurationMs delay);
  void OnTimer();
  void OnOutputTimer();
  void OnRequestTimer();
  // The time that the body being received takes, and whether that is too long.
  void CountBodyTime(TimeMs now);
  bool IsBodyTooSlow() const;
  void RejectSlowBody();

  Gateway::Impl& gateway_;
  boost::asio::ip::tcp::socket socket_;
  Timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  CallerRequest request_;       // Being read: as its head has it, once that is whole.
  std::size_t head_bytes_ = 0;  // Of the request being read.
  ClientMemory::Reservation reservation_;
  std::shared_ptr<Exchange> exchange_;
  std::string pending_output_;     // Not yet passed to the socket.
  std::string output_in_flight_;   // Being written.
  std::size_t written_bytes_ = 0;  // Of that.
  TimeMs request_started_at_ = 0;  // When the request being read began; 0: none.
  DurationMs body_ms_ = 0;         // How long its body has been received.
  TimeMs body_checked_at_ = 0;     // When that was last counted; 0: not yet.
  TimeMs last_activity_at_ = 0;
  bool is_reading_ = false;
  bool is_keep_alive_ = true;
  bool is_head_method_ = false;
  bool is_draining_ = false;
  bool is_last_response_done_ = false;  // Closes once all output is written.
  bool is_lingering_ = false;
  bool is_closing_idle_ = false;   // Its last response was sent long ago.
  std::size_t peeked_bytes_ = 0;   // At the end of `buffer_`; they are still in the socket.
  std::size_t dropped_bytes_ = 0;  // Received, but not answered.
  std::size_t unread_bytes_ = 0;   // Behind a request whose response was broken off.
  std::size_t ahead_bytes_ = 0;    // That wait in the socket behind the request in flight.
  bool is_closed_ = false;
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_GATEWAY_CALLER_CONNECTION_H_
