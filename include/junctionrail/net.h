// Sockets behind small interfaces: an HTTP/1.1 server and client (Boost.Beast)
// and the WebSocket links between entries and agents (websocketpp). All of it
// runs on one io_context and calls back on its thread.
#ifndef JUNCTIONRAIL_NET_H_
#define JUNCTIONRAIL_NET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "junctionrail/base.h"
#include "junctionrail/settings.h"

namespace boost::asio {
class io_context;
}

namespace junctionrail {

// Why a socket could not be used.
struct NetError {
  std::string sentence;
};

struct HttpHeader {
  std::string name;
  std::string value;
};

// Whether a response may have this status (RFC 9110, section 15). What has another one is no
// response, and nothing can be concluded from it.
constexpr bool IsHttpStatus(unsigned status) { return status >= 100 && status <= 599; }

struct HttpRequest {
  std::string method;
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;

  // The value of a header, compared without case; null when absent.
  const std::string* Find(std::string_view name) const;
};

// The way to answer one request. Exactly one of Whole, or Begin followed by
// pieces and then End or Break, is called; calls after the connection has gone
// do nothing.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;
  virtual void Whole(unsigned status, std::vector<HttpHeader> headers, std::string body) = 0;
  virtual void Begin(unsigned status, std::vector<HttpHeader> headers) = 0;
  virtual void Piece(std::string data) = 0;
  virtual void End() = 0;
  // Closes the connection without the last chunk, so that the client sees a
  // broken answer.
  virtual void Break() = 0;
  // Calls `gone` once if the client goes away before the answer is complete.
  virtual void OnGone(std::function<void()> gone) = 0;
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

// Accounts for the bytes that clients make a process hold: requests that are received, that wait or
// are in flight, input that is not read yet, and responses that clients do not read. If there is no
// room for more, it chooses the client that gives way. Free of I/O.
class ClientMemory : public std::enable_shared_from_this<ClientMemory> {
 public:
  struct Limits {
    std::size_t total_bytes = 40'000'000;
    // A single request of this size finds room, whatever the total.
    std::size_t largest_request_bytes = 0;
  };
  // Called when a client has to give way. What it held is no longer counted.
  using EvictCallback = std::function<void()>;

  // What one client holds. Gives it back at its end. An empty one is not counted.
  class Reservation {
   public:
    Reservation() = default;
    Reservation(Reservation&& other) noexcept;
    Reservation& operator=(Reservation&& other) noexcept;
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;
    ~Reservation();

    // Returns false, and changes nothing, if there is no room for so much. May evict others.
    bool Resize(std::size_t bytes, TimeMs now);
    // Whether it may have to give way.
    void SetEvictable(bool is_evictable);

   private:
    friend class ClientMemory;
    Reservation(std::shared_ptr<ClientMemory> memory, std::uint64_t id);

    std::shared_ptr<ClientMemory> memory_;
    std::uint64_t id_ = 0;
  };

  explicit ClientMemory(Limits limits) : limits_(limits) {}

  // Of nothing, and not evictable.
  Reservation Reserve(EvictCallback evict, TimeMs now);
  // Returns whether such a request fits into the total.
  bool SetLargestRequest(std::size_t bytes);

  std::size_t held_bytes() const { return held_bytes_; }
  std::size_t total_bytes() const;
  // Clients that gave way to others, and those that found no room.
  std::uint64_t evictions() const { return evictions_; }
  std::uint64_t refusals() const { return refusals_; }

 private:
  struct Client {
    EvictCallback evict;
    bool is_evictable = false;
    std::size_t bytes = 0;
    std::size_t bytes_at_progress = 0;
    TimeMs progressed_at = 0;
  };
  using Clients = std::map<std::uint64_t, Client>;

  bool Resize(std::uint64_t id, std::size_t bytes, TimeMs now);
  // Evicts others until it fits. Returns false if it does not.
  bool MakeRoom(const Client& client, std::size_t bytes, TimeMs now);
  void Remove(std::uint64_t id);
  void SetBytes(Client* client, std::size_t bytes);
  bool Fits(const Client& client, std::size_t bytes) const;
  Clients::iterator FindVictim(const Client& client, std::size_t bytes, TimeMs now);
  std::size_t LargeLimit() const;

  Limits limits_;
  Clients clients_;
  std::uint64_t last_id_ = 0;
  std::size_t held_bytes_ = 0;
  std::size_t large_bytes_ = 0;  // Held by those that hold much.
  std::uint64_t evictions_ = 0;
  std::uint64_t refusals_ = 0;
};

struct HttpServerOptions {
  Endpoint endpoint;  // Port 0 takes any free port.
  std::uint64_t max_body_bytes = 1 << 20;
  std::uint32_t max_header_bytes = 16 << 10;
  std::uint64_t max_unsent_bytes = 16 << 20;  // Of one answer; a slower client is cut off.
  // At most so many connections; the one that was quiet for longest closes for another, unless its
  // request waits for an answer.
  std::size_t max_connections = 20000;
  std::shared_ptr<ClientMemory> client_memory;  // Of requests; null: without a bound on their sum.
  // If set, called when a limit on connections or memory is met, with a name for the log.
  std::function<void(std::string_view event)> on_limit;
};

struct HttpServerCounters {
  std::uint64_t bad_requests = 0;
  std::uint64_t memory_refusals = 0;  // There was no room for the request.
  std::uint64_t memory_closes = 0;    // Connections, for answers that were not read.
  std::uint64_t displaced_connections = 0;
  std::uint64_t refused_connections = 0;  // All others had a request that waits.
  std::uint64_t failed_accepts = 0;       // Mostly for lack of descriptors.
};

class HttpServer {
 public:
  HttpServer(boost::asio::io_context& io, HttpServerOptions options, HttpHandler handler);
  ~HttpServer();

