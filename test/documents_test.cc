// What people write: settings and declarations, and the complaints they get.
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "check.h"
#include "junctionrail/declarations.h"
#include "junctionrail/settings.h"

namespace junctionrail {
namespace {

// A settings file of an entry, with one piece of text replaced.
std::string ComplaintAbout(const std::string& from, const std::string& to) {
  std::string text = R"({
  "role": "entry", "id": "entry-1", "incarnation": "1", "data_hall": "a",
  "kv": ["127.0.0.1:2379"], "vm_list": "127.0.0.1:80",
  "entry": {"http": "127.0.0.1:8080", "rpc": "127.0.0.1:7000"}
})";
  const std::size_t at = text.find(from);
  if (!from.empty()) text.replace(at, from.size(), to);
  std::string file = "/tmp/junctionrail-settings-XXXXXX";
  close(mkstemp(file.data()));
  std::ofstream(file) << text;
  const auto settings = ReadSettings(file);
  std::remove(file.c_str());
  if (settings) return "";
  const std::string sentence = settings.error().Sentence();
  return sentence.substr(sentence.find(": ") + 2);  // Without the file's random name.
}

std::string DeclarationComplaint(const std::string& text) {
  const auto document = ParseJson(text, "doc");
  if (!document) return document.error().Sentence();
  Configuration configuration;
  const auto error = ReadDeclarations(document.value(), "doc", &configuration);
  if (error) return error->Sentence();
  return configuration.Inconsistency().value_or("");
}

ModelDeclaration Model(const std::string& name, const std::string& version) {
  ModelDeclaration model;
  model.name = name;
  model.version = version;
  model.replicas = 1;
  model.memory_mb = 100;
  return model;
}

}  // namespace

TEST_GROUP(Settings){};

TEST(Settings, AcceptsAWholeEntry) {
  EXPECT_TEXT("", ComplaintAbout("", ""), "a well-formed file must be accepted");
}

TEST(Settings, NamesAnUnknownKey) {
  EXPECT_TEXT("datahall: expected no such key, found an unknown key",
              ComplaintAbout("\"role\"", "\"datahall\": 1, \"role\""), "see ObjectReader::Finish");
}

TEST(Settings, NamesTheTypeFound) {
  EXPECT_TEXT("id: expected a string, found number 5", ComplaintAbout("\"entry-1\"", "5"),
              "see ObjectReader::String");
}

TEST(Settings, NamesAValueOutOfRange) {
  EXPECT_TEXT("entry.max_body_bytes: expected an integer from 1 to 67108864, found number 0",
              ComplaintAbout("\"rpc\"", "\"max_body_bytes\": 0, \"rpc\""),
              "see ObjectReader::Integer");
}

TEST(Settings, RefusesAHostName) {
  EXPECT_TEXT(
      "entry.http: expected an IP number and a port such as \"127.0.0.1:8080\", found "
      "\"localhost:8080\"",
      ComplaintAbout("127.0.0.1:8080", "localhost:8080"), "see ParseEndpoint");
}

TEST(Settings, NamesALineOfBrokenJson) {
  EXPECT_TEXT("line 2, column 11: expected well-formed JSON, found a syntax error",
              ComplaintAbout("\"role\": \"entry\"", "\"role\": ]"), "see ParseJson");
}

TEST(Settings, NamesAMissingSection) {
  EXPECT_TEXT("agent: expected an object, as the role is \"agent\", found nothing",
              ComplaintAbout("\"role\": \"entry\"", "\"role\": \"agent\""), "see ReadSettings");
}

TEST(Settings, NamesAMissingFile) {
  const auto settings = ReadSettings("/no/such/file.json");
  EXPECT_TRUE(!settings, "a missing file is no settings");
  EXPECT_TEXT("/no/such/file.json: (file): expected a readable file, found none",
              settings.error().Sentence(), "see ReadJsonFile");
}

TEST_GROUP(Declarations){};

TEST(Declarations, NameTheElementThatIsWrong) {
  EXPECT_TEXT("doc: models[1].replicas: expected an integer from 0 to 10000, found number -1",
              DeclarationComplaint(R"({"models": [
                {"name": "a", "version": "1", "replicas": 1, "memory_mb": 1},
                {"name": "b", "version": "1", "replicas": -1, "memory_mb": 1}]})"),
              "the path must lead to the element");
}

TEST(Declarations, RefuseAKeyTwice) {
  EXPECT_TEXT("doc: models[1].name: expected each key declared once, found \"a@1\" again",
              DeclarationComplaint(R"({"models": [
                {"name": "a", "version": "1", "replicas": 1, "memory_mb": 1},
                {"name": "a", "version": "1", "replicas": 2, "memory_mb": 1}]})"),
              "see ReadDeclarations");
}

TEST(Declarations, RefuseAnAdapterWithoutItsBase) {
  EXPECT_TEXT("x@1: base \"a@1\" is not declared", DeclarationComplaint(R"({"adapters": [
                {"name": "x", "version": "1", "base": "a@1", "replicas": 1, "memory_mb": 1}]})"),
              "see Configuration::Inconsistency");
}

TEST(Declarations, ResolveABareNameToItsDefault) {
  Configuration configuration;
  configuration.Put(Model("a", "1"));
  EXPECT_TEXT("a@1", configuration.Resolve("a")->Key(), "one version needs no default");
  ModelDeclaration second = Model("a", "2");
  configuration.Put(second);
  EXPECT_TRUE(configuration.Resolve("a") == nullptr,
              "two versions without a default are ambiguous");
  second.is_default = true;
  configuration.Put(second);
  EXPECT_TEXT("a@2", configuration.Resolve("a")->Key(), "the default is meant");
  EXPECT_TEXT("a@1", configuration.Resolve("a@1")->Key(), "a version may always be named");
}

TEST(Declarations, ApplyOnlyTheNextVersion) {
  Configuration configuration;
  ConfigChange change;
  change.version = 2;
  EXPECT_TRUE(!configuration.Apply(change), "a gap in the log must not be applied");
  change.version = 1;
  change.models.push_back(Model("a", "1"));
  EXPECT_TRUE(configuration.Apply(change), "the next version applies");
  EXPECT_TRUE(!configuration.Apply(change), "a version applies once");
  EXPECT_NUMBER(1, configuration.version(), "the version must not move on a refusal");
}

TEST(Declarations, SurviveTheLogAndTheSnapshot) {
  ConfigChange change;
  change.version = 1;
  change.change_id = "c";
  ModelDeclaration model = Model("a", "1");
  model.objectives.first_token_share = 0.9;
  change.models.push_back(model);
  change.services.push_back(ServiceDeclaration{"api", 5000, {}});
  change.deletions = {"b@1"};
  const auto decoded = DecodeChange(EncodeChange(change), "log");
  EXPECT_TRUE(static_cast<bool>(decoded), "what EncodeChange wrote must be readable");
  EXPECT_TEXT(EncodeChange(change), EncodeChange(decoded.value()), "nothing may be lost");
  Configuration configuration;
  configuration.Apply(change);
  const auto snapshot = DecodeConfiguration(EncodeConfiguration(configuration), "snapshot");
  EXPECT_TRUE(static_cast<bool>(snapshot), "what EncodeConfiguration wrote must be readable");
  EXPECT_TRUE(configuration.DifferenceTo(snapshot.value()).IsEmpty(), "nothing may be lost");
}

}  // namespace junctionrail
