// Stand-in for a model engine: OpenAI-shaped completions with SSE, and model
// control in the shape of the KServe v2 model repository extension. It refuses
// to exceed accelerator memory and counts each time it would have had to.
//   GET  /v2, POST /v2/repository/index
//   POST /v2/repository/models/<key>/load   {"parameters": {...}}
//   POST /v2/repository/models/<key>/unload
//   POST /control {"die": true} | {"die_after_ms": N} | {"fail_loads": N}
//                 | {"lose_load_answers": N} | {"die_after_pieces": N}
//   GET  /counters
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdlib>
#include <map>
#include <memory>
#include <vector>

#include "standin_main.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Where to listen.");
ABSL_FLAG(std::string, weights, "", "The weight store; empty loads remote ones at disk speed.");
ABSL_FLAG(int, accelerators, 2, "Accelerators.");
ABSL_FLAG(int, memory_mb, 24576, "Memory of each.");
ABSL_FLAG(bool, honours_fencing, true, "Refuse an order with an older fencing token.");
ABSL_FLAG(std::string, on_disk, "", "Keys cached on disk, separated by commas.");
ABSL_FLAG(int, memory_ms_per_gb, 10, "Time to load a gigabyte cached in memory.");
ABSL_FLAG(int, disk_ms_per_gb, 50, "Time to load a gigabyte cached on disk.");
ABSL_FLAG(int, first_token_ms, 5, "Time to the first token.");
ABSL_FLAG(int, token_ms, 2, "Time between tokens.");
ABSL_FLAG(int, tokens, 8, "Tokens of an answer that sets no max_tokens.");

namespace junctionrail::standin {
namespace {

using nlohmann::json;

constexpr char kIndex[] = "/v2/repository/index";
constexpr char kModels[] = "/v2/repository/models/";

struct Model {
  std::string state = "UNAVAILABLE";
  std::string base;
  std::string tier = "remote";
  std::uint32_t accelerator = 0;
  std::uint64_t memory_mb = 0;
};

class Engine {
 public:
  Engine(boost::asio::io_context& io, HttpClient& http) : io_(io), http_(http) {
    used_.resize(static_cast<std::size_t>(absl::GetFlag(FLAGS_accelerators)), 0);
    std::string keys = absl::GetFlag(FLAGS_on_disk);
    while (!keys.empty()) {
      const std::size_t comma = keys.find(',');
      models_[keys.substr(0, comma)].tier = "disk";
      keys = comma == std::string::npos ? "" : keys.substr(comma + 1);
    }
  }

  void OnRequest(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
    const std::string& target = request.target;
    if (target == "/v2") return Answer(*responder, 200, Metadata());
    if (target == kIndex) return Answer(*responder, 200, Index());
    if (target == "/counters") return Answer(*responder, 200, counters_);
    if (target == "/control") return Control(BodyOf(request), *responder);
    if (target.rfind(kModels, 0) == 0) return Order(request, responder);
    if (target == "/v1/chat/completions" || target == "/v1/completions") {
      return Complete(BodyOf(request), responder);
    }
    Answer(*responder, 404, {{"error", "no such path"}});
  }

 private:
  void Count(const char* name) { counters_[name] = counters_.value(name, 0) + 1; }

  json Metadata() const {
    json sizes = json::array();
    for (std::size_t n = 0; n < used_.size(); ++n) sizes.push_back(absl::GetFlag(FLAGS_memory_mb));
    return {{"name", "standin-engine"},
            {"version", "1"},
            {"extensions", json::array({"model_repository"})},
            {"accelerators_mb", std::move(sizes)}};
  }

  json Index() const {
    json list = json::array();
    for (const auto& [key, it] : models_) {
      list.push_back({{"name", key},
                      {"version", key.substr(key.find('@') + 1)},
                      {"state", it.state},
                      {"reason", ""},
                      {"accelerator", it.accelerator},
                      {"memory_mb", it.memory_mb},
                      {"cache_tier", it.tier}});
    }
    return list;
  }

