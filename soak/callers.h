// Callers of a soak: each keeps its connection while it is good, sends one
// request after the other, and tells the judge what came back.
#ifndef JUNCTIONRAIL_SOAK_CALLERS_H_
#define JUNCTIONRAIL_SOAK_CALLERS_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "judge.h"
#include "junctionrail/net.h"
#include "upstreams.h"

namespace junctionrail::soak {

enum class CallerHabit {
  kMixed,       // Any route, at a moderate rate.
  kEager,       // Repeatable requests to the plain service, shortly after the last answer.
  kPersistent,  // Any route; the next request follows the last answer at once.
  kDeadly,      // Repeats the request that ends engines.
  kDeadlyPart,  // Sends requests, no two alike, with the prompt part that ends engines.
};

class Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(boost::asio::io_context& io, Judge& judge, Random& random, std::string name,
         std::vector<Endpoint> entries, std::string organisation,
         CallerHabit habit = CallerHabit::kMixed);

  void Start();
  void Stop();
  // Requests served since the last call, for progress after trouble.
  int TakeServed();

 private:
  void Next();
  void Connect();
  void Send();
  std::string RequestHead() const;
  // Sends the body in parts, over a while.
  void SendSlowly(const std::string& body);
  void SendPart(const std::string& body, TimeMs whole_at);
  void Write(std::string bytes);
  // The whole of the request has been sent.
  void OnWholeSent();
  void Read();
  void OnText();
  void CheckPlain(const std::string& body);
  void CheckStream(const std::string& body);
  // Takes what has come of a stream and checks its order and version.
  void TakeEvents(const std::string& body);
  bool ShouldResume() const;
  void Resume();
  void BeginRound();
  void Served();
  void Broken(const std::string& why);
  // The entry ended the connection.
  void Ended(bool is_reset);
  // Cuts the connection within a stream.
  void Leave();
  void TakeUpOrGoOn();
  void Again(DurationMs delay);
  DurationMs Pace() const;
  bool IsGet() const;
  bool IsDeadly() const { return habit_ == CallerHabit::kDeadly; }
  bool HasDeadlyPart() const { return habit_ == CallerHabit::kDeadlyPart; }
  const RouteSpec& ChooseRoute();

  boost::asio::io_context& io_;
  Judge& judge_;
  Random& random_;
  std::string name_;
  std::vector<Endpoint> entries_;
  std::string organisation_;
  int entry_ = 0;  // Of the connection.
  std::shared_ptr<boost::asio::ip::tcp::socket> socket_;
  std::array<char, 8192> chunk_;
  Timer pace_;
  Timer patience_;
  Timer rest_;   // Sends the rest of a body.
  Timer leave_;  // Cuts its connection within a stream, to take the stream up again.
  std::string text_;
  std::string id_;
  // Of a stream, over all tries.
  std::string stream_;  // The id of the first one.
  std::string model_;
  std::string prompt_;   // Its parts.
  std::string version_;  // Of the upstream that sent the events so far; empty: none has come.
  int last_event_ = 0;
  int event_count_ = 0;  // As its events say; 0: none has come.
  int tries_ = 0;
  const RouteSpec* route_ = nullptr;
  std::string head_;
  std::uint64_t round_ = 0;
  int requests_ = 0;
  int served_ = 0;
  CallerHabit habit_;
  bool is_part_alone_;  // Besides its own, its prompts have only the part that ends engines.
  bool is_stopped_ = false;
  bool is_connected_ = false;
  bool is_awaiting_ = false;  // The whole of a request was sent, and no whole answer has come.
};

}  // namespace junctionrail::soak

#endif  // JUNCTIONRAIL_SOAK_CALLERS_H_
