// Short answers show that the parts of their prompts are sound only if their upstreams outlive
// them.
#ifndef JUNCTIONRAIL_GATEWAY_SHORT_ANSWERS_H_
#define JUNCTIONRAIL_GATEWAY_SHORT_ANSWERS_H_

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "junctionrail/net.h"
#include "junctionrail/quarantine.h"

namespace junctionrail::internal {

// The upstream that sent an answer.
struct AnswerSource {
  std::string instance;
  Endpoint endpoint;
};

class ShortAnswers {
 public:
  // Called with parts that are known to be sound by now.
  using SoundCallback = std::function<void(const std::vector<RequestDigest>& parts)>;

  ShortAnswers(boost::asio::io_context& io, const QuarantineTable& quarantine,
               SoundCallback on_sound)
      : io_(io), quarantine_(quarantine), on_sound_(std::move(on_sound)), timer_(io) {}

  // The upstream's whole answer to a request with these parts, which began at `begun_at`, has
  // arrived.
  void Add(const AnswerSource& source, std::vector<RequestDigest> parts, TimeMs begun_at,
           TimeMs now);

 private:
  struct Answer {
    AnswerSource source;
    std::vector<RequestDigest> parts;
    TimeMs due_at = 0;  // When its upstream is looked at.
  };
  struct AnsweredParts {
    Endpoint endpoint;
    std::vector<RequestDigest> parts;
  };

  void LookSoon();
  void LookAtUpstreams();

  boost::asio::io_context& io_;
  const QuarantineTable& quarantine_;
  SoundCallback on_sound_;
  Timer timer_;
  bool is_look_scheduled_ = false;
  std::deque<Answer> answers_;
  // Lets a look that completes after the destruction of this object do nothing.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_GATEWAY_SHORT_ANSWERS_H_
