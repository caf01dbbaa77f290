#include "junctionrail/declarations.h"

#include <algorithm>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <system_error>

namespace junctionrail {
namespace {

using nlohmann::json;

constexpr std::int64_t kMostReplicas = 10000;
constexpr std::int64_t kMostMemoryMb = 4 << 20;
constexpr std::int64_t kLongestMs = 24LL * 3600 * 1000;
constexpr std::size_t kLongestName = 128;

bool IsName(std::string_view text) {
  if (text.empty() || text.size() > kLongestName) return false;
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  });
}

void ReadName(ObjectReader& reader, const char* key, std::string* name) {
  *name = reader.String(key, std::nullopt);
  if (IsName(*name)) return;
  reader.Complain(key, "1 to 128 letters, digits, '-', '_' or '.'", "\"" + *name + "\"");
}

void ReadObjectives(ObjectReader& reader, Objectives* objectives) {
  reader.Object("objectives", [objectives](ObjectReader& r) {
    const Objectives fallback;
    objectives->first_token_ms =
        r.Integer("first_token_ms", 1, kLongestMs, fallback.first_token_ms);
    objectives->first_token_share =
        r.Number("first_token_share", 0.0001, 0.999999, fallback.first_token_share);
    objectives->availability = r.Number("availability", 0.0001, 0.999999, fallback.availability);
    objectives->cold_start_ms = r.Integer("cold_start_ms", 1, kLongestMs, fallback.cold_start_ms);
  });
}

ModelDeclaration ReadModel(ObjectReader& reader, bool is_adapter) {
  ModelDeclaration model;
  ReadName(reader, "name", &model.name);
  ReadName(reader, "version", &model.version);
  if (is_adapter) model.base = reader.String("base", std::nullopt);
  model.replicas =
      static_cast<std::uint32_t>(reader.Integer("replicas", 0, kMostReplicas, std::nullopt));
  model.memory_mb =
      static_cast<std::uint64_t>(reader.Integer("memory_mb", 1, kMostMemoryMb, std::nullopt));
  model.is_default = reader.Boolean("default", false);
  ReadObjectives(reader, &model.objectives);
  return model;
}

ServiceDeclaration ReadService(ObjectReader& reader) {
  ServiceDeclaration service;
  const ServiceDeclaration fallback;
  ReadName(reader, "name", &service.name);
  service.idempotency_window_ms =
      reader.Integer("idempotency_window_ms", 1000, kLongestMs, fallback.idempotency_window_ms);
  ReadObjectives(reader, &service.objectives);
  return service;
}

json ObjectivesToJson(const Objectives& objectives) {
  return {{"first_token_ms", objectives.first_token_ms},
          {"first_token_share", objectives.first_token_share},
          {"availability", objectives.availability},
          {"cold_start_ms", objectives.cold_start_ms}};
}

// Defaults are left out: at the designed size they would be half the snapshot.
void AddObjectives(const Objectives& objectives, json* value) {
  json all = ObjectivesToJson(objectives);
  const json defaults = ObjectivesToJson(Objectives());
  for (auto it = defaults.begin(); it != defaults.end(); ++it) {
    if (all[it.key()] == it.value()) all.erase(it.key());
  }
  if (!all.empty()) (*value)["objectives"] = std::move(all);
}

json ModelToJson(const ModelDeclaration& model) {
  json value = {{"name", model.name},
                {"version", model.version},
                {"replicas", model.replicas},
                {"memory_mb", model.memory_mb}};
  if (model.is_default) value["default"] = true;
  AddObjectives(model.objectives, &value);
  if (model.IsAdapter()) value["base"] = model.base;
  return value;
}

json ServiceToJson(const ServiceDeclaration& service) {
  json value = {{"name", service.name}, {"idempotency_window_ms", service.idempotency_window_ms}};
  AddObjectives(service.objectives, &value);
  return value;
}

// The three lists every form of declarations shares.
template <class Models, class Services>
json ListsToJson(const Models& models, const Services& services) {
  json value = {
      {"models", json::array()}, {"adapters", json::array()}, {"services", json::array()}};
  for (const auto* it : models)
    value[it->IsAdapter() ? "adapters" : "models"].push_back(ModelToJson(*it));
  for (const auto* it : services) value["services"].push_back(ServiceToJson(*it));
  return value;
}

