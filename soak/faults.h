// The faults of a run, drawn from its seed. Several may last at the same time.
#ifndef JUNCTIONRAIL_SOAK_FAULTS_H_
#define JUNCTIONRAIL_SOAK_FAULTS_H_

#include <fstream>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "crowd.h"
#include "site.h"

namespace junctionrail::soak {

class Faults {
 public:
  // Writes what it begins, and when, to `log_file`.
  Faults(Site& site, const std::string& log_file);

  // Begins one fault.
  void Begin();
  // Begins planned work, or what excuses no entry for losing a request beside it.
  void BeginPlanned();
  // When the current partition ends; 0: there is none.
  TimeMs partitioned_until() const { return partitioned_until_; }
  int partitions() const { return partitions_; }
  // Ends all faults and starts upstreams that are down.
  void Heal();

 private:
  struct Kind {
    const char* name;
    std::function<void()> begin;
  };
  void Begin(const Kind& kind);
  void HarmProcess(int signal);
  void PauseProcess();
  void Silence();
  void WorkBesideSilence();
  // The entry goes on with planned work and its callers' requests before it.
  void WorkAfterPause();
  void SendAndWork(Process& entry, const std::shared_ptr<Crowd>& crowd);
  void Work(Process& entry);
  void HarmPath(PathState state);
  void HarmConnections(void (Proxy::*harm)());
  void HarmStore();
  void ChangeConfiguration();
  void HarmUpstream();
  void LetLeaveBesidePausedAgents();
  void LimitUpstream();
  void MisguideUpstream();
  void Evacuate();
  void GiveBack(std::string hall, bool is_cold);
  void Partition();
  void SlowRegions();
  void WriteStrayKeys();
  void SpoilConfiguration();

  template <class T>
  T& Any(std::vector<std::unique_ptr<T>>& list) {
    return *list[random_() % list.size()];
  }
  Process& AnyEntry() {
    return *site_.entry_processes()[random_() % site_.entry_processes().size()];
  }
  Path& AnyPath() { return site_.paths[random_() % site_.paths.size()]; }
  DurationMs Between(int low, int high) {
    return low + static_cast<DurationMs>(random_() % static_cast<std::uint64_t>(high - low));
  }
  void Later(DurationMs delay, std::function<void()> call);

  Site& site_;
  Random& random_;
  std::ofstream log_;
  std::vector<Kind> planned_kinds_;
  std::vector<Kind> kinds_;
  // In some runs one departure beside paused agents is followed by a time without other faults, as
  // what entries owe to an upstream that leaves is checked only for those without a fault.
  bool has_quiet_departure_;
  TimeMs quiet_until_ = 0;
  std::set<std::string> evacuated_;
  TimeMs partitioned_until_ = 0;
  int partitions_ = 0;
  int stray_keys_ = 0;
  int crowds_ = 0;
};

}  // namespace junctionrail::soak

#endif  // JUNCTIONRAIL_SOAK_FAULTS_H_
