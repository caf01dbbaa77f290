// Selection among upstreams of three regions under load, in model time.
#include <algorithm>
#include <array>
#include <list>
#include <random>
#include <string>
#include <vector>

#include "check.h"
#include "routing_world.h"

namespace junctionrail {
namespace {

using testing::MakeRecord;
using testing::MakeSpec;
using testing::MakeView;

constexpr int kRegions = 3;
constexpr int kHallsPerRegion = 2;
constexpr int kEntriesPerHall = 5;
constexpr int kHalls = kRegions * kHallsPerRegion;
constexpr DurationMs kStepMs = 10;
constexpr DurationMs kViewMs = 500;
constexpr DurationMs kSampleMs = 5000;
constexpr DurationMs kServiceMs = 1000;
constexpr int kSlots = 48;
// Target for the first event of a busy model's answer.
constexpr DurationMs kTargetMs = 600;
constexpr const char* kServices[] = {"engine", "plain"};
std::string HallName(int hall) { return "hall-" + std::to_string(hall); }
int RegionOfHall(int hall) { return hall / kHallsPerRegion; }

// One upstream and five entries in each of six halls, two halls to a region. Upstreams with agents
// have the model "a" loaded and send views; plain ones send none.
class RegionFleet {
 public:
  explicit RegionFleet(const std::string& service, int slots = kSlots)
      : service_(service), slots_(slots) {
    HallRegions regions;
    for (int hall = 0; hall < kHalls; ++hall) {
      regions[HallName(hall)] = "region-" + std::to_string(RegionOfHall(hall));
      records_.push_back(MakeRecord("u" + std::to_string(hall), HallName(hall)));
      records_.back().service = service;
      records_.back().slots = slots;
      records_.back().endpoint.port = static_cast<std::uint16_t>(hall + 1);
      if (service == "engine") records_.back().loaded = {{"a", {}}};
    }
    for (int n = 0; n < kHalls * kEntriesPerHall; ++n) {
      RoutingOptions options;
      options.topology = Topology(HallName(n / kEntriesPerHall), regions);
      options.entry_id = "entry-" + std::to_string(n);
      entries_.emplace_back(options);
      entries_.back().ApplyServices({{"engine", 100, MakeSpec()}, {"plain", 100, std::nullopt}});
      entries_.back().ApplyListing(records_, now_);
    }
  }

  struct Outcome {
    int requests = 0;
    int far = 0;      // Sent to another region.
    int refused = 0;  // No upstream could be chosen.
    int waited = 0;   // Found all upstreams full.
    int queued = 0;   // Waited at an upstream for a slot.
    // From the arrival to the start at an upstream, without the time to reach it.
    DurationMs longest_ms = 0;

    std::string Describe() const {
      return std::to_string(requests) + " requests, far " + std::to_string(far) + ", refused " +
             std::to_string(refused) + ", waited " + std::to_string(waited) + ", queued " +
             std::to_string(queued) + ", longest start " + std::to_string(longest_ms) + " ms";
    }
  };

  // `load`: requests by region, relative to what its upstreams serve. Returns the outcomes by
  // region of the callers.
  std::array<Outcome, kRegions> Run(DurationMs ms, const std::array<double, kRegions>& load) {
    outcomes_ = {};
    for (const TimeMs until = now_ + ms; now_ < until; now_ += kStepMs) {
      Observe();
      for (int entry = 0; entry < static_cast<int>(entries_.size()); ++entry) {
        AddArrivals(entry, load);
      }
      RetryParked();
      for (int hall = 0; hall < kHalls; ++hall) Serve(hall);
    }
    return outcomes_;
  }

  // Removes the upstreams of a region from the listing, once the requests there are served.
  void LoseUpstreams(int region) {
    records_.erase(std::remove_if(records_.begin(), records_.end(),
                                  [region](const UpstreamRecord& it) {
                                    return RegionOfHall(std::stoi(it.instance.substr(1))) == region;
                                  }),
                   records_.end());
    for (auto& it : entries_) it.ApplyListing(records_, now_);
  }

  bool is_measuring = true;  // Otherwise the default round-trip times apply.
  double far_round_trip_ms = 40;

 private:
  struct Request {
    int entry = 0;
    TimeMs arrived_at = 0;
    TimeMs delivered_at = 0;
    TimeMs ends_at = 0;
    std::string id;
  };
  struct Upstream {
    std::list<Request> queue;
    std::list<Request> running;
  };

  double RoundTripMs(int from_hall, int to_hall) const {
    if (from_hall == to_hall) return 0.4;
    return RegionOfHall(from_hall) == RegionOfHall(to_hall) ? 1.8 : far_round_trip_ms;
  }

