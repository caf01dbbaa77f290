#include <nlohmann/json.hpp>
#include <utility>

#include "junctionrail/store.h"

namespace junctionrail {
namespace {

using nlohmann::json;

constexpr DurationMs kCallMs = 2000;  // Connecting, and waiting for an answer.
constexpr DurationMs kWatchQuietMs = 24LL * 3600 * 1000;
constexpr unsigned kOk = 200;

// The API writes 64-bit numbers as strings (proto3's JSON form).
std::int64_t Number(const json& object, const char* key) {
  const auto it = object.find(key);
  if (it == object.end()) return 0;
  if (it->is_number_integer()) return it->get<std::int64_t>();
  if (it->is_string()) return std::strtoll(it->get_ref<const std::string&>().c_str(), nullptr, 10);
  return 0;
}

std::string Decoded(const json& object, const char* key) {
  const auto it = object.find(key);
  std::string bytes;
  if (it != object.end() && it->is_string())
    DecodeBase64(it->get_ref<const std::string&>(), &bytes);
  return bytes;
}

KvPair ReadPair(const json& object) {
  return KvPair{Decoded(object, "key"), Decoded(object, "value"), Number(object, "mod_revision")};
}

KvRange ReadRange(const json& object) {
  KvRange range;
  const auto header = object.find("header");
  if (header != object.end()) range.revision = Number(*header, "revision");
  const auto kvs = object.find("kvs");
  if (kvs != object.end() && kvs->is_array()) {
    for (const auto& it : *kvs) range.pairs.push_back(ReadPair(it));
  }
  range.has_more = object.value("more", false);
  return range;
}

json RangeRequest(std::string_view key, std::string_view end) {
  json request = {{"key", EncodeBase64(key)}};
  if (!end.empty()) request["range_end"] = EncodeBase64(end);
  return request;
}

}  // namespace

class KvClient::Impl : public std::enable_shared_from_this<KvClient::Impl> {
 public:
  Impl(HttpClient& http, std::vector<Endpoint> endpoints)
      : http_(http), endpoints_(std::move(endpoints)) {}

  using JsonDone = std::function<void(Result<json, KvError>)>;

  // Posts to the endpoint that last answered; on a failure before anything was
  // sent the others are tried in turn.
  void Post(const std::string& target, const std::string& body, JsonDone done,
            std::size_t tries = 0) {
    HttpCall call;
    call.endpoint = endpoints_[current_];
    call.method = "POST";
    call.target = target;
    call.headers = {{"Content-Type", "application/json"}};
    call.body = body;
    call.connect_ms = kCallMs;
    call.quiet_ms = kCallMs;
    FetchWhole(http_, std::move(call),
               [self = shared_from_this(), target, body, done = std::move(done),
                tries](HttpAnswer answer) mutable {
                 const bool reached = answer.status != 0 || answer.was_sent;
                 if (!reached) {
                   self->current_ = (self->current_ + 1) % self->endpoints_.size();
                   if (tries + 1 < self->endpoints_.size()) {
                     return self->Post(target, body, std::move(done), tries + 1);
                   }
                 }
                 done(self->Judge(answer, reached));
               });
  }

  Result<json, KvError> Judge(const HttpAnswer& answer, bool reached) {
    if (answer.status == kOk) {
      json value = json::parse(answer.body, nullptr, false);
      if (value.is_object()) return value;
      ++counters_.failures;
      return KvError{KvErrorCode::kMalformed, "the answer is no JSON object"};
    }
    ++counters_.failures;
    if (answer.status != 0) {
      return KvError{KvErrorCode::kUnknown, "status " + std::to_string(answer.status)};
    }
    return KvError{reached ? KvErrorCode::kUnknown : KvErrorCode::kUnavailable, answer.reason};
  }

