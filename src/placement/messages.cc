// Messages are CBOR maps with short keys. Readers ignore unknown keys, so processes of
// different versions can exchange messages.
#include <algorithm>
#include <nlohmann/json.hpp>

#include "../base/cbor_message.h"
#include "junctionrail/placement.h"

namespace junctionrail {
namespace {

using internal::PackCbor;
using internal::UnpackCbor;
using nlohmann::json;

json ToJson(const std::vector<LoadedModel>& loaded) {
  json list = json::array();
  for (const auto& it : loaded) list.push_back({it.name, it.adapters});
  return list;
}

std::vector<LoadedModel> ReadLoaded(const json& list) {
  std::vector<LoadedModel> loaded;
  for (const auto& it : list) {
    loaded.push_back({it.at(0).get<std::string>(), it.at(1).get<std::vector<std::string>>()});
  }
  return loaded;
}

// The fields that change with every view, except the values per loaded model.
json EngineLoadToJson(const EngineView& view) {
  json message = {
      {"ms", view.load_remaining_ms}, {"r", view.running}, {"w", view.waiting},
      {"kv", view.kv_usage},          {"e", view.entries}, {"wr", view.model_waits_per_s}};
  if (view.store_load_request) {
    const StoreLoadRequest& want = *view.store_load_request;
    message["sw"] = {want.has_waiting_requests, want.age_ms, want.weight};
  }
  return message;
}

constexpr ViewParts kAllParts{true, true, true};

void AddParts(const EngineView& view, const ViewParts& parts, json* message) {
  if (parts.has_loaded) (*message)["m"] = ToJson(view.loaded);
  if (parts.has_load_state) {
    (*message)["l"] = view.loading;
    (*message)["s"] = view.is_loading_from_store;
    (*message)["q"] = view.queue;
  }
  if (parts.has_local_models) (*message)["h"] = view.cached_models;
}

json InLoadedOrder(const EngineView& view, const std::map<std::string, double>& values) {
  json list = json::array();
  for (const auto& it : view.loaded) {
    const auto value = values.find(it.name);
    list.push_back(value == values.end() ? 0.0 : value->second);
  }
  return list;
}

// Reads values per model: a map by name, or a list in the order of `view.loaded`.
std::map<std::string, double> ReadByModel(const json& it, const EngineView& view) {
  if (it.is_object()) return it.get<std::map<std::string, double>>();
  std::map<std::string, double> values;
  for (std::size_t n = 0; n < view.loaded.size(); ++n) {
    values[view.loaded[n].name] = it.at(n).get<double>();
  }
  return values;
}

// Reads the parts that the message contains; a full view must contain all of them.
void ReadParts(const json& it, bool is_whole, EngineView* view) {
  if (is_whole || it.contains("m")) view->loaded = ReadLoaded(it.at("m"));
  if (is_whole || it.contains("l")) {
    view->loading = it.at("l").get<std::string>();
    view->is_loading_from_store = it.at("s").get<bool>();
    view->queue = it.at("q").get<std::vector<std::string>>();
  }
  if (is_whole || it.contains("h"))
    view->cached_models = it.at("h").get<std::vector<std::string>>();
}

void ReadEngineLoad(const json& it, EngineView* view) {
  view->load_remaining_ms = it.at("ms").get<DurationMs>();
  view->running = it.at("r").get<int>();
  view->waiting = it.at("w").get<int>();
  view->kv_usage = it.at("kv").get<double>();
  view->entries = it.at("e").get<int>();
  if (it.contains("u")) view->requests_per_s = ReadByModel(it.at("u"), *view);
  if (it.contains("c")) view->eviction_cost_ms = ReadByModel(it.at("c"), *view);
  view->model_waits_per_s = it.value("wr", 0.0);
  view->store_load_request.reset();
  const auto want = it.find("sw");
  if (want != it.end()) {
    view->store_load_request = StoreLoadRequest{want->at(0).get<bool>(), want->at(2).get<double>(),
                                                want->at(1).get<DurationMs>()};
  }
}

// Returns element `n` of a list, or `absent` for a sender of an older version that does not
// send the element.
template <class Value>
Value ElementOr(const json& list, std::size_t n, Value absent) {
  return n < list.size() ? list.at(n).get<Value>() : absent;
}

// Element 7 of a wanted model used to be a target. No supported version reads it.
constexpr int kUnusedElement = 0;

}  // namespace

void ViewParts::Merge(const ViewParts& other) {
  has_loaded |= other.has_loaded;
  has_load_state |= other.has_load_state;
  has_local_models |= other.has_local_models;
}

ViewParts ChangedParts(const EngineView& before, const EngineView& after) {
  ViewParts parts;
  parts.has_loaded = before.loaded != after.loaded;
  parts.has_load_state = before.loading != after.loading || before.queue != after.queue ||
                         before.is_loading_from_store != after.is_loading_from_store;
  parts.has_local_models = before.cached_models != after.cached_models;
  return parts;
}

std::vector<std::string> RemovedModels(const EngineView& before, const EngineView& after) {
  std::vector<std::string> gone;
  for (const auto& it : before.loaded) {
    const auto now = std::find_if(after.loaded.begin(), after.loaded.end(),
                                  [&](const LoadedModel& other) { return other.name == it.name; });
    const bool is_whole =
        now != after.loaded.end() &&
        std::all_of(it.adapters.begin(), it.adapters.end(),
                    [&](const auto& name) { return Contains(now->adapters, name); });
    if (!is_whole) gone.push_back(it.name);
  }
  return gone;
}

std::string EncodeView(const EngineView& view) {
  json message = EngineLoadToJson(view);
  message["i"] = view.instance;
  AddParts(view, kAllParts, &message);
  message["u"] = view.requests_per_s;
  message["c"] = view.eviction_cost_ms;
  message["re"] = view.relays_upstream_ends;
  return PackCbor(message);
}

std::string EncodeViewUpdate(const EngineView& view, const ViewParts& parts) {
  json message = EngineLoadToJson(view);
  AddParts(view, parts, &message);
  // Sent as lists in the order of the loaded models, which the reader knows: the names would be
  // half of the bytes.
  message["u"] = InLoadedOrder(view, view.requests_per_s);
  message["c"] = InLoadedOrder(view, view.eviction_cost_ms);
  return PackCbor(message);
}

bool DecodeView(std::string_view bytes, EngineView* view) {
  return UnpackCbor(bytes, [view](const json& it) {
    const auto instance = it.find("i");
    if (instance != it.end()) {
      *view = EngineView();
      view->instance = instance->get<std::string>();
      view->relays_upstream_ends = it.value("re", false);
    } else if (view->instance.empty()) {
      return false;
    }
    ReadParts(it, instance != it.end(), view);
    ReadEngineLoad(it, view);
    return true;
  });
}

std::string EncodeDemand(const AgentDemand& demand) {
  json wanted = json::array();
  for (const auto& it : demand.wanted) {
    wanted.push_back({it.ref.model, it.ref.adapter, it.waiting, it.priority, it.age_ms,
                      it.requests_per_s_per_replica, it.late_callers, kUnusedElement, it.late,
                      it.slack_ms, it.requests_per_s, it.at_risk_requests_per_s});
  }
  json use = json::array();
  for (const auto& it : demand.use) {
    use.push_back({it.model, it.in_flight, it.requests_per_s, it.replicas, it.idle_ms,
                   it.adapters_in_use, it.target_ms, it.priority, it.region_replicas});
  }
  return PackCbor({{"n", demand.entry},
                   {"i", demand.instance},
                   {"w", wanted},
                   {"u", use},
                   {"s", demand.stage},
                   {"f", demand.may_load_from_store},
                   {"p", demand.resend_interval_ms},
                   {"d", demand.accepts_view_updates},
                   {"te", demand.wants_upstream_ends},
                   {"pl", demand.is_planner}});
}

bool DecodeDemand(std::string_view bytes, AgentDemand* demand) {
  return UnpackCbor(bytes, [demand](const json& message) {
    demand->entry = message.at("n").get<std::string>();
    demand->instance = message.at("i").get<std::string>();
    for (const auto& it : message.at("w")) {
      demand->wanted.push_back(
          ModelDemand{{it.at(0).get<std::string>(), it.at(1).get<std::string>()},
                      it.at(2).get<int>(),
                      it.at(3).get<int>(),
                      it.at(4).get<DurationMs>(),
                      ElementOr<double>(it, 5, 0),
                      ElementOr<double>(it, 6, 0),
                      ElementOr<int>(it, 8, 0),
                      ElementOr<DurationMs>(it, 9, 0),
                      ElementOr<double>(it, 10, 0),
                      ElementOr<double>(it, 11, 0)});
    }
    for (const auto& it : message.at("u")) {
      demand->use.push_back(ModelUse{
          it.at(0).get<std::string>(), it.at(1).get<int>(), it.at(2).get<double>(),
          it.at(3).get<int>(), it.at(4).get<DurationMs>(), it.at(5).get<std::vector<std::string>>(),
          ElementOr<DurationMs>(it, 6, 0), ElementOr<int>(it, 7, 0), ElementOr<int>(it, 8, 0)});
    }
    demand->stage = message.at("s").get<std::vector<std::string>>();
    // An entry of an older version, without the field, does not limit loads from the store.
    demand->may_load_from_store = message.value("f", true);
    demand->resend_interval_ms = message.value("p", demand->resend_interval_ms);
    demand->accepts_view_updates = message.value("d", false);
    demand->wants_upstream_ends = message.value("te", false);
    // An entry of an older version observes all engines.
    demand->is_planner = message.value("pl", true);
    return true;
  });
}

}  // namespace junctionrail
