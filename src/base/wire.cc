#include "junctionrail/wire.h"

#include <array>
#include <cstddef>
#include <limits>
#include <nlohmann/json.hpp>
#include <type_traits>
#include <utility>
#include <vector>

#include "cbor_message.h"

namespace junctionrail {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, static_cast<std::size_t>(RefusalCode::kCount)> kNames = {
    "not_declared",     "no_replicas",      "no_memory",   "cold_too_late",
    "queue_too_late",   "queue_full",       "leaving",     "deadline_passed",
    "not_granted",      "grant_unverified", "load_failed", "upstream_unreachable",
    "upstream_failed",  "link_lost",        "in_progress", "outcome_unknown",
    "placement_failed", "no_upstream",      "stopping",    "key_mismatch"};

// A field list for each type, walked by the encoder and by the decoder alike,
// so that the two cannot disagree. Bodies travel as CBOR byte strings: they
// need not be UTF-8.
struct Bytes {
  std::string& text;
};

template <class V>
void Fields(HelloFrame& f, V&& v) {
  v(f.wire_version, f.sender, f.config_version);
}
template <class V>
void Fields(GrantView& f, V&& v) {
  v(f.key, f.slot, f.token, f.memory_mb, f.base, f.config_version);
}
template <class V>
void Fields(UpstreamReport& f, V&& v) {
  v(f.state, f.wait_ms, f.queued, f.running, f.leaving, f.free_places, f.per_call_us);
}
template <class V>
void Fields(Refusal& f, V&& v) {
  v(f.code, f.sentence, f.ran, f.retry_after_ms);
}
template <class V>
void Fields(CallFrame& f, V&& v) {
  Bytes body{f.body};
  v(f.id, f.key, f.method, f.path, f.content_type, body, f.deadline_ms, f.priority, f.is_repeatable,
    f.is_stream, f.idempotency_key, f.idempotency_window_ms, f.grants, f.config_version);
}
template <class V>
void Fields(CancelFrame& f, V&& v) {
  v(f.id);
}
template <class V>
void Fields(AskFrame& f, V&& v) {
  v(f.id, f.key, f.base, f.memory_mb);
}
template <class V>
void Fields(RetireFrame& f, V&& v) {
  v(f.key, f.slot, f.token, f.config_version);
}
template <class V>
void Fields(WhyFrame& f, V&& v) {
  v(f.id, f.subject);
}
template <class V>
void Fields(DrainFrame& f, V&& v) {
  v(f.reason);
}
template <class V>
void Fields(HeadFrame& f, V&& v) {
  v(f.id, f.status, f.content_type, f.was_cold, f.report);
}
template <class V>
void Fields(PieceFrame& f, V&& v) {
  Bytes data{f.data};
  v(f.id, f.sequence, data);
}
template <class V>
void Fields(EndFrame& f, V&& v) {
  v(f.id, f.count, f.report);
}
template <class V>
void Fields(RefusalFrame& f, V&& v) {
  v(f.id, f.refusal, f.report);
}
template <class V>
void Fields(OfferFrame& f, V&& v) {
  v(f.id, f.key, f.fits, f.free_mb, f.tier, f.load_ms, f.holds_base, f.leaving);
}
template <class V>
void Fields(WhyAnswerFrame& f, V&& v) {
  Bytes records{f.records};
  v(f.id, records);
}

// The number of values an enumeration has on the wire.
template <class E>
constexpr std::uint64_t kEnumSize = 0;
template <>
constexpr std::uint64_t kEnumSize<Priority> = 3;
template <>
constexpr std::uint64_t kEnumSize<Ran> = 2;
template <>
constexpr std::uint64_t kEnumSize<RefusalCode> = static_cast<std::uint64_t>(RefusalCode::kCount);
template <>
constexpr std::uint64_t kEnumSize<ReplicaState> = 4;
template <>
constexpr std::uint64_t kEnumSize<CacheTier> = 3;

// Builds a value out of CBOR. Frames are flat, so anything deep or with more
// elements than bytes could hold is refused before memory is spent on it.
class FlatBuilder : public json::json_sax_t {
 public:
  explicit FlatBuilder(std::size_t most_elements) : most_elements_(most_elements) {}

  bool null() override { return Add(nullptr); }
  bool boolean(bool value) override { return Add(value); }
  bool number_integer(number_integer_t value) override { return Add(value); }
  bool number_unsigned(number_unsigned_t value) override { return Add(value); }
  bool number_float(number_float_t value, const string_t&) override { return Add(value); }
  bool string(string_t& value) override { return Add(std::move(value)); }
  bool binary(binary_t& value) override { return Add(json::binary(std::move(value))); }
  bool start_object(std::size_t) override { return false; }
  bool key(string_t&) override { return false; }
  bool end_object() override { return false; }
  bool start_array(std::size_t elements) override {
    constexpr auto kNotSaid = static_cast<std::size_t>(-1);
    const bool is_too_big = elements != kNotSaid && elements > most_elements_;
    if (is_too_big || open_.size() >= kDeepest) return false;
    open_.push_back(json::array());
    return true;
  }
  bool end_array() override {
    json closed = std::move(open_.back());
    open_.pop_back();
    return Add(std::move(closed));
  }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

  json Take() { return std::move(root_); }

 private:
  static constexpr std::size_t kDeepest = 4;

  template <class T>
  bool Add(T&& value) {
    json& place = open_.empty() ? root_ : open_.back();
    if (open_.empty()) {
      place = std::forward<T>(value);
    } else {
      place.push_back(std::forward<T>(value));
    }
    return true;
  }

