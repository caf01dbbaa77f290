// When an agent that was asked to load a model counts as overdue, so that another one is asked.
//
// With many rarely requested models, nearly every engine swaps models, and an agent first waits
// until the requests in flight on the model that it evicts have ended. Estimates do not contain
// that wait. Asking another agent meanwhile would start a second load of the model and put its
// callers at the end of another queue.
#ifndef JUNCTIONRAIL_ROUTING_OVERDUE_LOADS_H_
#define JUNCTIONRAIL_ROUTING_OVERDUE_LOADS_H_

#include <string_view>

#include "junctionrail/routing.h"

namespace junctionrail::internal {

// Time beyond its estimate after which an agent that shows no work on a load most likely cannot
// complete it.
DurationMs OverdueMargin(DurationMs estimate);

// The additional time that an agent gets while `view` shows it at work on the load: the model is
// loading or in its queue, where it also is while memory is being freed for it.
DurationMs WorkMargin(const EngineView& view, std::string_view model);

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_ROUTING_OVERDUE_LOADS_H_
