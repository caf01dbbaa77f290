// Messages between our processes: CBOR maps. Internal to the libraries that have some.
#ifndef JUNCTIONRAIL_BASE_CBOR_MESSAGE_H_
#define JUNCTIONRAIL_BASE_CBOR_MESSAGE_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace junctionrail::internal {

inline std::string PackCbor(const nlohmann::json& message) {
  std::string bytes;
  nlohmann::json::to_cbor(message, bytes);
  return bytes;
}

// Whether each text and each run of bytes in a CBOR message states its length and is there whole.
// The reader calls itself for the parts of one that doesn't; PackCbor writes none.
bool HasLengths(std::string_view bytes);

// The value that the bytes encode; discarded if they are no CBOR, hold text that is not UTF-8, nest
// deeper than any message or announce more elements than they hold.
nlohmann::json ReadCbor(std::string_view bytes);

// Calls `read` with the message and returns what it does; false when the bytes are no map, or
// a field is missing or of another type than the reader takes.
template <class Read>
bool UnpackCbor(std::string_view bytes, Read read) {
  const auto message = ReadCbor(bytes);
  if (!message.is_object()) return false;
  try {
    return read(message);
  } catch (const nlohmann::json::exception&) {
    return false;
  }
}

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_BASE_CBOR_MESSAGE_H_