  void Control(const json& body, HttpResponder& responder) {
    if (body.value("die", false)) std::_Exit(1);
    fail_loads_ = body.value("fail_loads", fail_loads_);
    lose_load_answers_ = body.value("lose_load_answers", lose_load_answers_);
    die_after_pieces_ = body.value("die_after_pieces", die_after_pieces_);
    if (body.contains("die_after_ms")) {
      auto timer = std::make_shared<Timer>(io_);
      timer->After(body["die_after_ms"].get<int>(), [timer] { std::_Exit(1); });
    }
    Answer(responder, 200, {{"ok", true}});
  }

  void Order(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
    const std::string rest = request.target.substr(sizeof(kModels) - 1);
    const std::size_t slash = rest.rfind('/');
    const std::string key = rest.substr(0, slash);
    const std::string verb = slash == std::string::npos ? "" : rest.substr(slash + 1);
    const json parameters = BodyOf(request).value("parameters", json::object());
    const std::int64_t token = parameters.value("fencing_token", std::int64_t{0});
    if (absl::GetFlag(FLAGS_honours_fencing) && token < newest_token_) {
      Count("fenced");
      return Answer(*responder, 409, {{"error", "an older fencing token"}});
    }
    newest_token_ = std::max(newest_token_, token);
    if (verb == "load") return Load(key, parameters, responder);
    if (verb == "unload") return Unload(key, *responder);
    Answer(*responder, 404, {{"error", "no such order"}});
  }

  void Load(const std::string& key, const json& parameters,
            const std::shared_ptr<HttpResponder>& responder) {
    Model& model = models_[key];
    if (model.state == "READY") return Answer(*responder, 200, {{"ok", true}});
    if (model.state != "UNAVAILABLE") return Answer(*responder, 409, {{"error", model.state}});
    if (fail_loads_ > 0) {
      --fail_loads_;
      return Answer(*responder, 500, {{"error", "the checkpoint could not be read"}});
    }
    const std::uint32_t accelerator = parameters.value("accelerator", 0U);
    const std::uint64_t memory = parameters.value("memory_mb", std::uint64_t{1024});
    const std::string base = parameters.value("base", "");
    if (!base.empty() && models_[base].state != "READY") {
      return Answer(*responder, 400, {{"error", "the base is not loaded"}});
    }
    const auto size = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_memory_mb));
    if (accelerator >= used_.size() || used_[accelerator] + memory > size) {
      Count("overcommits_refused");
      return Answer(*responder, 507, {{"error", "out of accelerator memory"}});
    }
    used_[accelerator] += memory;
    model.state = "LOADING";
    model.base = base;
    model.accelerator = accelerator;
    model.memory_mb = memory;
    Count("loads");
    const double gb = static_cast<double>(memory) / 1024.0;
    const std::string weights = absl::GetFlag(FLAGS_weights);
    if (model.tier == "remote" && !weights.empty()) {
      return Fetch(weights, memory, [this, key, responder] { FinishLoad(key, responder); });
    }
    const int per_gb = model.tier == "memory" ? absl::GetFlag(FLAGS_memory_ms_per_gb)
                                              : absl::GetFlag(FLAGS_disk_ms_per_gb);
    auto timer = std::make_shared<Timer>(io_);
    timer->After(static_cast<DurationMs>(gb * per_gb),
                 [this, key, responder, timer] { FinishLoad(key, responder); });
  }

  void Fetch(const std::string& weights, std::uint64_t memory, std::function<void()> done) {
    HttpCall call;
    ParseEndpoint(weights, &call.endpoint);
    call.method = "POST";
    call.target = "/v1/fetch";
    call.body = json{{"memory_mb", memory}}.dump();
    FetchWhole(http_, std::move(call), [done = std::move(done)](const HttpAnswer&) { done(); });
  }

  void FinishLoad(const std::string& key, const std::shared_ptr<HttpResponder>& responder) {
    models_[key].state = "READY";
    models_[key].tier = "disk";
    if (lose_load_answers_ > 0) {
      --lose_load_answers_;
      return responder->Break();
    }
    Answer(*responder, 200, {{"ok", true}});
  }

