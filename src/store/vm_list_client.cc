#include <boost/asio/io_context.hpp>
#include <utility>

#include "junctionrail/store.h"

namespace junctionrail {
namespace {

constexpr DurationMs kCallMs = 2000;
constexpr DurationMs kFirstPeriodMs = 100;
constexpr unsigned kOk = 200;

}  // namespace

class VmListClient::Impl : public std::enable_shared_from_this<VmListClient::Impl> {
 public:
  Impl(boost::asio::io_context& io, HttpClient& http, Endpoint endpoint,
       std::function<void(const VmList&)> changed)
      : timer_(io), http_(http), endpoint_(std::move(endpoint)), changed_(std::move(changed)) {}

  void Poll() {
    if (is_asking_) return;
    is_asking_ = true;
    HttpCall call;
    call.endpoint = endpoint_;
    call.target = "/v1/vms?since=" + std::to_string(list_.revision);
    call.connect_ms = kCallMs;
    call.quiet_ms = kCallMs;
    call_ =
        FetchWhole(http_, std::move(call), [self = shared_from_this()](const HttpAnswer& answer) {
          self->is_asking_ = false;
          if (answer.status != kOk) return;
          const std::int64_t before = self->list_.revision;
          const bool is_first = !self->has_list_;
          if (!MergeVmList(answer.body, &self->list_)) return;
          self->has_list_ = true;
          if (is_first || self->list_.revision > before) self->changed_(self->list_);
        });
  }

  Timer timer_;
  HttpClient& http_;
  Endpoint endpoint_;
  std::function<void(const VmList&)> changed_;
  std::shared_ptr<HttpCallHandle> call_;
  VmList list_;
  bool has_list_ = false;
  bool is_asking_ = false;
};

VmListClient::VmListClient(boost::asio::io_context& io, HttpClient& http, Endpoint endpoint,
                           std::function<void(const VmList&)> changed)
    : impl_(std::make_shared<Impl>(io, http, std::move(endpoint), std::move(changed))) {}
VmListClient::~VmListClient() { Stop(); }

// Asks often until there is a first list: little can be decided without one.
void VmListClient::Start(DurationMs period_ms) {
  impl_->Poll();
  impl_->timer_.Every(kFirstPeriodMs, [impl = impl_, period_ms] {
    if (!impl->has_list_) return impl->Poll();
    impl->timer_.Cancel();
    impl->timer_.Every(period_ms, [impl] { impl->Poll(); });
  });
}

void VmListClient::Stop() {
  impl_->timer_.Cancel();
  if (impl_->call_) impl_->call_->Cancel();
}

}  // namespace junctionrail