  DurationMs OneWayMs(int from_hall, int to_hall) const {
    return static_cast<DurationMs>(RoundTripMs(from_hall, to_hall) / 2);
  }

  static int HallOf(int entry) { return entry / kEntriesPerHall; }
  Outcome& OutcomeOf(int entry) {
    return outcomes_[static_cast<std::size_t>(RegionOfHall(HallOf(entry)))];
  }

  void Observe() {
    for (int hall = 0; hall < kHalls; ++hall) {
      const std::string instance = "u" + std::to_string(hall);
      const bool has_view = service_ == "engine" && (now_ + DurationMs{hall} * 80) % kViewMs == 0;
      EngineView view = MakeView(instance, {{"a", {}}});
      view.running = static_cast<int>(upstreams_[hall].running.size());
      view.waiting = static_cast<int>(upstreams_[hall].queue.size());
      view.entries = static_cast<int>(entries_.size());
      for (int entry = 0; entry < static_cast<int>(entries_.size()); ++entry) {
        UpstreamTable& table = entries_[static_cast<std::size_t>(entry)];
        if (has_view) table.ApplyView(view, now_);
        if (is_measuring && now_ % kSampleMs == 0)
          table.OnConnected(instance, RoundTripMs(HallOf(entry), hall), now_);
      }
    }
  }

  void AddArrivals(int entry, const std::array<double, kRegions>& load) {
    const double region_per_s = kHallsPerRegion * slots_ * 1000.0 / kServiceMs;
    const double per_s = load[static_cast<std::size_t>(RegionOfHall(HallOf(entry)))] *
                         region_per_s / (kHallsPerRegion * kEntriesPerHall);
    std::uniform_real_distribution<double> chance(0, 1);
    if (chance(random_) >= per_s * kStepMs / 1000) return;
    ++OutcomeOf(entry).requests;
    Dispatch({entry, now_, 0, 0, "r" + std::to_string(++last_id_)}, true);
  }

  void Dispatch(Request request, bool is_new) {
    UpstreamTable& table = entries_[static_cast<std::size_t>(request.entry)];
    PickRequest pick;
    pick.service = service_;
    pick.request_id = request.id;
    if (service_ == "engine") pick.model = ModelRef{"a", {}};
    const PickResult choice = table.Choose(pick, now_);
    Outcome& outcome = OutcomeOf(request.entry);
    if (const auto* to = std::get_if<SendTo>(&choice)) {
      const int hall = std::stoi(to->instance.substr(1));
      const int own = HallOf(request.entry);
      if (RegionOfHall(hall) != RegionOfHall(own)) ++outcome.far;
      table.OnSent(to->instance, pick.model, now_);
      request.delivered_at = now_ + OneWayMs(own, hall);
      upstreams_[hall].queue.push_back(std::move(request));
      return;
    }
    if (std::holds_alternative<NoUpstream>(choice)) {
      ++outcome.refused;
      return;
    }
    if (is_new) ++outcome.waited;
    parked_.push_back(std::move(request));
  }

  void RetryParked() {
    std::list<Request> parked;
    parked.swap(parked_);
    for (auto& it : parked) Dispatch(std::move(it), false);
  }

  void Serve(int hall) {
    Upstream& it = upstreams_[hall];
    const std::string instance = "u" + std::to_string(hall);
    for (auto request = it.running.begin(); request != it.running.end();) {
      if (request->ends_at > now_) {
        ++request;
        continue;
      }
      UpstreamTable& table = entries_[static_cast<std::size_t>(request->entry)];
      table.OnResponseData(instance, now_);
      const std::optional<ModelRef> model =
          service_ == "engine" ? std::optional<ModelRef>(ModelRef{"a", {}}) : std::nullopt;
      table.OnAttemptEnd(instance, model, AttemptOutcome::kServed, now_);
      request = it.running.erase(request);
    }
    for (auto next = it.queue.begin();
         next != it.queue.end() && static_cast<int>(it.running.size()) < slots_;) {
      if (next->delivered_at > now_) {
        ++next;
        continue;
      }
      Request request = std::move(*next);
      next = it.queue.erase(next);
      Outcome& outcome = OutcomeOf(request.entry);
      if (now_ > request.delivered_at) ++outcome.queued;
      outcome.longest_ms = std::max(
          outcome.longest_ms, now_ - request.arrived_at - OneWayMs(HallOf(request.entry), hall));
      request.ends_at = now_ + kServiceMs;
      it.running.push_back(std::move(request));
    }
  }