  HttpClient& http_;
  std::vector<Endpoint> endpoints_;
  std::size_t current_ = 0;
  KvCounters counters_;
};

KvClient::KvClient(HttpClient& http, std::vector<Endpoint> endpoints)
    : impl_(std::make_shared<Impl>(http, std::move(endpoints))) {}
KvClient::~KvClient() = default;
const KvCounters& KvClient::counters() const { return impl_->counters_; }

void KvClient::Range(std::string_view key, std::string_view end, std::int64_t limit,
                     RangeDone done) {
  ++impl_->counters_.reads;
  json request = RangeRequest(key, end);
  if (limit > 0) request["limit"] = std::to_string(limit);
  impl_->Post("/v3/kv/range", request.dump(),
              [done = std::move(done)](Result<json, KvError> answer) {
                if (!answer) return done(answer.error());
                done(ReadRange(answer.value()));
              });
}

void KvClient::Swap(std::string_view key, std::string_view value, std::int64_t expected,
                    SwapDone done) {
  ++impl_->counters_.writes;
  const json compare = {{"key", EncodeBase64(key)},
                        {"target", "MOD"},
                        {"result", "EQUAL"},
                        {"mod_revision", std::to_string(expected)}};
  const json put = {{"request_put", {{"key", EncodeBase64(key)}, {"value", EncodeBase64(value)}}}};
  const json get = {{"request_range", RangeRequest(key, {})}};
  const json request = {{"compare", json::array({compare})},
                        {"success", json::array({put})},
                        {"failure", json::array({get})}};
  impl_->Post("/v3/kv/txn", request.dump(), [done = std::move(done)](Result<json, KvError> answer) {
    if (!answer) return done(answer.error());
    const json& value = answer.value();
    KvSwap swap;
    swap.is_written = value.value("succeeded", false);
    const auto header = value.find("header");
    if (header != value.end()) swap.revision = Number(*header, "revision");
    const auto responses = value.find("responses");
    if (!swap.is_written && responses != value.end() && responses->is_array()) {
      for (const auto& it : *responses) {
        const auto range = it.find("response_range");
        if (range == it.end()) continue;
        const KvRange found = ReadRange(*range);
        if (!found.pairs.empty()) swap.current = found.pairs.front();
      }
    }
    done(std::move(swap));
  });
}

namespace {

// The changes of one line hold values of up to 1 MB each, in base64.
constexpr std::size_t kMaxLineBytes = 16 << 20;

// Cuts a watch's stream into its JSON lines.
class WatchReader {
 public:
  explicit WatchReader(std::function<void(std::vector<KvEvent>)> changed)
      : changed_(std::move(changed)) {}

  // Whether the changes since then can only be read: a new watch would meet the same end.
  bool must_read() const { return was_cancelled_ || is_line_too_long_; }

  // False when the stream is not the API's, or the service ended the watch.
  bool Take(std::string_view data) {
    const std::size_t searched = buffer_.size();
    buffer_ += data;
    std::size_t end = buffer_.find('\n', searched);
    while (end != std::string::npos) {
      const std::string line = buffer_.substr(0, end);
      buffer_.erase(0, end + 1);
      if (!line.empty() && !TakeLine(line)) return false;
      end = buffer_.find('\n');
    }
    is_line_too_long_ = buffer_.size() > kMaxLineBytes;
    return !is_line_too_long_;
  }

 private:
  bool TakeLine(const std::string& line) {
    const json value = json::parse(line, nullptr, false);
    if (!value.is_object() || !value.contains("result")) return false;
    const json& result = value["result"];
    was_cancelled_ = result.value("canceled", false);
    if (was_cancelled_) return false;
    const auto events = result.find("events");
    if (events == result.end() || !events->is_array()) return true;
    std::vector<KvEvent> all;
    for (const auto& it : *events) {
      KvEvent event;
      event.is_deletion = it.value("type", "PUT") == "DELETE";
      if (it.contains("kv")) event.pair = ReadPair(it["kv"]);
      all.push_back(std::move(event));
    }
    changed_(std::move(all));
    return true;
  }

  std::function<void(std::vector<KvEvent>)> changed_;
  std::string buffer_;
  bool was_cancelled_ = false;
  bool is_line_too_long_ = false;
};

}  // namespace

std::shared_ptr<HttpCallHandle> KvClient::Watch(std::string_view prefix, std::int64_t since,
                                                std::function<void(std::vector<KvEvent>)> changed,
                                                std::function<void(bool)> ended) {
  ++impl_->counters_.watches;
  const json create = {{"key", EncodeBase64(prefix)},
                       {"range_end", EncodeBase64(PrefixEnd(prefix))},
                       {"start_revision", std::to_string(since + 1)}};
  HttpCall call;
  call.endpoint = impl_->endpoints_[impl_->current_];
  call.method = "POST";
  call.target = "/v3/watch";
  call.headers = {{"Content-Type", "application/json"}};
  call.body = json{{"create_request", create}}.dump();
  call.connect_ms = kCallMs;
  call.quiet_ms = kWatchQuietMs;
  call.max_answer_bytes = 0;  // Goes on for as long as the watch; taken in lines.
  call.is_fresh = true;
  auto reader = std::make_shared<WatchReader>(std::move(changed));
  auto is_ended = std::make_shared<bool>(false);
  auto end = [ended = std::move(ended), is_ended, reader] {
    if (!std::exchange(*is_ended, true)) ended(reader->must_read());
  };
  HttpCallbacks callbacks;
  auto call_of_watch = std::make_shared<std::weak_ptr<HttpCallHandle>>();
  callbacks.piece = [reader, end, call_of_watch](const std::string& data) {
    if (reader->Take(data)) return;
    const auto handle = call_of_watch->lock();
    if (handle) handle->Cancel();
    end();
  };
  callbacks.done = end;
  callbacks.failed = [end](bool, const std::string&) { end(); };
  auto started = impl_->http_.Start(std::move(call), std::move(callbacks));
  *call_of_watch = started;
  return started;
}

std::string PrefixEnd(std::string_view prefix) {
  std::string end(prefix);
  end.back() = static_cast<char>(end.back() + 1);
  return end;
}

}  // namespace junctionrail
