#include "junctionrail/checked_json.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>
#include <utility>

namespace junctionrail {
namespace {

using nlohmann::json;

constexpr std::size_t kMostShownOfValue = 60;
constexpr int kOnOneLine = -1;

// What stood in the document, short enough for one line.
std::string Shown(const json& value) {
  std::string text = DumpJson(value);
  if (text.size() > kMostShownOfValue) {
    text.resize(kMostShownOfValue);
    text += "...";
  }
  return std::string(value.type_name()) + " " + text;
}

std::string LineAndColumn(std::string_view text, std::size_t byte) {
  const std::size_t end = std::min(byte == 0 ? 0 : byte - 1, text.size());
  const auto head = text.substr(0, end);
  const auto line = 1 + std::count(head.begin(), head.end(), '\n');
  const std::size_t last = head.rfind('\n');
  const std::size_t column = last == std::string_view::npos ? end + 1 : end - last;
  return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

}  // namespace

std::string DumpJson(const json& value) {
  return value.dump(kOnOneLine, ' ', false, json::error_handler_t::replace);
}

std::string DocumentError::Sentence() const {
  return source + ": " + path + ": expected " + expected + ", found " + found;
}

Result<json, DocumentError> ParseJson(std::string_view text, std::string_view source) {
  try {
    return json::parse(text);
  } catch (const json::parse_error& e) {
    return DocumentError{std::string(source), LineAndColumn(text, e.byte), "well-formed JSON",
                         "a syntax error"};
  }
}

Result<json, DocumentError> ReadJsonFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) return DocumentError{file, "(file)", "a readable file", "none"};
  std::ostringstream buf;
  buf << in.rdbuf();
  return ParseJson(buf.str(), file);
}

ObjectReader::ObjectReader(const json& value, std::string source, std::string path)
    : value_(value), source_(std::move(source)), path_(std::move(path)) {
  if (value_.is_object()) return;
  error_ = DocumentError{source_, path_.empty() ? "(top)" : path_, "an object", Shown(value_)};
}

std::string ObjectReader::PathOf(std::string_view key) const {
  if (path_.empty()) return std::string(key);
  return path_ + "." + std::string(key);
}

void ObjectReader::Complain(const char* key, std::string expected, std::string found) {
  if (error_) return;
  error_ = DocumentError{source_, PathOf(key), std::move(expected), std::move(found)};
}

bool ObjectReader::Has(const char* key) const { return value_.is_object() && value_.contains(key); }

const json* ObjectReader::Take(const char* key, bool required, const char* expected) {
  taken_.emplace_back(key);
  if (Has(key)) return &value_.at(key);
  if (required) Complain(key, expected, "nothing");
  return nullptr;
}

std::string ObjectReader::String(const char* key, std::optional<std::string> fallback) {
  const json* found = Take(key, !fallback.has_value(), "a string");
  if (found == nullptr) return fallback.value_or("");
  if (found->is_string()) return found->get<std::string>();
  Complain(key, "a string", Shown(*found));
  return {};
}

std::int64_t ObjectReader::Integer(const char* key, std::int64_t low, std::int64_t high,
                                   std::optional<std::int64_t> fallback) {
  const std::string expected =
      "an integer from " + std::to_string(low) + " to " + std::to_string(high);
  const json* found = Take(key, !fallback.has_value(), expected.c_str());
  if (found == nullptr) return fallback.value_or(low);
  const bool fits = found->is_number_integer() &&
                    !(found->is_number_unsigned() &&
                      found->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX)) &&
                    found->get<std::int64_t>() >= low && found->get<std::int64_t>() <= high;
  if (fits) return found->get<std::int64_t>();
  Complain(key, expected, Shown(*found));
  return low;
}

double ObjectReader::Number(const char* key, double low, double high,
                            std::optional<double> fallback) {
  const std::string expected = "a number from " + json(low).dump() + " to " + json(high).dump();
  const json* found = Take(key, !fallback.has_value(), expected.c_str());
  if (found == nullptr) return fallback.value_or(low);
  if (found->is_number() && found->get<double>() >= low && found->get<double>() <= high) {
    return found->get<double>();
  }
  Complain(key, expected, Shown(*found));
  return low;
}

bool ObjectReader::Boolean(const char* key, bool fallback) {
  const json* found = Take(key, false, "true or false");
  if (found == nullptr) return fallback;
  if (found->is_boolean()) return found->get<bool>();
  Complain(key, "true or false", Shown(*found));
  return fallback;
}

std::size_t ObjectReader::Word(const char* key, const std::vector<std::string>& words,
                               std::optional<std::size_t> fallback) {
  std::string expected = "one of";
  for (const auto& it : words) expected += " \"" + it + "\"";
  const json* found = Take(key, !fallback.has_value(), expected.c_str());
  if (found == nullptr) return fallback.value_or(0);
  if (found->is_string()) {
    const auto it = std::find(words.begin(), words.end(), found->get<std::string>());
    if (it != words.end()) return static_cast<std::size_t>(it - words.begin());
  }
  Complain(key, expected, Shown(*found));
  return 0;
}

std::vector<std::string> ObjectReader::Strings(const char* key) {
  std::vector<std::string> all;
  const json* found = Take(key, false, "an array of strings");
  if (found == nullptr) return all;
  const bool fits = found->is_array() && std::all_of(found->begin(), found->end(),
                                                     [](const json& it) { return it.is_string(); });
  if (!fits) {
    Complain(key, "an array of strings", Shown(*found));
    return all;
  }
  for (const auto& it : *found) all.push_back(it.get<std::string>());
  return all;
}

void ObjectReader::Each(const char* key, const std::function<void(ObjectReader&)>& read) {
  const json* found = Take(key, false, "an array");
  if (found == nullptr) return;
  if (!found->is_array()) return Complain(key, "an array", Shown(*found));
  for (std::size_t n = 0; n < found->size(); ++n) {
    ObjectReader reader((*found)[n], source_, PathOf(key) + "[" + std::to_string(n) + "]");
    if (!reader.error_) read(reader);
    auto error = reader.Finish();
    if (error && !error_) error_ = std::move(error);
  }
}

std::map<std::string, std::string> ObjectReader::StringMap(const char* key) {
  std::map<std::string, std::string> map;
  Object(key, [&map](ObjectReader& reader) {
    for (const auto& [name, value] : reader.value_.items()) {
      map[name] = reader.String(name.c_str(), std::nullopt);
    }
  });
  return map;
}

void ObjectReader::Object(const char* key, const std::function<void(ObjectReader&)>& read) {
  const json* found = Take(key, false, "an object");
  if (found == nullptr) return;
  ObjectReader reader(*found, source_, PathOf(key));
  if (!reader.error_) read(reader);
  auto error = reader.Finish();
  if (error && !error_) error_ = std::move(error);
}

std::optional<DocumentError> ObjectReader::Finish() {
  if (error_ || !value_.is_object()) return error_;
  for (auto it = value_.begin(); it != value_.end(); ++it) {
    if (std::find(taken_.begin(), taken_.end(), it.key()) != taken_.end()) continue;
    Complain(it.key().c_str(), "no such key", "an unknown key");
    break;
  }
  return error_;
}

}  // namespace junctionrail
