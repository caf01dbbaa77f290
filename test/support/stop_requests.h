// Requests to a gateway that stops, and its refusals.
#ifndef JUNCTIONRAIL_TEST_SUPPORT_STOP_REQUESTS_H_
#define JUNCTIONRAIL_TEST_SUPPORT_STOP_REQUESTS_H_

#include <string>

#include "gateway_fixture.h"

namespace junctionrail::testing {

// On a connection that is kept. `fields` are whole lines.
inline std::string MakeRequestWith(const std::string& line, const std::string& id,
                                   const std::string& fields) {
  const std::string head = MakeKeepAliveRequest(line, id);
  return head.substr(0, head.size() - 2) + fields + "\r\n";
}

inline bool IsRefusedAsNotRun(const std::string& response) {
  return Contains(response, "503 ") && Contains(response, "\"ran\":\"no\"");
}

}  // namespace junctionrail::testing

#endif  // JUNCTIONRAIL_TEST_SUPPORT_STOP_REQUESTS_H_