// Reads the three lists and hands each declaration to `sink`.
template <class Sink>
void ReadLists(ObjectReader& reader, Sink sink) {
  reader.Each("models", [&](ObjectReader& r) { sink(r, ReadModel(r, false)); });
  reader.Each("adapters", [&](ObjectReader& r) { sink(r, ReadModel(r, true)); });
  reader.Each("services", [&](ObjectReader& r) { sink(r, ReadService(r)); });
}

template <class Table>
std::vector<const typename Table::mapped_type*> Pointers(const Table& table) {
  std::vector<const typename Table::mapped_type*> all;
  for (const auto& it : table) all.push_back(&it.second);
  return all;
}

template <class T>
std::vector<const T*> Pointers(const std::vector<T>& list) {
  std::vector<const T*> all;
  for (const auto& it : list) all.push_back(&it);
  return all;
}

// Compares two tables key by key on their JSON form.
template <class Table, class ToJson>
void Compare(const Table& now, const Table& wanted, ToJson to_json, ConfigDifference* difference) {
  for (const auto& it : wanted) {
    const auto old = now.find(it.first);
    if (old == now.end()) {
      difference->added.push_back(it.first);
    } else if (to_json(old->second) != to_json(it.second)) {
      difference->changed.push_back(it.first);
    }
  }
  for (const auto& it : now) {
    if (wanted.find(it.first) == wanted.end()) difference->removed.push_back(it.first);
  }
}

}  // namespace

bool Configuration::Apply(const ConfigChange& change) {
  if (change.version != version_ + 1) return false;
  for (const auto& it : change.deletions) {
    models_.erase(it);
    services_.erase(it);
  }
  for (const auto& it : change.models) Put(it);
  for (const auto& it : change.services) Put(it);
  CheckInvariant(change.version > version_, "an applied configuration version never falls");
  version_ = change.version;
  return true;
}

const ModelDeclaration* Configuration::Resolve(std::string_view name) const {
  const auto exact = models_.find(name);
  if (exact != models_.end()) return &exact->second;
  // Keys of one name are neighbours: `name@...`.
  const std::string prefix = std::string(name) + "@";
  const ModelDeclaration* only = nullptr;
  std::size_t n = 0;
  for (auto it = models_.lower_bound(prefix); it != models_.end(); ++it) {
    if (it->first.compare(0, prefix.size(), prefix) != 0) break;
    if (it->second.is_default) return &it->second;
    only = &it->second;
    ++n;
  }
  return n == 1 ? only : nullptr;
}

const ServiceDeclaration* Configuration::FindService(std::string_view name) const {
  const auto it = services_.find("services/" + std::string(name));
  return it == services_.end() ? nullptr : &it->second;
}

const Objectives* FindObjectives(const Configuration& configuration, std::string_view key) {
  const auto model = configuration.models().find(key);
  if (model != configuration.models().end()) return &model->second.objectives;
  const auto service = configuration.services().find(key);
  return service == configuration.services().end() ? nullptr : &service->second.objectives;
}

std::optional<std::string> Configuration::Inconsistency() const {
  std::map<std::string, std::string> defaults;
  for (const auto& [key, model] : models_) {
    if (model.IsAdapter()) {
      const auto base = models_.find(model.base);
      if (base == models_.end()) return key + ": base \"" + model.base + "\" is not declared";
      if (base->second.IsAdapter()) return key + ": base \"" + model.base + "\" is an adapter";
    }
    if (!model.is_default) continue;
    const auto [it, fresh] = defaults.emplace(model.name, key);
    if (!fresh) return key + ": the default of \"" + model.name + "\" is already " + it->second;
  }
  return std::nullopt;
}

ConfigDifference Configuration::DifferenceTo(const Configuration& wanted) const {
  ConfigDifference difference;
  Compare(models_, wanted.models_, ModelToJson, &difference);
  Compare(services_, wanted.services_, ServiceToJson, &difference);
  return difference;
}

