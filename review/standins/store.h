// A stand-in for the platform's store, as PROTOCOL.md describes it: items with revisions, ranges,
// watches, leases and transactions.
#ifndef JUNCTIONRAIL_REVIEW_STORE_H_
#define JUNCTIONRAIL_REVIEW_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http.h"

namespace review {

class Store {
 public:
  explicit Store(const Address& address);

  // Writes of the operator and of workers. A value that is the same changes nothing.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

 private:
  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Change {
    std::string key;
    std::int64_t revision = 0;
  };
  struct Lease {
    std::int64_t ttl_ms = 0;
    std::int64_t ends_at = 0;
  };

  void Serve(Connection& connection);
  std::string Handle(const Message& request);
  std::string Key(const std::string& key);
  std::string Range(const std::string& prefix, const std::string& after);
  std::string Watch(const std::string& prefix, std::int64_t after, std::int64_t wait_ms);
  std::string Transact(const std::string& body);
  std::string KeepLease(std::int64_t lease);
  // The following are called with the lock held.
  void Write(const std::string& key, const std::string& value, std::int64_t lease);
  void Erase(const std::string& key);
  void EndLeases();
  nlohmann::json ToJson(const std::string& key, const Item& item) const;
  nlohmann::json ChangesAfter(const std::string& prefix, std::int64_t after) const;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Change> changes_;
  std::map<std::int64_t, Lease> leases_;
  std::int64_t revision_ = 100;
  std::int64_t last_lease_ = 0;
  std::unique_ptr<Server> server_;
};

}  // namespace review

#endif  // JUNCTIONRAIL_REVIEW_STORE_H_