  void Unload(const std::string& key, HttpResponder& responder) {
    Model& model = models_[key];
    if (model.state != "READY") {
      return Answer(responder, 400, {{"error", "not loaded"}});
    }
    used_[model.accelerator] -= model.memory_mb;
    model.state = "UNAVAILABLE";
    model.tier = "memory";
    Count("unloads");
    Answer(responder, 200, {{"ok", true}});
  }

  // One answer under way.
  struct Run {
    std::shared_ptr<HttpResponder> responder;
    std::shared_ptr<Timer> timer;
    std::string model;
    std::string text;
    int left = 0;
    int sent = 0;
    bool is_stream = false;
    bool is_gone = false;
  };

  void Complete(const json& body, const std::shared_ptr<HttpResponder>& responder) {
    const std::string key = body.value("model", "");
    const auto it = models_.find(key);
    if (it == models_.end() || it->second.state != "READY") {
      Count("not_loaded");
      return Answer(*responder, 404, {{"error", {{"message", "model not loaded: " + key}}}});
    }
    Count("completions");
    auto run = std::make_shared<Run>();
    run->responder = responder;
    run->timer = std::make_shared<Timer>(io_);
    run->model = key;
    run->left = body.value("max_tokens", absl::GetFlag(FLAGS_tokens));
    run->is_stream = body.value("stream", false);
    if (run->is_stream) responder->OnGone([run] { run->is_gone = true; });
    run->timer->After(absl::GetFlag(FLAGS_first_token_ms), [this, run] { NextToken(run); });
  }

  void NextToken(const std::shared_ptr<Run>& run) {
    if (run->is_gone) return Count("cancelled");
    if (run->left == 0) return Finish(run);
    if (run->is_stream && run->sent == 0) {
      run->responder->Begin(200, {{"Content-Type", "text/event-stream"}});
    }
    const std::string token = "t" + std::to_string(run->sent++) + " ";
    --run->left;
    run->text += token;
    if (run->is_stream) {
      const json choice = {{"index", 0}, {"delta", {{"content", token}}}};
      const json event = {{"object", "chat.completion.chunk"},
                          {"model", run->model},
                          {"choices", json::array({choice})}};
      run->responder->Piece("data: " + event.dump() + "\n\n");
      if (die_after_pieces_ > 0 && --die_after_pieces_ == 0) std::_Exit(1);
    }
    const int wait = absl::GetFlag(FLAGS_token_ms);
    if (!run->is_stream) {
      run->timer->After(static_cast<DurationMs>(run->left) * wait, [this, run] {
        while (run->left > 0) {
          --run->left;
          run->text += "t" + std::to_string(run->sent++) + " ";
        }
        Finish(run);
      });
      return;
    }
    run->timer->After(wait, [this, run] { NextToken(run); });
  }

  static void Finish(const std::shared_ptr<Run>& run) {
    if (run->is_stream) {
      run->responder->Piece("data: [DONE]\n\n");
      return run->responder->End();
    }
    const json message = {{"role", "assistant"}, {"content", run->text}};
    const json choice = {{"index", 0}, {"message", message}, {"finish_reason", "stop"}};
    Answer(
        *run->responder, 200,
        {{"object", "chat.completion"}, {"model", run->model}, {"choices", json::array({choice})}});
  }

  boost::asio::io_context& io_;
  HttpClient& http_;
  std::map<std::string, Model> models_;
  std::vector<std::uint64_t> used_;
  std::int64_t newest_token_ = 0;
  int fail_loads_ = 0;
  int lose_load_answers_ = 0;
  int die_after_pieces_ = 0;
  json counters_ = json::object();
};

}  // namespace
}  // namespace junctionrail::standin

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  boost::asio::io_context io(1);
  junctionrail::HttpClient http(io);
  junctionrail::standin::Engine engine(io, http);
  return junctionrail::standin::Serve(
      io, absl::GetFlag(FLAGS_listen),
      [&engine](const junctionrail::HttpRequest& request,
                const std::shared_ptr<junctionrail::HttpResponder>& responder) {
        engine.OnRequest(request, responder);
      });
}