ConfigChange Configuration::ChangeTo(const Configuration& wanted) const {
  const ConfigDifference difference = DifferenceTo(wanted);
  ConfigChange change;
  change.deletions = difference.removed;
  const auto take = [&](const std::vector<std::string>& keys) {
    for (const auto& it : keys) {
      const auto model = wanted.models_.find(it);
      if (model != wanted.models_.end()) change.models.push_back(model->second);
      const auto service = wanted.services_.find(it);
      if (service != wanted.services_.end()) change.services.push_back(service->second);
    }
  };
  take(difference.added);
  take(difference.changed);
  return change;
}

std::optional<DocumentError> ReadDeclarations(const json& document, const std::string& source,
                                              Configuration* configuration) {
  ObjectReader reader(document, source, "");
  ReadLists(reader, [configuration](ObjectReader& r, const auto& declaration) {
    const std::string key = declaration.Key();
    const bool twice =
        configuration->models().count(key) + configuration->services().count(key) > 0;
    if (twice) r.Complain("name", "each key declared once", "\"" + key + "\" again");
    configuration->Put(declaration);
  });
  return reader.Finish();
}

Result<Configuration, DocumentError> ReadDeclarationDirectory(const std::string& directory) {
  namespace fs = std::filesystem;
  std::error_code ec;
  std::vector<std::string> files;
  for (fs::directory_iterator it(directory, ec), end; !ec && it != end; it.increment(ec)) {
    if (it->path().extension() == ".json") files.push_back(it->path().string());
  }
  if (ec) return DocumentError{directory, "(directory)", "a readable directory", ec.message()};
  if (files.empty())
    return DocumentError{directory, "(directory)", "at least one .json file", "none"};
  std::sort(files.begin(), files.end());
  Configuration configuration;
  for (const auto& it : files) {
    const auto document = ReadJsonFile(it);
    if (!document) return document.error();
    const auto error = ReadDeclarations(document.value(), it, &configuration);
    if (error) return *error;
  }
  const auto wrong = configuration.Inconsistency();
  if (wrong)
    return DocumentError{directory, "(all files together)", "consistent declarations", *wrong};
  return configuration;
}

std::string EncodeChange(const ConfigChange& change) {
  json value = ListsToJson(Pointers(change.models), Pointers(change.services));
  value["version"] = change.version;
  value["change_id"] = change.change_id;
  value["author"] = change.author;
  value["accepted_unix_ms"] = change.accepted_unix_ms;
  value["deletions"] = change.deletions;
  return DumpJson(value);
}

Result<ConfigChange, DocumentError> DecodeChange(std::string_view text, std::string_view source) {
  const auto document = ParseJson(text, source);
  if (!document) return document.error();
  ConfigChange change;
  ObjectReader reader(document.value(), std::string(source), "");
  change.version =
      static_cast<std::uint64_t>(reader.Integer("version", 0, INT64_MAX, std::nullopt));
  change.change_id = reader.String("change_id", std::nullopt);
  change.author = reader.String("author", "");
  change.accepted_unix_ms = reader.Integer("accepted_unix_ms", 0, INT64_MAX, 0);
  ReadLists(reader, [&change](ObjectReader&, const auto& declaration) {
    if constexpr (std::is_same_v<std::decay_t<decltype(declaration)>, ModelDeclaration>) {
      change.models.push_back(declaration);
    } else {
      change.services.push_back(declaration);
    }
  });
  change.deletions = reader.Strings("deletions");
  const auto error = reader.Finish();
  if (error) return *error;
  return change;
}

std::string EncodeConfiguration(const Configuration& configuration) {
  json value = ListsToJson(Pointers(configuration.models()), Pointers(configuration.services()));
  value["version"] = configuration.version();
  return value.dump();
}

Result<Configuration, DocumentError> DecodeConfiguration(std::string_view text,
                                                         std::string_view source) {
  const auto document = ParseJson(text, source);
  if (!document) return document.error();
  Configuration configuration;
  ObjectReader reader(document.value(), std::string(source), "");
  configuration.SetVersion(
      static_cast<std::uint64_t>(reader.Integer("version", 0, INT64_MAX, std::nullopt)));
  ReadLists(reader, [&configuration](ObjectReader&, const auto& it) { configuration.Put(it); });
  const auto error = reader.Finish();
  if (error) return *error;
  return configuration;
}

}  // namespace junctionrail
