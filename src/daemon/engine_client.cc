#include "engine_client.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "junctionrail/checked_json.h"

namespace junctionrail::internal {
namespace {

using nlohmann::json;

constexpr unsigned kOk = 200;
constexpr unsigned kFirstError = 300;
constexpr DurationMs kAskMs = 2000;
constexpr DurationMs kLongestLoadMs = 30LL * 60 * 1000;
// A model no engine has: an order about it changes nothing but the fence.
constexpr char kNoModel[] = "junctionrail-fence";

HttpCall PostJson(const Endpoint& engine, std::string target, std::string body) {
  HttpCall call;
  call.endpoint = engine;
  call.method = "POST";
  call.target = std::move(target);
  call.headers = {{"Content-Type", "application/json"}};
  call.body = std::move(body);
  return call;
}

std::string ParametersText(const json& parameters) {
  return DumpJson(json{{"parameters", parameters}});
}

ReplicaState StateOf(const std::string& text) {
  if (text == "READY") return ReplicaState::kLoaded;
  if (text == "LOADING") return ReplicaState::kLoading;
  if (text == "UNLOADING") return ReplicaState::kUnloading;
  return ReplicaState::kAbsent;
}

CacheTier TierOf(const std::string& text) {
  if (text == "memory") return CacheTier::kMemory;
  return text == "disk" ? CacheTier::kDisk : CacheTier::kRemote;
}

// Throws json::exception if a field is of another type.
EngineModel ReadModel(const json& it) {
  EngineModel model;
  model.key = it.value("name", "");
  model.state = StateOf(it.value("state", ""));
  model.accelerator = it.value("accelerator", 0U);
  model.memory_mb = it.value("memory_mb", std::uint64_t{0});
  model.tier = TierOf(it.value("cache_tier", ""));
  return model;
}

bool ReadModels(const std::string& body, std::vector<EngineModel>* models) {
  const json index = json::parse(body, nullptr, false);
  if (!index.is_array()) return false;
  try {
    for (const auto& it : index) {
      models->push_back(ReadModel(it));
      if (models->back().key.empty()) return false;
    }
  } catch (const json::exception&) {
    return false;
  }
  return true;
}

bool ReadAccelerators(const std::string& body, std::vector<std::uint64_t>* sizes) {
  const json metadata = json::parse(body, nullptr, false);
  if (!metadata.is_object() || !metadata.contains("accelerators_mb")) return false;
  for (const auto& it : metadata["accelerators_mb"]) {
    if (!it.is_number_unsigned()) return false;
    sizes->push_back(it.get<std::uint64_t>());
  }
  return true;
}

}  // namespace

void EngineClient::Inventory(std::function<void(std::optional<EngineInventory>)> done) {
  HttpCall metadata;
  metadata.endpoint = engine_;
  metadata.target = "/v2";
  metadata.quiet_ms = kAskMs;
  FetchWhole(http_, std::move(metadata), [this, done = std::move(done)](const HttpAnswer& first) {
    auto inventory = std::make_shared<EngineInventory>();
    if (first.status != kOk || !ReadAccelerators(first.body, &inventory->accelerators_mb)) {
      return done(std::nullopt);
    }
    HttpCall index = PostJson(engine_, "/v2/repository/index", "{}");
    index.quiet_ms = kAskMs;
    FetchWhole(http_, std::move(index), [inventory, done](const HttpAnswer& second) {
      if (second.status != kOk || !ReadModels(second.body, &inventory->models)) {
        return done(std::nullopt);
      }
      done(std::move(*inventory));
    });
  });
}

void EngineClient::Order(const std::string& key, const std::string& verb,
                         const std::string& parameters, std::function<void(OrderResult)> done) {
  HttpCall call = PostJson(engine_, "/v2/repository/models/" + key + "/" + verb, parameters);
  call.quiet_ms = kLongestLoadMs;
  // An order goes on a connection of its own: whether it left must be certain.
  call.is_fresh = true;
  FetchWhole(http_, std::move(call), [done = std::move(done)](const HttpAnswer& answer) {
    if (answer.status == 0) {
      const OperationOutcome outcome =
          answer.was_sent ? OperationOutcome::kUnknown : OperationOutcome::kRefused;
      return done(OrderResult{outcome, answer.reason, false});
    }
    const bool is_refused = answer.status >= kFirstError;
    done(OrderResult{is_refused ? OperationOutcome::kRefused : OperationOutcome::kDone, answer.body,
                     true});
  });
}

void EngineClient::Load(const agent::LoadModel& order, std::function<void(OrderResult)> done) {
  json parameters = {{"accelerator", order.accelerator},
                     {"memory_mb", order.memory_mb},
                     {"fencing_token", order.operation_id}};
  if (!order.base.empty()) parameters["base"] = order.base;
  Order(order.key, "load", ParametersText(parameters), std::move(done));
}

void EngineClient::Unload(const agent::UnloadModel& order, std::function<void(OrderResult)> done) {
  const json parameters = {{"fencing_token", order.operation_id}};
  Order(order.key, "unload", ParametersText(parameters), std::move(done));
}

void EngineClient::Fence(std::int64_t token, std::function<void(bool)> done) {
  const json parameters = {{"fencing_token", token}};
  Order(kNoModel, "unload", ParametersText(parameters),
        // Unloading what is not there may be refused; that the engine answered
        // at all shows that it has seen the token.
        [done = std::move(done)](const OrderResult& result) { done(result.was_answered); });
}

}  // namespace junctionrail::internal
