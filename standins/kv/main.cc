// Stand-in for the platform's key-value service: range, txn and watch of the
// etcd v3 JSON API, in memory. POST /control makes it misbehave:
//   {"mode": "up"|"down"|"slow", "delay_ms": N}
//   {"lose_answers": N}      apply the next N writes and drop their answers
//   {"end_watches": true}    end every watch
//   {"silence_watches": B}   keep watches open but deliver nothing
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <map>
#include <memory>
#include <vector>

#include "standin_main.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Where to listen.");

namespace junctionrail::standin {
namespace {

using nlohmann::json;

struct Stored {
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
  std::int64_t version = 0;
};

struct Change {
  std::int64_t revision = 0;
  std::string key;
  json event;
};

struct Watcher {
  std::shared_ptr<HttpResponder> responder;
  std::string key;
  std::string end;
};

std::string Field(const json& object, const char* name) {
  std::string bytes;
  const auto it = object.find(name);
  if (it != object.end() && it->is_string()) DecodeBase64(it->get<std::string>(), &bytes);
  return bytes;
}

std::int64_t Number(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end()) return 0;
  return it->is_string() ? std::stoll(it->get<std::string>()) : it->get<std::int64_t>();
}

class Store {
 public:
  explicit Store(boost::asio::io_context& io) : io_(io) {}

  void OnRequest(const HttpRequest& request, std::shared_ptr<HttpResponder> responder) {
    if (request.target == "/control") return Control(BodyOf(request), *responder);
    if (request.target == "/counters") return Answer(*responder, 200, counters_);
    if (mode_ == "down") return responder->Break();
    if (mode_ != "slow") return Serve(request, responder);
    auto timer = std::make_shared<Timer>(io_);
    timer->After(delay_ms_, [this, request, responder, timer] { Serve(request, responder); });
  }

 private:
  void Control(const json& body, HttpResponder& responder) {
    mode_ = body.value("mode", mode_);
    delay_ms_ = body.value("delay_ms", delay_ms_);
    lose_answers_ = body.value("lose_answers", lose_answers_);
    is_silent_ = body.value("silence_watches", is_silent_);
    if (mode_ == "down" || body.value("end_watches", false)) {
      for (auto& it : watchers_) it.responder->Break();
      watchers_.clear();
    }
    Answer(responder, 200, {{"ok", true}});
  }

  void Serve(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
    const json body = BodyOf(request);
    if (request.target == "/v3/kv/range") {
      ++counters_["reads"].get_ref<json::number_integer_t&>();
      return Answer(*responder, 200, Range(body));
    }
    if (request.target == "/v3/kv/txn") {
      ++counters_["writes"].get_ref<json::number_integer_t&>();
      const json answer = Txn(body);
      if (lose_answers_ > 0) {
        --lose_answers_;
        return responder->Break();
      }
      return Answer(*responder, 200, answer);
    }
    if (request.target == "/v3/watch") {
      ++counters_["watches"].get_ref<json::number_integer_t&>();
      return Watch(body.value("create_request", json::object()), responder);
    }
    Answer(*responder, 404, {{"error", "no such path"}});
  }

  json Header() const { return {{"revision", std::to_string(revision_)}}; }

  static json Pair(const std::string& key, const Stored& stored) {
    return {{"key", EncodeBase64(key)},
            {"value", EncodeBase64(stored.value)},
            {"create_revision", std::to_string(stored.create_revision)},
            {"mod_revision", std::to_string(stored.mod_revision)},
            {"version", std::to_string(stored.version)}};
  }

