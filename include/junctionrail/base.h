// The ground every other library stands on: time, results, the invariant
// check, and the one hash all processes agree on.
#ifndef JUNCTIONRAIL_BASE_H_
#define JUNCTIONRAIL_BASE_H_

#include <boost/outcome.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace junctionrail {

// Milliseconds on a clock that never goes back. Decision logic is handed the
// time; it never reads a clock.
using TimeMs = std::int64_t;
using DurationMs = std::int64_t;

// A value or a layer's own error. Reading the wrong side ends the process.
template <class T, class E>
using Result = boost::outcome_v2::result<T, E, boost::outcome_v2::policy::terminate>;

// Checks a promise that must hold in every build. A breach calls the handler,
// which by default logs the sentence and aborts the process.
void CheckInvariant(bool holds, std::string_view sentence);

// Replaces what a breach does and returns the former handler. Tests use it to
// turn a breach into an exception that RapidCheck can shrink.
using InvariantHandler = std::function<void(std::string_view)>;
InvariantHandler SetInvariantHandler(InvariantHandler handler);

// Whether a list of names holds one.
bool Contains(const std::vector<std::string>& list, std::string_view value);

// Highest-random-weight score of `node` for `key` (Thaler and Ravishankar,
// 1998). The same in every process and on every build.
std::uint64_t RendezvousScore(std::string_view key, std::string_view node);

// Base64 as RFC 4648 section 4; the etcd JSON API carries keys this way.
std::string EncodeBase64(std::string_view bytes);

// Decodes what EncodeBase64 wrote. Returns false when `text` is not base64.
bool DecodeBase64(std::string_view text, std::string* bytes);

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_BASE_H_