  // Binds and starts to accept. Returns the port.
  Result<std::uint16_t, NetError> Listen();

  // Stops accepting and closes idle connections; answers under way go on.
  void Stop();

  const HttpServerCounters& counters() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// Whether a process listens at a port.
enum class PortState {
  kOpen,
  kRefused,  // Its VM says that none does.
  kSilent,   // No answer in time.
};
// One attempt to connect, which is closed at once.
void LookAtPort(boost::asio::io_context& io, const Endpoint& endpoint, DurationMs limit_ms,
                std::function<void(PortState)> done);

struct HttpCall {
  Endpoint endpoint;
  std::string method = "GET";
  std::string target = "/";
  std::vector<HttpHeader> headers;
  std::string body;
  DurationMs connect_ms = 1000;
  DurationMs quiet_ms = 60000;  // The longest silence after the call was sent.
  bool is_fresh = false;        // Never on a connection used before.
  bool closes_idle = false;     // Those kept for the endpoint may be dead: closed first.
  // The longest body; 0: without bound, for a stream that is taken as it arrives.
  std::uint64_t max_answer_bytes = 16 << 20;
};

// What becomes of a call: a head, pieces, then `done`; or `failed` at any point.
struct HttpCallbacks {
  std::function<void(unsigned status, const std::string& content_type)> head;
  // If set, each header of the answer, after `head`.
  std::function<void(const HttpHeader& header)> header;
  std::function<void(std::string data)> piece;
  std::function<void()> done;
  // `was_sent` is false only when not one byte of the call left this process.
  std::function<void(bool was_sent, const std::string& reason)> failed;
};

// Stops a call; no callback comes after Cancel.
class HttpCallHandle {
 public:
  virtual ~HttpCallHandle() = default;
  virtual void Cancel() = 0;
};

// Keeps connections open for reuse.
class HttpClient {
 public:
  explicit HttpClient(boost::asio::io_context& io);
  ~HttpClient();

  std::shared_ptr<HttpCallHandle> Start(HttpCall call, HttpCallbacks callbacks);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// A whole answer, for calls that need no stream. `status` 0 means none came.
struct HttpAnswer {
  unsigned status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
  bool was_sent = false;
  std::string reason;

  // The value of a header, compared without case; null when absent.
  const std::string* Find(std::string_view name) const;
};
std::shared_ptr<HttpCallHandle> FetchWhole(HttpClient& client, HttpCall call,
                                           std::function<void(HttpAnswer)> done);

// Calls back on the io_context's thread after a delay, or every so often.
class Timer {
 public:
  explicit Timer(boost::asio::io_context& io);
  ~Timer();
  void After(DurationMs delay, std::function<void()> call);
  void Every(DurationMs period, std::function<void()> call);
  void Cancel();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// Milliseconds on a clock that never goes back and that counts the time in which the VM was
// suspended, as others count it; and since 1970.
TimeMs MonotonicMs();
// For tests: what MonotonicMs returns; null for the clock itself.
void SetMonotonicSource(std::function<TimeMs()> source);
// How long the VM was suspended since the last call of this object. Timers do not count that
// time and are to be set anew after it.
class SuspensionWatch {
 public:
  SuspensionWatch();
  DurationMs TakeAwayMs();

 private:
  TimeMs counted_ms_ = 0;
  std::int64_t running_ms_ = 0;
};
std::int64_t UnixMs();

// The agent's end of the links.
struct LinkServerCallbacks {
  std::function<void(std::uint64_t link)> opened;
  std::function<void(std::uint64_t link, std::string_view bytes)> message;
  std::function<void(std::uint64_t link)> closed;
};
class LinkServer {
 public:
  LinkServer(boost::asio::io_context& io, LinkServerCallbacks callbacks);
  ~LinkServer();
  Result<std::uint16_t, NetError> Listen(const Endpoint& endpoint);
  void Send(std::uint64_t link, std::string bytes);
  void Close(std::uint64_t link, std::string_view reason);
  void Stop();
  std::size_t open_links() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// The entry's end: one link for each endpoint, opened by the first Send.
struct LinkClientCallbacks {
  std::function<void(const std::string& peer)> opened;
  std::function<void(const std::string& peer, std::string_view bytes)> message;
  // `was_open` is false when the link never opened; nothing was sent then.
  std::function<void(const std::string& peer, bool was_open)> closed;
};
class LinkClient {
 public:
  LinkClient(boost::asio::io_context& io, LinkClientCallbacks callbacks);
  ~LinkClient();
  // Sends on the link to `peer`, opening it at `endpoint` when there is none.
  void Send(const std::string& peer, const Endpoint& endpoint, std::string bytes);
  void Close(const std::string& peer, std::string_view reason);
  // Closes links that have carried nothing for `idle_ms` and are not busy.
  void CloseIdle(DurationMs idle_ms, const std::function<bool(const std::string&)>& is_busy);
  void Stop();
  std::size_t open_links() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace junctionrail

#endif  // JUNCTIONRAIL_NET_H_
