// What a soak serves: its regions and data halls, services, routes, organisations and models, and
// the configuration that declares them.
#ifndef JUNCTIONRAIL_SOAK_WORLD_H_
#define JUNCTIONRAIL_SOAK_WORLD_H_

#include <array>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "junctionrail/base.h"

namespace junctionrail::soak {

using Random = std::mt19937_64;

struct Hall {
  std::string name;
  std::string region;
};

// One region with two halls, two with one each.
const std::vector<Hall>& Halls();
const std::vector<std::string>& Regions();

// Organisations of callers: one without a limit, one that sends more than its limit, one whose key
// is taken away now and then, and one that is bound to regions.
constexpr std::array<const char*, 4> kOrganisations = {"open", "limited", "fleeting", "regional"};
constexpr double kLimitedPerS = 8;
constexpr double kLimitedBurst = 8;

// Capacity of an engine in models and adapters, and the models that the configuration names.
constexpr int kEngineModels = 2;
constexpr int kEnginePlaces = 2;
constexpr char kModels[][3] = {"m1", "m2", "m3", "m4", "m5"};
// Of routes; a configuration draws each a little longer.
constexpr DurationMs kLeastTimeoutMs = 3500;
// Bound on a planned stop of a process.
constexpr DurationMs kGraceMs = 3000;
constexpr char kEngineService[] = "engines";
constexpr char kPlainService[] = "plain";

// How long an upstream stays cold after its start or after its hall was given back, and the
// requests a second that it may receive meanwhile.
constexpr DurationMs kColdMs = 2000;
constexpr double kColdPerS = 2;

struct RouteSpec {
  std::string name;                  // Its paths begin with it.
  bool is_stream = false;            // Served by the engines, otherwise by the plain service.
  bool may_repeat = false;           // A request may run again after it may have run.
  std::vector<std::string> regions;  // Empty: all.
};

const std::vector<RouteSpec>& Routes();
// Of a request line such as "GET /repeatable/x HTTP/1.1"; it must be of one of the routes.
const RouteSpec& RouteOf(const std::string& request_line);
// The halls in which requests of the organisation on the route may run.
std::set<std::string> AllowedHalls(const RouteSpec& route, const std::string& organisation);

// `has_key`: the organisation "fleeting" has its key.
std::string ConfigurationDocument(int version, bool has_key, Random& random);

}  // namespace junctionrail::soak

#endif  // JUNCTIONRAIL_SOAK_WORLD_H_