  json Range(const json& request) const {
    const std::string key = Field(request, "key");
    const std::string end = Field(request, "range_end");
    const std::int64_t limit = Number(request, "limit");
    json kvs = json::array();
    bool has_more = false;
    for (auto it = data_.lower_bound(key); it != data_.end(); ++it) {
      if (end.empty() ? it->first != key : it->first >= end) break;
      if (limit > 0 && static_cast<std::int64_t>(kvs.size()) >= limit) {
        has_more = true;
        break;
      }
      kvs.push_back(Pair(it->first, it->second));
    }
    json answer = {{"header", Header()}, {"count", std::to_string(kvs.size())}};
    if (has_more) answer["more"] = true;
    answer["kvs"] = std::move(kvs);
    return answer;
  }

  bool Holds(const json& compare) const {
    const auto it = data_.find(Field(compare, "key"));
    const std::int64_t current = it == data_.end() ? 0 : it->second.mod_revision;
    return current == Number(compare, "mod_revision");
  }

  json Txn(const json& request) {
    bool holds = true;
    for (const auto& it : request.value("compare", json::array())) holds = holds && Holds(it);
    json responses = json::array();
    for (const auto& it : request.value(holds ? "success" : "failure", json::array())) {
      if (it.contains("request_put")) {
        Put(Field(it["request_put"], "key"), Field(it["request_put"], "value"));
        responses.push_back({{"response_put", {{"header", Header()}}}});
      } else if (it.contains("request_range")) {
        responses.push_back({{"response_range", Range(it["request_range"])}});
      }
    }
    return {{"header", Header()}, {"succeeded", holds}, {"responses", std::move(responses)}};
  }

  void Put(const std::string& key, const std::string& value) {
    ++revision_;
    Stored& stored = data_[key];
    stored.value = value;
    stored.mod_revision = revision_;
    ++stored.version;
    if (stored.create_revision == 0) stored.create_revision = revision_;
    history_.push_back({revision_, key, {{"type", "PUT"}, {"kv", Pair(key, stored)}}});
    if (is_silent_) return;
    for (auto& it : watchers_) Deliver(it, history_.back());
  }

  void Deliver(Watcher& watcher, const Change& change) const {
    const bool is_seen = watcher.end.empty()
                             ? change.key == watcher.key
                             : change.key >= watcher.key && change.key < watcher.end;
    if (!is_seen) return;
    const json line = {{"result", {{"header", Header()}, {"events", json::array({change.event})}}}};
    watcher.responder->Piece(line.dump() + "\n");
  }

  void Watch(const json& create, const std::shared_ptr<HttpResponder>& responder) {
    Watcher watcher{responder, Field(create, "key"), Field(create, "range_end")};
    responder->Begin(200, {{"Content-Type", "application/json"}});
    const json created = {{"result", {{"header", Header()}, {"created", true}}}};
    responder->Piece(created.dump() + "\n");
    const std::int64_t from = Number(create, "start_revision");
    for (const auto& it : history_) {
      if (from > 0 && it.revision >= from && !is_silent_) Deliver(watcher, it);
    }
    watchers_.push_back(watcher);
    responder->OnGone([this, raw = responder.get()] {
      for (auto it = watchers_.begin(); it != watchers_.end(); ++it) {
        if (it->responder.get() != raw) continue;
        watchers_.erase(it);
        return;
      }
    });
  }

  boost::asio::io_context& io_;
  std::map<std::string, Stored> data_;
  std::vector<Change> history_;
  std::vector<Watcher> watchers_;
  std::int64_t revision_ = 1;
  std::string mode_ = "up";
  DurationMs delay_ms_ = 0;
  int lose_answers_ = 0;
  bool is_silent_ = false;
  json counters_ = {{"reads", 0}, {"writes", 0}, {"watches", 0}};
};

}  // namespace
}  // namespace junctionrail::standin

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  boost::asio::io_context io(1);
  junctionrail::standin::Store store(io);
  return junctionrail::standin::Serve(
      io, absl::GetFlag(FLAGS_listen),
      [&store](const junctionrail::HttpRequest& request,
               std::shared_ptr<junctionrail::HttpResponder> responder) {
        store.OnRequest(request, std::move(responder));
      });
}