  std::string service_;
  int slots_;
  std::vector<UpstreamRecord> records_;
  TimeMs now_ = 100000;
  std::mt19937_64 random_{5};
  std::vector<UpstreamTable> entries_;
  std::array<Upstream, kHalls> upstreams_;
  std::list<Request> parked_;
  std::array<Outcome, kRegions> outcomes_;
  int last_id_ = 0;
};

}  // namespace

TEST_GROUP(RegionFleet){};

// Guards against sending requests to other regions while the own one has room, which adds traffic
// between regions and delays the first event.
TEST(RegionFleet, KeepsRequestsInTheirRegionWhileItHasRoom) {
  for (const char* service : kServices) {
    RegionFleet fleet(service);
    for (const auto& it : fleet.Run(30000, {0.3, 0.3, 0.3}))
      EXPECT_TRUE(it.far * 200 <= it.requests, "at 30% of the slots: " + it.Describe());
    for (const auto& it : fleet.Run(30000, {0.5, 0.5, 0.5})) {
      EXPECT_TRUE(it.far * 50 <= it.requests, "at 50% of the slots: " + it.Describe());
      EXPECT_TRUE(it.refused == 0 && it.longest_ms <= 100, it.Describe());
    }
  }
}

// Guards against a random load, by which entries spread requests, that outweighs the distance when
// engines have few slots.
TEST(RegionFleet, KeepsThemThereWithFewSlotsToo) {
  for (const char* service : kServices) {
    RegionFleet fleet(service, 8);
    for (const auto& it : fleet.Run(60000, {0.3, 0.3, 0.3})) {
      EXPECT_TRUE(it.far * 50 <= it.requests, it.Describe());
      EXPECT_TRUE(it.refused == 0 && it.longest_ms <= kTargetMs, it.Describe());
    }
    const auto busy = fleet.Run(60000, {1.5, 0.2, 0.2})[0];
    EXPECT_TRUE(busy.far * 10 >= busy.requests * 3, busy.Describe());
    // The bound is two service times: eight requests fill an upstream between two views, also
    // without the cost of distance.
    EXPECT_TRUE(busy.refused == 0 && busy.longest_ms <= 2 * kServiceMs, busy.Describe());
  }
}

TEST(RegionFleet, KeepsThemThereByDefaultRoundTripsToo) {
  RegionFleet fleet("engine");
  fleet.is_measuring = false;
  for (const auto& it : fleet.Run(30000, {0.3, 0.3, 0.3}))
    EXPECT_TRUE(it.far * 200 <= it.requests, "nothing is measured yet: " + it.Describe());
}

// Guards against near upstreams that queue requests while those of other regions are idle, however
// far these are. One region gets 1.5 times the requests that it can serve, the others a fifth.
TEST(RegionFleet, SendsToOtherRegionsBeforeTheNearUpstreamsQueueForLong) {
  for (const char* service : kServices) {
    for (const double round_trip_ms : {10.0, 40.0, 300.0}) {
      RegionFleet fleet(service);
      fleet.far_round_trip_ms = round_trip_ms;
      const auto outcomes = fleet.Run(30000, {1.5, 0.2, 0.2});
      const auto& busy = outcomes[0];
      EXPECT_TRUE(busy.far * 10 >= busy.requests * 3, busy.Describe());
      EXPECT_TRUE(busy.far * 2 <= busy.requests, "most stay: " + busy.Describe());
      EXPECT_TRUE(busy.refused == 0 && busy.longest_ms <= kTargetMs, busy.Describe());
      for (const auto& it : {outcomes[1], outcomes[2]}) {
        EXPECT_TRUE(it.longest_ms <= 100, "callers of the other regions: " + it.Describe());
      }
    }
  }
}

// Guards against requests that are refused or wait for good once their own region has no upstreams.
// Its callers send 0.6 times what it served; the other regions have room for them.
TEST(RegionFleet, ServesARegionThatLostItsUpstreams) {
  for (const char* service : kServices) {
    RegionFleet fleet(service);
    fleet.Run(5000, {0.6, 0.4, 0.4});
    fleet.LoseUpstreams(0);
    const auto outcomes = fleet.Run(30000, {0.6, 0.4, 0.4});
    EXPECT_TRUE(outcomes[0].far == outcomes[0].requests, outcomes[0].Describe());
    for (const auto& it : outcomes) {
      EXPECT_TRUE(it.refused == 0 && it.longest_ms <= kTargetMs, it.Describe());
    }
  }
}

}  // namespace junctionrail