  std::size_t most_elements_;
  std::vector<json> open_;
  json root_;
};

class Writer {
 public:
  explicit Writer(json* out) : out_(out) {}

  template <class... T>
  void operator()(T&... fields) {
    (Put(fields), ...);
  }

 private:
  template <class T>
  void Put(T& field) {
    if constexpr (std::is_same_v<T, Bytes>) {
      out_->push_back(json::binary({field.text.begin(), field.text.end()}));
    } else if constexpr (std::is_enum_v<T>) {
      out_->push_back(static_cast<std::uint64_t>(field));
    } else if constexpr (std::is_same_v<T, std::vector<GrantView>>) {
      json list = json::array();
      for (auto& it : field) list.push_back(Nested(it));
      out_->push_back(std::move(list));
    } else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
      out_->push_back(field);
    } else {
      out_->push_back(Nested(field));
    }
  }

  template <class T>
  static json Nested(T& value) {
    json list = json::array();
    Fields(value, Writer(&list));
    return list;
  }

  json* out_;
};

class Reader {
 public:
  Reader(json& in, std::size_t first) : in_(in), next_(first) {}

  template <class... T>
  void operator()(T&... fields) {
    (Take(fields), ...);
    ok_ = ok_ && next_ == in_.size();
  }

  bool ok() const { return ok_; }

 private:
  template <class T>
  void Take(T& field) {
    if (!ok_ || next_ >= in_.size()) {
      ok_ = false;
      return;
    }
    json& value = in_[next_++];
    if constexpr (std::is_same_v<T, Bytes>) {
      ok_ = value.is_binary();
      if (ok_) field.text.assign(value.get_binary().begin(), value.get_binary().end());
    } else if constexpr (std::is_same_v<T, std::string>) {
      ok_ = value.is_string();
      if (ok_) field = std::move(value.get_ref<std::string&>());
    } else if constexpr (std::is_same_v<T, bool>) {
      ok_ = value.is_boolean();
      if (ok_) field = value.get<bool>();
    } else if constexpr (std::is_enum_v<T>) {
      ok_ = value.is_number_unsigned() && value.get<std::uint64_t>() < kEnumSize<T>;
      if (ok_) field = static_cast<T>(value.get<std::uint64_t>());
    } else if constexpr (std::is_signed_v<T>) {
      ok_ = value.is_number_integer();
      if (ok_) field = value.get<T>();
    } else if constexpr (std::is_unsigned_v<T>) {
      ok_ =
          value.is_number_unsigned() && value.get<std::uint64_t>() <= std::numeric_limits<T>::max();
      if (ok_) field = value.get<T>();
    } else if constexpr (std::is_same_v<T, std::vector<GrantView>>) {
      ok_ = value.is_array();
      for (std::size_t n = 0; ok_ && n < value.size(); ++n)
        TakeNested(value[n], &field.emplace_back());
    } else {
      TakeNested(value, &field);
    }
  }

  template <class T>
  void TakeNested(json& value, T* field) {
    if (!value.is_array()) {
      ok_ = false;
      return;
    }
    Reader reader(value, 0);
    Fields(*field, reader);
    ok_ = reader.ok();
  }

  json& in_;
  std::size_t next_;
  bool ok_ = true;
};

constexpr std::size_t kFrameTypes = std::variant_size_v<Frame>;

template <std::size_t N = 0>
Result<Frame, WireError> DecodeAs(std::size_t type, json& value) {
  if constexpr (N < kFrameTypes) {
    if (type != N) return DecodeAs<N + 1>(type, value);
    std::variant_alternative_t<N, Frame> frame;
    Reader reader(value, 1);
    Fields(frame, reader);
    if (!reader.ok()) return WireError::kBadShape;
    return Frame(std::move(frame));
  } else {
    return WireError::kUnknownType;
  }
}

}  // namespace

std::string_view RefusalName(RefusalCode code) { return kNames[static_cast<std::size_t>(code)]; }

std::string_view WireErrorName(WireError error) {
  switch (error) {
    case WireError::kTooLarge:
      return "too_large";
    case WireError::kNotCbor:
      return "not_cbor";
    case WireError::kBadShape:
      return "bad_shape";
    case WireError::kUnknownType:
      return "unknown_type";
  }
  return "unknown";
}

std::string EncodeFrame(const Frame& frame) {
  json value = json::array({frame.index()});
  // Fields() serves both directions and so takes a mutable frame; the writer only reads.
  std::visit([&value](auto& f) { Fields(f, Writer(&value)); }, const_cast<Frame&>(frame));
  std::string bytes;
  json::to_cbor(value, nlohmann::detail::output_adapter<char>(bytes));
  return bytes;
}

Result<Frame, WireError> DecodeFrame(std::string_view bytes) {
  if (bytes.size() > kMaxFrameBytes) return WireError::kTooLarge;
  if (!internal::HasLengths(bytes)) return WireError::kNotCbor;
  FlatBuilder builder(bytes.size());
  const bool is_whole =
      json::sax_parse(bytes.begin(), bytes.end(), &builder, json::input_format_t::cbor, true);
  if (!is_whole) return WireError::kNotCbor;
  json value = builder.Take();
  if (!value.is_array() || value.empty() || !value[0].is_number_unsigned()) {
    return WireError::kBadShape;
  }
  return DecodeAs(value[0].get<std::size_t>(), value);
}

}  // namespace junctionrail
