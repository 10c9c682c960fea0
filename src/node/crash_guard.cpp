#include "node/crash_guard.h"

#include "cassiashed/base/event_log.h"
#include "http/client.h"
#include "node/load_report.h"
#include <algorithm>
#include <map>
#include <mutex>

namespace cassiashed {
namespace {

using http::Task;
using routing::QuarantineNotice;
using routing::QuarantineVerdict;

constexpr Duration JudgePause = std::chrono::milliseconds(50);
constexpr Duration ProbeTimeout = std::chrono::milliseconds(500);

/// Reads the incarnation of an endpoint; nothing if it does not answer.
Task<std::optional<std::uint64_t>> probeIncarnation(http::Address Engine) {
  http::Request Query;
  Query.Method = "GET";
  Query.Target = "/v1/load";
  const std::optional<http::Response> Reply =
      co_await http::fetch(std::move(Engine), std::move(Query), ProbeTimeout);
  if (!Reply || Reply->Status != 200)
    co_return std::nullopt;
  const auto Report = parseLoadReport(Reply->Body, TimePoint{});
  if (!Report)
    co_return std::nullopt;
  co_return Report->Incarnation;
}

class CrashGuardImpl final : public CrashGuard {
public:
  void configure(const ConfigInForce &Config) override {
    std::unordered_map<std::string, std::size_t> Sizes;
    for (const EndpointConfig &Endpoint : Config.content().Endpoints)
      if (Endpoint.Kind == EndpointKind::Model)
        ++Sizes[Endpoint.Zone];
    const std::lock_guard Lock(Mutex_);
    Quarantine_.setZoneSizes(std::move(Sizes));
  }

  void setSender(NoticeSender Send) override { Send_ = std::move(Send); }

  Task<std::optional<Error>> admit(std::string Content,
                                   TimePoint Deadline) override {
    while (true) {
      switch (judge(Content)) {
      case Decision::Run:
        co_return std::nullopt;
      case Decision::Refuse:
        co_return Error{ErrorKind::Quarantined};
      case Decision::Wait:
        break;
      }
      if (Clock_.now() + JudgePause >= Deadline)
        co_return Error{ErrorKind::DeadlineExceeded,
                        "the content is suspected of crashing endpoints",
                        Ran::NotRun};
      co_await http::sleepFor(JudgePause);
    }
  }

  void abandon(const std::string &Content) override {
    const std::lock_guard Lock(Mutex_);
    Quarantine_.endIsolatedRun(Content, false);
  }

  void begin(const RunningAt &Place, const std::string &Content) override {
    const std::lock_guard Lock(Mutex_);
    ++InFlight_[{Place.Endpoint, Place.Incarnation}][Content];
  }

  void end(const RunningAt &Place, const std::string &Content,
           bool Completed) override {
    const std::lock_guard Lock(Mutex_);
    const auto Found = InFlight_.find({Place.Endpoint, Place.Incarnation});
    if (Found != InFlight_.end() && --Found->second[Content] == 0) {
      Found->second.erase(Content);
      if (Found->second.empty())
        InFlight_.erase(Found);
    }
    Quarantine_.endIsolatedRun(Content, Completed);
  }

  std::vector<std::string> zonesToAvoid(const std::string &Content) override {
    const std::lock_guard Lock(Mutex_);
    return Quarantine_.crashZones(Content);
  }

  Task<void> investigate(RunningAt Place) override {
    http::Address Engine = Place.Address;
    const std::optional<std::uint64_t> Alive =
        co_await probeIncarnation(std::move(Engine));
    if (Alive && *Alive == Place.Incarnation)
      co_return;
    std::vector<QuarantineNotice> Notices = recordDeath(Place);
    // The other nodes learn of the suspicion before the caller can repeat the
    // request there.
    if (Send_ && !Notices.empty())
      co_await Send_(std::move(Notices));
  }

  void merge(const QuarantineNotice &Notice) override {
    const std::lock_guard Lock(Mutex_);
    Quarantine_.merge(Notice, Clock_.now());
  }

  std::vector<std::string> quarantined() override {
    const std::lock_guard Lock(Mutex_);
    return Quarantine_.quarantined(Clock_.now());
  }

  void remove(const std::string &Content) override {
    const std::lock_guard Lock(Mutex_);
    Quarantine_.remove(Content, Clock_.now());
  }

private:
  enum class Decision { Run, Wait, Refuse };

  Decision judge(const std::string &Content) {
    const std::lock_guard Lock(Mutex_);
    switch (Quarantine_.judge(Content, Clock_.now())) {
    case QuarantineVerdict::Clear:
      return Decision::Run;
    case QuarantineVerdict::RunIsolated:
      return Quarantine_.beginIsolatedRun(Content) ? Decision::Run
                                                   : Decision::Wait;
    case QuarantineVerdict::Refuse:
      return Decision::Refuse;
    case QuarantineVerdict::Wait:
      break;
    }
    return Decision::Wait;
  }

  std::vector<QuarantineNotice> recordDeath(const RunningAt &Place) {
    const std::lock_guard Lock(Mutex_);
    const TimePoint Now = Clock_.now();
    routing::EndpointCrash Death;
    Death.Endpoint = Place.Endpoint;
    Death.Zone = Place.Zone;
    Death.Incarnation = Place.Incarnation;
    Death.LastSeenAt = Now;
    std::vector<std::string> Contents;
    for (const auto &[Content, Count] :
         InFlight_[{Place.Endpoint, Place.Incarnation}])
      Contents.push_back(Content);
    Quarantine_.recordCrash(Death, Contents, Now);
    logWarning("endpoint_died")
        .field("endpoint", Place.Endpoint)
        .field("zone", Place.Zone)
        .field("incarnation", Place.Incarnation)
        .field("in_flight", Contents.size());
    return Quarantine_.takeNotices(Now);
  }

  using Run = std::pair<std::string, std::uint64_t>; ///< endpoint, incarnation

  SteadyClock Clock_;
  NoticeSender Send_;
  std::mutex Mutex_; ///< guards what follows
  routing::Quarantine Quarantine_;
  std::map<Run, std::map<std::string, std::size_t>> InFlight_;
};

} // namespace

std::unique_ptr<CrashGuard> makeCrashGuard() {
  return std::make_unique<CrashGuardImpl>();
}

} // namespace cassiashed
