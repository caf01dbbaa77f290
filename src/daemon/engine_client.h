// Orders to a model engine and questions about what it holds, in the shape of
// the KServe v2 protocol's model repository extension:
//   GET  /v2                                    metadata, with accelerators
//   POST /v2/repository/index                   what is loaded and loading
//   POST /v2/repository/models/<key>/load       {"parameters": {...}}
//   POST /v2/repository/models/<key>/unload
#ifndef JUNCTIONRAIL_DAEMON_ENGINE_CLIENT_H_
#define JUNCTIONRAIL_DAEMON_ENGINE_CLIENT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "junctionrail/agent_core.h"
#include "junctionrail/net.h"

namespace junctionrail::internal {

// What the engine holds; nothing when it did not say.
struct EngineInventory {
  std::vector<std::uint64_t> accelerators_mb;
  std::vector<EngineModel> models;
};

struct OrderResult {
  OperationOutcome outcome = OperationOutcome::kDone;
  std::string detail;
  bool was_answered = false;  // Whether the engine itself said so.
};

class EngineClient {
 public:
  EngineClient(HttpClient& http, Endpoint engine) : http_(http), engine_(std::move(engine)) {}

  void Inventory(std::function<void(std::optional<EngineInventory>)> done);
  void Load(const agent::LoadModel& order, std::function<void(OrderResult)> done);
  void Unload(const agent::UnloadModel& order, std::function<void(OrderResult)> done);
  // Makes the engine refuse every order older than `token`.
  void Fence(std::int64_t token, std::function<void(bool)> done);

 private:
  void Order(const std::string& key, const std::string& verb, const std::string& parameters,
             std::function<void(OrderResult)> done);

  HttpClient& http_;
  Endpoint engine_;
};

}  // namespace junctionrail::internal

#endif  // JUNCTIONRAIL_DAEMON_ENGINE_CLIENT_H_
