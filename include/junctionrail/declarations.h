// What operators declare: the models, adapters and versions that may run, the
// number of replicas each may have, and the plain services beside them. Also
// the change log those declarations travel in.
#ifndef JUNCTIONRAIL_DECLARATIONS_H_
#define JUNCTIONRAIL_DECLARATIONS_H_

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "junctionrail/base.h"
#include "junctionrail/checked_json.h"

namespace junctionrail {

// The service level the operators promise for one declared name.
struct Objectives {
  DurationMs first_token_ms = 1200;
  double first_token_share = 0.95;  // Of calls, in (0, 1].
  double availability = 0.999;      // Of calls, in (0, 1].
  DurationMs cold_start_ms = 10000;
};

// One model version or one adapter version. An adapter names its base.
struct ModelDeclaration {
  std::string name;
  std::string version;
  std::string base;  // `name@version` of the base; empty for a model.
  std::uint32_t replicas = 0;
  std::uint64_t memory_mb = 0;  // On one accelerator.
  bool is_default = false;      // Whether the bare name means this version.
  Objectives objectives;

  std::string Key() const { return name + "@" + version; }
  bool IsAdapter() const { return !base.empty(); }
};

// One plain service; its upstreams come from the platform's list.
struct ServiceDeclaration {
  std::string name;
  DurationMs idempotency_window_ms = 600000;
  Objectives objectives;

  std::string Key() const { return "services/" + name; }
};

// One accepted change. The unit of the log `config/log/<version>`.
struct ConfigChange {
  std::uint64_t version = 0;
  std::string change_id;
  std::string author;
  std::int64_t accepted_unix_ms = 0;
  std::vector<ModelDeclaration> models;
  std::vector<ServiceDeclaration> services;
  std::vector<std::string> deletions;  // Keys of models and services.
};

// What one change would do, by key.
struct ConfigDifference {
  std::vector<std::string> added;
  std::vector<std::string> changed;
  std::vector<std::string> removed;

  bool IsEmpty() const { return added.empty() && changed.empty() && removed.empty(); }
};

// The declarations in force at one version.
class Configuration {
 public:
  std::uint64_t version() const { return version_; }
  const std::map<std::string, ModelDeclaration, std::less<>>& models() const { return models_; }
  const std::map<std::string, ServiceDeclaration, std::less<>>& services() const {
    return services_;
  }

  // Applies the next change of the log. Returns false, and changes nothing,
  // when `change` is not exactly the next version.
  bool Apply(const ConfigChange& change);

  // The declaration that `name` or `name@version` means; null when none does.
  const ModelDeclaration* Resolve(std::string_view name) const;
  const ServiceDeclaration* FindService(std::string_view name) const;

  // Checks what one document cannot see alone: bases that exist, one default
  // a name. Returns a sentence, or nothing when all is well.
  std::optional<std::string> Inconsistency() const;

  // The change that turns this configuration into `wanted`, without version.
  ConfigChange ChangeTo(const Configuration& wanted) const;
  ConfigDifference DifferenceTo(const Configuration& wanted) const;

  // Adds or replaces, used while reading documents and snapshots.
  void Put(const ModelDeclaration& model) { models_[model.Key()] = model; }
  void Put(const ServiceDeclaration& service) { services_[service.Key()] = service; }
  void SetVersion(std::uint64_t version) { version_ = version; }

 private:
  std::uint64_t version_ = 0;
  std::map<std::string, ModelDeclaration, std::less<>> models_;
  std::map<std::string, ServiceDeclaration, std::less<>> services_;
};

// The objectives declared for a model's or a service's key; null for no key.
const Objectives* FindObjectives(const Configuration& configuration, std::string_view key);

// Adds one document's declarations to `configuration`. `source` is named in
// errors; a key declared twice is one.
std::optional<DocumentError> ReadDeclarations(const nlohmann::json& document,
                                              const std::string& source,
                                              Configuration* configuration);

// Reads every `*.json` file of a directory, in name order.
Result<Configuration, DocumentError> ReadDeclarationDirectory(const std::string& directory);

// The log's and the snapshot's JSON form.
std::string EncodeChange(const ConfigChange& change);
Result<ConfigChange, DocumentError> DecodeChange(std::string_view text, std::string_view source);
std::string EncodeConfiguration(const Configuration& configuration);
Result<Configuration, DocumentError> DecodeConfiguration(std::string_view text,
                                                         std::string_view source);

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_DECLARATIONS_H_
