// Test fixture: a gateway in front of upstreams in three regions, on loopback sockets.
#ifndef JUNCTIONRAIL_TEST_SUPPORT_REGIONS_FIXTURE_H_
#define JUNCTIONRAIL_TEST_SUPPORT_REGIONS_FIXTURE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "gateway_fixture.h"
#include "junctionrail/tenancy.h"
#include "routing_world.h"

namespace junctionrail::testing {

// Three regions with one plain upstream and one engine each.
struct RegionsFixture : GatewayFixture {
  RegionsFixture() : GatewayFixture(WithRegions()) {
    for (const char* it : {"1", "2", "3"}) {
      const std::string name = it;
      for (const char* service : {"plain", "engine"}) {
        const std::string instance = service[0] + name;
        AddUpstream(
            instance, service,
            [this, instance](const SeenRequest& it, const std::shared_ptr<UpstreamPeer>& peer) {
              const auto script = scripts.find(instance);
              script == scripts.end() ? Answer(it, peer) : script->second(it, peer);
            });
        records.back().data_hall = "hall-" + name;
      }
    }
    gateway->ApplyListing({records, MonotonicMs()});
    Configure(1, std::nullopt, std::nullopt);
  }

  static GatewayOptions WithRegions() {
    GatewayOptions options;
    options.routing.topology =
        Topology({}, {{"hall-1", "west"}, {"hall-2", "north"}, {"hall-3", "east"}});
    options.routing.evacuation_bound_ms = 600;
    return options;
  }

  static void Answer(const SeenRequest& it, const std::shared_ptr<UpstreamPeer>& peer) {
    peer->Write(OkResponse("ok", it.Field("Junctionrail-Request-Id")));
  }

  static RoutingConfiguration MakeConfiguration(std::uint64_t version, AllowedRegions of_route,
                                                AllowedRegions of_organisation) {
    RoutingConfiguration configuration;
    configuration.version = version;
    configuration.routes = {MakeRoute("/a/", RequestKind::kIdempotent, "plain"),
                            MakeRoute("/m/", RequestKind::kIdempotent, "engine"),
                            MakeRoute("/s/", RequestKind::kStreaming, "plain")};
    configuration.routes[2].is_resumable = true;
    for (auto& it : configuration.routes) it.allowed_regions = of_route;
    configuration.services = {{"plain", 64, std::nullopt}, {"engine", 64, MakeSpec()}};
    Organisation shop;
    shop.name = "shop";
    shop.keys = {DigestOfKey("secret")};
    shop.allowed_regions = std::move(of_organisation);
    configuration.organisations = OrganisationTable({shop});
    return configuration;
  }

  void Configure(std::uint64_t version, AllowedRegions of_route, AllowedRegions of_organisation) {
    gateway->ApplyConfiguration(
        MakeConfiguration(version, std::move(of_route), std::move(of_organisation)));
  }

  std::string Send(const std::string& line, const std::string& fields = "") {
    return Fetch(MakeRequest(line, "Junctionrail-Key: secret\r\n" + fields));
  }

  std::map<std::string, ScriptedUpstream::Script> scripts;  // By instance; else Answer.

  // Requests received so far, by the digit in the upstreams' names.
  std::string SeenByHall() const {
    std::string seen;
    for (std::size_t n = 0; n < upstreams.size(); n += 2) {
      seen += std::to_string(upstreams[n]->seen().size() + upstreams[n + 1]->seen().size()) + " ";
    }
    return seen;
  }
};

}  // namespace junctionrail::testing

#endif  // JUNCTIONRAIL_TEST_SUPPORT_REGIONS_FIXTURE_H_
