// Stand-in for the platform's list of VMs. GET /v1/vms?since=R answers with
// what changed after revision R, once the change is `--lag_ms` old. POST
// /v1/vms adds or changes one VM: {"vm": ..., "state": "live|leaving|gone"}.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdlib>
#include <fstream>
#include <map>

#include "standin_main.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Where to listen.");
ABSL_FLAG(std::string, vms, "", "A JSON file with an array of the first VMs.");
ABSL_FLAG(int, lag_ms, 0, "How old a change must be to show.");

namespace junctionrail::standin {
namespace {

using nlohmann::json;

struct Entry {
  json vm;
  std::int64_t revision = 0;
  TimeMs changed_at = 0;
};

class List {
 public:
  // Revisions must not fall when this process is started again.
  List() : revision_(UnixMs()) {}

  void Put(const json& vm, TimeMs at) {
    const std::string name = vm.value("vm", "");
    json merged = vms_[name].vm.is_object() ? vms_[name].vm : json::object();
    merged.update(vm);
    vms_[name] = Entry{std::move(merged), ++revision_, at};
  }

  // The newest revision such that it and all before it are old enough.
  std::int64_t ShownRevision(TimeMs now, DurationMs lag) const {
    std::int64_t shown = revision_;
    for (const auto& [name, it] : vms_) {
      if (it.changed_at + lag > now && it.revision <= shown) shown = it.revision - 1;
    }
    return shown;
  }

  json Since(std::int64_t since, TimeMs now, DurationMs lag) const {
    const std::int64_t shown = ShownRevision(now, lag);
    json vms = json::array();
    for (const auto& [name, it] : vms_) {
      if (it.revision > since && it.revision <= shown) vms.push_back(it.vm);
    }
    return {{"revision", std::max(shown, since)}, {"whole", false}, {"vms", std::move(vms)}};
  }

 private:
  std::map<std::string, Entry> vms_;
  std::int64_t revision_;
};

}  // namespace
}  // namespace junctionrail::standin

int main(int argc, char** argv) {
  using junctionrail::standin::Answer;
  absl::ParseCommandLine(argc, argv);
  junctionrail::standin::List list;
  const int lag = absl::GetFlag(FLAGS_lag_ms);
  const std::string file = absl::GetFlag(FLAGS_vms);
  if (!file.empty()) {
    std::ifstream in(file);
    const auto first = nlohmann::json::parse(in, nullptr, false);
    if (!first.is_array()) {
      std::fprintf(stderr, "%s: expected a JSON array of VMs\n", file.c_str());
      return 2;
    }
    for (const auto& it : first) list.Put(it, junctionrail::MonotonicMs() - lag);
  }
  boost::asio::io_context io(1);
  return junctionrail::standin::Serve(
      io, absl::GetFlag(FLAGS_listen),
      [&list, lag](const junctionrail::HttpRequest& request,
                   const std::shared_ptr<junctionrail::HttpResponder>& responder) {
        const auto now = junctionrail::MonotonicMs();
        if (request.method == "POST") {
          list.Put(junctionrail::standin::BodyOf(request), now);
          return Answer(*responder, 200, {{"ok", true}});
        }
        const std::size_t equals = request.target.rfind("since=");
        const std::int64_t since =
            equals == std::string::npos
                ? 0
                : std::strtoll(request.target.c_str() + equals + 6, nullptr, 10);
        Answer(*responder, 200, list.Since(since, now, lag));
      });
}
