// Frames between entries and agents.
#include "junctionrail/wire.h"

#include <random>

#include "check.h"

namespace junctionrail {
namespace {

CallFrame WholeCall() {
  CallFrame call;
  call.id = "e-1-1.1";
  call.key = "a@1";
  call.body = std::string("\0\xff{}", 4);  // Bodies need not be UTF-8.
  call.deadline_ms = 1200;
  call.priority = Priority::kHigh;
  call.grants = {GrantView{"a@1", 2, 7, 8192, "", 3}};
  return call;
}

std::string ErrorOf(std::string_view bytes) {
  const auto frame = DecodeFrame(bytes);
  return frame ? "" : std::string(WireErrorName(frame.error()));
}

}  // namespace

TEST_GROUP(Wire){};

TEST(Wire, CarriesACallWhole) {
  const CallFrame call = WholeCall();
  const auto decoded = DecodeFrame(EncodeFrame(call));
  EXPECT_TRUE(static_cast<bool>(decoded), "an encoded frame must decode");
  const auto& got = std::get<CallFrame>(decoded.value());
  EXPECT_TEXT(call.body, got.body, "the body's bytes must arrive as they were");
  EXPECT_NUMBER(7, got.grants.at(0).token, "the grant's fencing token must arrive");
  EXPECT_TRUE(got.priority == Priority::kHigh, "the class must arrive");
}

TEST(Wire, NamesWhyBytesAreNoFrame) {
  EXPECT_TEXT("not_cbor", ErrorOf("\xff\xff\xff"), "broken CBOR");
  EXPECT_TEXT("bad_shape", ErrorOf("\x01"), "CBOR that is no array");
  EXPECT_TEXT("unknown_type", ErrorOf("\x81\x18\x63"), "a type from the future");
  EXPECT_TEXT("bad_shape", ErrorOf("\x81\x01"), "a call without its fields");
  EXPECT_TEXT("not_cbor", ErrorOf("\xa1\x01\x01"), "a map is in no frame");
}

TEST(Wire, RefusesDepthAndSizesNobodySends) {
  EXPECT_TEXT("not_cbor", ErrorOf(std::string(1000000, '\x81')), "a deep nest must not recurse");
  EXPECT_TEXT("not_cbor", ErrorOf("\x9b\x61\x61\x61\x61\x61\x61\x61\x61"),
              "an array of 7e18 elements must not be believed");
}

TEST(Wire, SurvivesAnyDamage) {
  const std::string whole = EncodeFrame(WholeCall());
  std::mt19937 random(1);
  int refused = 0;
  for (int n = 0; n < 20000; ++n) {
    std::string bytes = whole.substr(0, 1 + random() % whole.size());
    bytes[random() % bytes.size()] = static_cast<char>(random());
    refused += DecodeFrame(bytes) ? 0 : 1;
  }
  EXPECT_TRUE(refused > 10000, "most damaged frames must be refused, and none may crash");
}

}  // namespace junctionrail
