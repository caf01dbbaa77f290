// What an entry knows of organisations' quotas, for operators.
#ifndef JUNCTIONRAIL_DAEMON_QUOTA_PAGE_H_
#define JUNCTIONRAIL_DAEMON_QUOTA_PAGE_H_

#include <string>

#include "junctionrail/tenancy.h"

namespace junctionrail::internal {

// A JSON object with a list `quotas`.
std::string QuotaPage(const QuotaClient& quotas, TimeMs now);

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_DAEMON_QUOTA_PAGE_H_
