// What callers may send, apart from sockets.
#include "caller_api.h"

#include "check.h"

namespace junctionrail::internal {
namespace {

HttpRequest Request(const std::string& target, const std::string& body = "") {
  HttpRequest request;
  request.method = "POST";
  request.target = target;
  request.body = body;
  return request;
}

entry::CallArrived Read(HttpRequest request) {
  auto read = ReadCall(std::move(request), Configuration(), 1000);
  const auto* bad = std::get_if<BadRequest>(&read);
  if (bad != nullptr) FAIL(bad->sentence.c_str());
  return std::get<entry::CallArrived>(read);
}

}  // namespace

TEST_GROUP(CallerApi){};

TEST(CallerApi, GivesAServiceItsOwnPathAndQuery) {
  const auto call = Read(Request("/services/orders/v1/confirm?x=1"));
  EXPECT_TEXT("orders", call.name, "the first segment names the service");
  EXPECT_TEXT("/v1/confirm?x=1", call.path, "the rest is the service's");
}

TEST(CallerApi, TakesAServicesPostForUnrepeatable) {
  EXPECT_TRUE(!Read(Request("/services/orders/x")).is_repeatable, "only safe methods repeat");
  HttpRequest get = Request("/services/orders/x");
  get.method = "GET";
  EXPECT_TRUE(Read(std::move(get)).is_repeatable, "RFC 9110 calls GET safe");
}

TEST(CallerApi, TakesAModelsCallForRepeatableUnlessTold) {
  const std::string body = R"({"model": "a"})";
  EXPECT_TRUE(Read(Request("/v1/completions", body)).is_repeatable, "a completion has no effect");
  HttpRequest once = Request("/v1/completions", body);
  once.headers.push_back({"junctionrail-repeatable", "no"});
  EXPECT_TRUE(!Read(std::move(once)).is_repeatable, "header names have no case");
}

TEST(CallerApi, UnquotesAnIdempotencyKey) {
  HttpRequest request = Request("/services/orders/x");
  request.headers.push_back({"Idempotency-Key", "\"k-1\""});
  EXPECT_TEXT("k-1", Read(std::move(request)).idempotency_key, "quoted and bare mean the same");
}

TEST(CallerApi, TellsWhenToComeBack) {
  const Refusal refusal{RefusalCode::kColdTooLate, "cold", Ran::kNo, 1500};
  EXPECT_NUMBER(503, RefusalStatus(refusal), "it did not run");
  bool is_told = false;
  for (const auto& it : RefusalHeaders(refusal, "id")) {
    is_told = is_told || (it.name == "Retry-After" && it.value == "2");
  }
  EXPECT_TRUE(is_told, "1500 ms round up to 2 s");
}

}  // namespace junctionrail::internal
