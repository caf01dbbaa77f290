// A small stand-in for the users' platform: its store over HTTP, as their
// pages describe it, with the faults that tests need.
#ifndef JUNCTIONRAIL_TEST_SUPPORT_PLATFORM_STANDIN_H_
#define JUNCTIONRAIL_TEST_SUPPORT_PLATFORM_STANDIN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "junctionrail/net.h"

namespace junctionrail::testing {

class StandinStore {
 public:
  explicit StandinStore(boost::asio::io_context& io);

  Endpoint endpoint() const { return {"127.0.0.1", port_}; }
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Watches from before now get 410.
  void ForgetHistory();
  // Watches that wait hear nothing any more.
  void SilenceWatches();
  void CutWatches();
  // What is stored now is what ComeBackOlder returns to: later changes and all leases are
  // gone, revisions are given out again, and the era rises.
  void Copy();
  void ComeBackOlder();
  // The lease ends, and its keys go.
  void EndLease(std::int64_t lease);
  bool Has(const std::string& key) const { return items_.count(key) > 0; }

  enum class Mood { kFine, kBusy, kSilent };
  Mood mood = Mood::kFine;
  DurationMs delay_ms = 0;  // Before each call but watches is handled.
  std::size_t page = 500;   // Items in one answer.
  std::vector<std::string> calls;

  // The next call is answered by AnswerHeld, if at all, and with what was stored
  // when it came.
  void HoldNext() { is_holding_ = true; }
  void AnswerHeld();
  bool is_call_held() const { return held_responder_ != nullptr; }
  // Calls that came while one was held and its caller still waited for it.
  int calls_beside_held() const { return calls_beside_held_; }

 private:
  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Change {
    std::string key;
    std::int64_t revision = 0;
  };
  struct Watch {
    std::string prefix;
    std::int64_t after = 0;
    std::shared_ptr<HttpResponder> responder;
  };

  void Receive(const HttpRequest& request, std::shared_ptr<HttpResponder> responder);
  void Handle(const HttpRequest& request, std::shared_ptr<HttpResponder> responder);
  void Hold(const HttpRequest& request, std::shared_ptr<HttpResponder> responder);
  void AnswerCommit(const std::string& body, HttpResponder& responder);
  std::string RangeAnswer(const std::string& prefix, const std::string& after) const;
  bool TryAnswer(const Watch& watch);
  void AnswerWatches();

  boost::asio::io_context& io_;
  std::unique_ptr<HttpServer> server_;
  std::uint16_t port_ = 0;
  std::map<std::string, Item> items_;
  std::vector<Change> history_;
  std::int64_t revision_ = 100;
  std::int64_t era_ = 1;
  std::map<std::string, Item> copy_;
  std::int64_t copied_revision_ = 0;
  std::int64_t forgotten_ = 0;  // The history up to this revision is gone.
  std::vector<Watch> watches_;
  std::set<std::int64_t> leases_;
  bool is_holding_ = false;
  std::shared_ptr<HttpResponder> held_responder_;
  std::string held_answer_;
  int calls_beside_held_ = 0;
};

}  // namespace junctionrail::testing

#endif  // JUNCTIONRAIL_TEST_SUPPORT_PLATFORM_STANDIN_H_
