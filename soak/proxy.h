// A loopback proxy that harms the connections through it from outside.
#ifndef JUNCTIONRAIL_SOAK_PROXY_H_
#define JUNCTIONRAIL_SOAK_PROXY_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "junctionrail/settings.h"
#include "network.h"

namespace junctionrail::soak {

enum class PathState {
  kOpen,
  kSlow,    // Bytes come late, both ways.
  kSilent,  // Nothing passes, either way; connections stay open.
  kOneWay,  // Nothing comes back.
};

class Proxy {
 public:
  // Listens at `listen` (port 0: any) and connects to what `target` names then. Without a `way`
  // both ends are in one region.
  Proxy(boost::asio::io_context& io, const Endpoint& listen, std::function<Endpoint()> target,
        Way way = {});
  ~Proxy();

  Endpoint endpoint() const;
  void Set(PathState state);
  bool is_open() const;
  // Resets every connection through it.
  void Reset();
  // Nothing passes on the present connections any more; new ones work.
  void SilenceOpen();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace junctionrail::soak

#endif  // JUNCTIONRAIL_SOAK_PROXY_H_
