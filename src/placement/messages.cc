// CBOR maps with short keys. A reader passes over keys it does not know, so
// that processes of two versions understand each other.
#include <nlohmann/json.hpp>

#include "junctionrail/placement.h"

namespace junctionrail {
namespace {

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

std::string Pack(const json& message) {
  std::string bytes;
  json::to_cbor(message, bytes);
  return bytes;
}

// Calls `read` with the message; false when it is not one, or a field is of
// another type than the reader takes.
template <class Read>
bool Unpack(std::string_view bytes, Read read) {
  const json message = json::from_cbor(bytes, true, false);
  if (!message.is_object()) return false;
  try {
    read(message);
  } catch (const json::exception&) {
    return false;
  }
  return true;
}

// Element `n` of a list; a sender from before there was such an element left it
// out.
template <class Value>
Value ElementOr(const json& list, std::size_t n, Value absent) {
  return n < list.size() ? list.at(n).get<Value>() : absent;
}

}  // namespace

std::string EncodeView(const EngineView& view) {
  json message = {{"i", view.instance},      {"m", ToJson(view.loaded)}, {"l", view.loading},
                  {"s", view.is_from_store}, {"ms", view.remaining_ms},  {"q", view.queue},
                  {"h", view.at_hand},       {"r", view.running},        {"w", view.waiting},
                  {"kv", view.kv_share},     {"e", view.entries},        {"u", view.per_s},
                  {"c", view.closing_ms},    {"wr", view.wants_per_s}};
  if (view.store_want) {
    const StoreWant& want = *view.store_want;
    message["sw"] = {want.is_waited_for, want.age_ms, want.weight};
  }
  return Pack(message);
}

bool DecodeView(std::string_view bytes, EngineView* view) {
  return Unpack(bytes, [view](const json& it) {
    view->instance = it.at("i").get<std::string>();
    view->loaded = ReadLoaded(it.at("m"));
    view->loading = it.at("l").get<std::string>();
    view->is_from_store = it.at("s").get<bool>();
    view->remaining_ms = it.at("ms").get<DurationMs>();
    view->queue = it.at("q").get<std::vector<std::string>>();
    view->at_hand = it.at("h").get<std::vector<std::string>>();
    view->running = it.at("r").get<int>();
    view->waiting = it.at("w").get<int>();
    view->kv_share = it.at("kv").get<double>();
    view->entries = it.at("e").get<int>();
    if (it.contains("u")) view->per_s = it.at("u").get<std::map<std::string, double>>();
    if (it.contains("c")) view->closing_ms = it.at("c").get<std::map<std::string, double>>();
    view->wants_per_s = it.value("wr", 0.0);
    const auto want = it.find("sw");
    if (want != it.end()) {
      view->store_want = StoreWant{want->at(0).get<bool>(), want->at(2).get<double>(),
                                   want->at(1).get<DurationMs>()};
    }
  });
}

std::string EncodeDemand(const AgentDemand& demand) {
  json wanted = json::array();
  for (const auto& it : demand.wanted) {
    wanted.push_back({it.ref.model, it.ref.adapter, it.waiting, it.priority, it.age_ms,
                      it.replica_per_s, it.callers_late, it.target_ms, it.late, it.left_ms,
                      it.per_s});
  }
  json use = json::array();
  for (const auto& it : demand.use) {
    use.push_back({it.model, it.in_flight, it.per_s, it.replicas, it.idle_ms, it.adapters_in_use,
                   it.target_ms, it.priority});
  }
  return Pack({{"n", demand.entry},
               {"i", demand.instance},
               {"w", wanted},
               {"u", use},
               {"s", demand.stage},
               {"f", demand.may_load_from_store}});
}

bool DecodeDemand(std::string_view bytes, AgentDemand* demand) {
  return Unpack(bytes, [demand](const json& message) {
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
                      ElementOr<DurationMs>(it, 7, 0),
                      ElementOr<int>(it, 8, 0),
                      ElementOr<DurationMs>(it, 9, 0),
                      ElementOr<double>(it, 10, 0)});
    }
    for (const auto& it : message.at("u")) {
      demand->use.push_back(ModelUse{
          it.at(0).get<std::string>(), it.at(1).get<int>(), it.at(2).get<double>(),
          it.at(3).get<int>(), it.at(4).get<DurationMs>(), it.at(5).get<std::vector<std::string>>(),
          ElementOr<DurationMs>(it, 6, 0), ElementOr<int>(it, 7, 0)});
    }
    demand->stage = message.at("s").get<std::vector<std::string>>();
    // An entry from before there was such a field sets no bound.
    demand->may_load_from_store = message.value("f", true);
  });
}

}  // namespace junctionrail
