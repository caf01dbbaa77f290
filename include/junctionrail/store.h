// Clients of the platform: the key-value service (the JSON form of the etcd v3
// API: POST /v3/kv/range, /v3/kv/txn, /v3/watch), what the system keeps in it,
// and the list of VMs.
#ifndef JUNCTIONRAIL_STORE_H_
#define JUNCTIONRAIL_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "junctionrail/base.h"
#include "junctionrail/declarations.h"
#include "junctionrail/net.h"
#include "junctionrail/platform_types.h"

namespace junctionrail {

enum class KvErrorCode {
  kUnavailable,  // The call did not reach the service.
  kUnknown,      // It may have; a write may or may not have taken effect.
  kMalformed,    // The answer is not the API's.
};

struct KvError {
  KvErrorCode code = KvErrorCode::kUnavailable;
  std::string sentence;
};

struct KvPair {
  std::string key;
  std::string value;
  std::int64_t mod_revision = 0;
};

struct KvRange {
  std::int64_t revision = 0;  // Of the whole service when it answered.
  std::vector<KvPair> pairs;
  bool has_more = false;
};

// The end of a compare-and-swap that reached a verdict.
struct KvSwap {
  bool is_written = false;
  std::int64_t revision = 0;      // Of the write, when written.
  std::optional<KvPair> current;  // What stood there, when not.
};

// One change a watch saw. A deletion has no value.
struct KvEvent {
  KvPair pair;
  bool is_deletion = false;
};

struct KvCounters {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t failures = 0;
};

class KvClient {
 public:
  KvClient(HttpClient& http, std::vector<Endpoint> endpoints);
  ~KvClient();

  using RangeDone = std::function<void(Result<KvRange, KvError>)>;
  using SwapDone = std::function<void(Result<KvSwap, KvError>)>;

  // Reads the keys from `key` up to `end`; an empty `end` reads one key.
  void Range(std::string_view key, std::string_view end, std::int64_t limit, RangeDone done);

  // Writes `value` if the key's last change is `expected`; 0 means absent.
  void Swap(std::string_view key, std::string_view value, std::int64_t expected, SwapDone done);

  // Reports every change of keys that begin with `prefix` after revision
  // `since`, until the returned handle is cancelled or `ended` is called. When
  // `must_read` the service no longer has the changes since then.
  std::shared_ptr<HttpCallHandle> Watch(std::string_view prefix, std::int64_t since,
                                        std::function<void(std::vector<KvEvent>)> changed,
                                        std::function<void(bool must_read)> ended);

  const KvCounters& counters() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// The first key after all that begin with `prefix`.
std::string PrefixEnd(std::string_view prefix);

// All keys begin with the root, so that one watch sees every change.
constexpr std::string_view kRootPrefix = "junctionrail/";
constexpr std::string_view kLogPrefix = "junctionrail/config/log/";
constexpr std::string_view kSnapshotKey = "junctionrail/config/snapshot";
constexpr std::string_view kGrantPrefix = "junctionrail/grants/";

// The log's key of a version, with enough digits that keys sort as versions do.
std::string LogKey(std::uint64_t version);
std::string GrantKey(std::string_view key);

// The configuration as it stands, and the revision to watch from.
struct StoredConfiguration {
  Configuration configuration;
  std::int64_t revision = 0;
};
using ConfigurationDone = std::function<void(Result<StoredConfiguration, KvError>)>;
void ReadStoredConfiguration(KvClient& kv, ConfigurationDone done);

// How an attempt to accept a change ended.
enum class AcceptOutcome { kAccepted, kConflict, kUnknown, kUnavailable };
using AcceptDone = std::function<void(AcceptOutcome)>;

// Creates `config/log/<version>`; the creation is the acceptance. An answer
// that was lost is settled by reading the key.
void AcceptChange(KvClient& kv, const ConfigChange& change, AcceptDone done);

// Rewrites the snapshot up to `configuration` unless a newer one stands there.
void CompactInto(KvClient& kv, const Configuration& configuration, std::function<void(bool)> done);

// The record a watch or a read found under a grant's key.
GrantRecord ToGrantRecord(const KvPair& pair);

// Every grant and the revision to watch from.
struct StoredGrants {
  std::vector<GrantRecord> records;
  std::int64_t revision = 0;
};
using GrantsDone = std::function<void(Result<StoredGrants, KvError>)>;
void ReadStoredGrants(KvClient& kv, GrantsDone done);

// Reads every grant as above, and first writes each that names this VM
// incarnation again as it stands: whatever an earlier process on this VM wrote
// about them and has not landed yet can then no longer land.
void TakeOverGrants(KvClient& kv, const std::string& vm, const std::string& incarnation,
                    GrantsDone done);

// The record of one key; a key that does not exist is an empty record.
using GrantDone = std::function<void(Result<GrantRecord, KvError>)>;
void ReadGrantRecord(KvClient& kv, const std::string& key, GrantDone done);

// Writes a record if its revision still stands. `is_written` false with a
// record is a conflict: the record is what stands there.
struct GrantWrite {
  bool is_written = false;
  GrantRecord record;
};
using GrantWriteDone = std::function<void(Result<GrantWrite, KvError>)>;
void WriteGrantRecord(KvClient& kv, GrantRecord record, GrantWriteDone done);

// Takes one slot out of a key's record, by its token, whoever else writes
// meanwhile. True only when the slot is known to be gone.
void FreeGrantSlot(KvClient& kv, const std::string& key, std::int64_t token,
                   std::function<void(bool)> done);

// Follows the platform's list of VMs by asking for what changed since the
// revision it has: GET /v1/vms?since=<revision>.
class VmListClient {
 public:
  VmListClient(boost::asio::io_context& io, HttpClient& http, Endpoint endpoint,
               std::function<void(const VmList&)> changed);
  ~VmListClient();
  void Start(DurationMs period_ms);
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_STORE_H_
