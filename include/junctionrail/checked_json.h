// Reading JSON that people wrote: every complaint names the source, the JSON
// path, what was expected and what was found. Used for settings and
// declarations, so both speak with one voice.
#ifndef JUNCTIONRAIL_CHECKED_JSON_H_
#define JUNCTIONRAIL_CHECKED_JSON_H_

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "junctionrail/base.h"

namespace junctionrail {

// Why a document was not accepted. `Sentence` is one line for a person.
struct DocumentError {
  std::string source;    // File name, or what else names the document.
  std::string path;      // JSON path such as `models[3].replicas`, or a line.
  std::string expected;  // What would have been accepted.
  std::string found;     // What stood there.

  std::string Sentence() const;
};

// Parses a file. A syntax error names its line and column.
Result<nlohmann::json, DocumentError> ReadJsonFile(const std::string& file);

// Parses text; `source` is named in errors.
Result<nlohmann::json, DocumentError> ParseJson(std::string_view text, std::string_view source);

// The value on one line. Bytes that are not UTF-8 are replaced, which dump() would throw for.
std::string DumpJson(const nlohmann::json& value);

// Reads one JSON object field by field. The first complaint is kept and later
// reads return defaults, so a caller checks once, with Finish().
class ObjectReader {
 public:
  ObjectReader(const nlohmann::json& value, std::string source, std::string path);

  std::string String(const char* key, std::optional<std::string> fallback);
  std::int64_t Integer(const char* key, std::int64_t low, std::int64_t high,
                       std::optional<std::int64_t> fallback);
  double Number(const char* key, double low, double high, std::optional<double> fallback);
  bool Boolean(const char* key, bool fallback);

  // One of `words`; returns its index.
  std::size_t Word(const char* key, const std::vector<std::string>& words,
                   std::optional<std::size_t> fallback);

  // The array of strings at `key`; absent is empty.
  std::vector<std::string> Strings(const char* key);

  // The object at `key`, all of whose values are strings; absent is empty.
  std::map<std::string, std::string> StringMap(const char* key);

  // Calls `read` for each element of the array at `key`; absent is empty.
  void Each(const char* key, const std::function<void(ObjectReader&)>& read);

  // Calls `read` with the object at `key` when there is one.
  void Object(const char* key, const std::function<void(ObjectReader&)>& read);

  bool Has(const char* key) const;

  // Records a complaint about `key` that the caller found itself.
  void Complain(const char* key, std::string expected, std::string found);

  // Complains of keys nobody read, then returns the first complaint if any.
  std::optional<DocumentError> Finish();

 private:
  const nlohmann::json* Take(const char* key, bool required, const char* expected);
  std::string PathOf(std::string_view key) const;

  const nlohmann::json& value_;
  std::string source_;
  std::string path_;
  std::vector<std::string> taken_;
  std::optional<DocumentError> error_;
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_CHECKED_JSON_H_
