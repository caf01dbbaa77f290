#include "cbor_message.h"

#include <cstdint>

#include "text.h"

namespace junctionrail::internal {
namespace {

using nlohmann::json;

// More than any message needs. The reader calls itself for each level.
constexpr std::size_t kMaxDepth = 16;

// Builds a value out of CBOR, whose reader takes any bytes for text, and any number for a count of
// elements. Text that is not UTF-8 is refused, as no JSON could be written of it, and so is a count
// that its message is too short for.
class MessageBuilder : public json::json_sax_t {
 public:
  MessageBuilder(json* root, std::size_t max_elements)
      : builder_(*root, false), max_elements_(max_elements) {}

  bool null() override { return builder_.null(); }
  bool boolean(bool value) override { return builder_.boolean(value); }
  bool number_integer(number_integer_t value) override { return builder_.number_integer(value); }
  bool number_unsigned(number_unsigned_t value) override { return builder_.number_unsigned(value); }
  bool number_float(number_float_t value, const string_t& text) override {
    return builder_.number_float(value, text);
  }
  bool string(string_t& value) override { return IsUtf8(value) && builder_.string(value); }
  bool binary(binary_t& value) override { return builder_.binary(value); }
  bool start_object(std::size_t elements) override {
    return Open(elements) && builder_.start_object(elements);
  }
  bool key(string_t& value) override { return IsUtf8(value) && builder_.key(value); }
  bool end_object() override {
    --depth_;
    return builder_.end_object();
  }
  bool start_array(std::size_t elements) override {
    return Open(elements) && builder_.start_array(elements);
  }
  bool end_array() override {
    --depth_;
    return builder_.end_array();
  }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool Open(std::size_t elements) {
    constexpr auto kUnknown = static_cast<std::size_t>(-1);
    ++depth_;
    return depth_ <= kMaxDepth && (elements == kUnknown || elements <= max_elements_);
  }

  nlohmann::detail::json_sax_dom_parser<json> builder_;
  std::size_t max_elements_;
  std::size_t depth_ = 0;
};

// The first byte of an item, by RFC 8949 section 3.
constexpr unsigned kBytes = 2;
constexpr unsigned kText = 3;
constexpr unsigned kShortestArgument = 24;  // Of one byte; each kind after it has twice as many.
constexpr unsigned kLongestArgument = 27;
constexpr unsigned kNoLength = 31;

// Takes the argument that stands behind an item's first byte. Returns false if it is cut.
bool TakeArgument(unsigned info, std::string_view* rest, std::uint64_t* argument) {
  *argument = info;
  if (info < kShortestArgument || info > kLongestArgument) return true;
  const std::size_t n = std::size_t{1} << (info - kShortestArgument);
  if (rest->size() < n) return false;
  *argument = 0;
  for (const char c : rest->substr(0, n)) {
    *argument = *argument << 8U | static_cast<unsigned char>(c);
  }
  rest->remove_prefix(n);
  return true;
}

}  // namespace

// What stands in an array or a map follows its head, so the items are walked without a nest.
bool HasLengths(std::string_view rest) {
  while (!rest.empty()) {
    const auto head = static_cast<unsigned char>(rest[0]);
    const unsigned major = head >> 5U;
    const unsigned info = head & 0x1fU;
    rest.remove_prefix(1);
    std::uint64_t argument = 0;
    if (!TakeArgument(info, &rest, &argument)) return false;
    if (major != kBytes && major != kText) continue;
    if (info == kNoLength || argument > rest.size()) return false;
    rest.remove_prefix(argument);
  }
  return true;
}

json ReadCbor(std::string_view bytes) {
  if (!HasLengths(bytes)) return json(json::value_t::discarded);
  json root;
  MessageBuilder builder(&root, bytes.size());
  const bool is_whole =
      json::sax_parse(bytes.begin(), bytes.end(), &builder, json::input_format_t::cbor, true);
  return is_whole ? root : json(json::value_t::discarded);
}

}  // namespace junctionrail::internal
