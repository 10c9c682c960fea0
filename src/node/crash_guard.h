#pragma once

#include "cassiashed/base/error.h"
#include "cassiashed/routing/quarantine.h"
#include "http/asio.h"
#include "http/message.h"
#include "node/config_table.h"
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cassiashed {

/// Passes notices on to the other nodes; returns when they have them or could
/// not be reached.
using NoticeSender =
    std::function<http::Task<void>(std::vector<routing::QuarantineNotice>)>;

/// Where an attempt runs, for the record of what was in flight at a death.
struct RunningAt {
  std::string Endpoint;
  std::string Zone;
  http::Address Address;
  std::uint64_t Incarnation = 0;
};

/// Keeps crash-inducing contents away from endpoints. Safe for use by several
/// threads.
class CrashGuard {
public:
  virtual ~CrashGuard() = default;

  virtual void configure(const ConfigInForce &Config) = 0;
  virtual void setSender(NoticeSender Send) = 0;

  /// Waits until the content may run. Returns the refusal if it may not before
  /// the deadline. After admission comes either `begin`, and `end` at the end
  /// of the attempt, or `abandon`.
  virtual http::Task<std::optional<Error>> admit(std::string Content,
                                                 TimePoint Deadline) = 0;
  virtual void abandon(const std::string &Content) = 0;
  virtual void begin(const RunningAt &Place, const std::string &Content) = 0;
  virtual void end(const RunningAt &Place, const std::string &Content,
                   bool Completed) = 0;

  /// Zones in which the content was in flight at a death.
  virtual std::vector<std::string> zonesToAvoid(const std::string &Content) = 0;

  /// Finds out whether an endpoint whose connection broke has died, and if so
  /// records the contents that were in flight there. Call it before `end`.
  virtual http::Task<void> investigate(RunningAt Place) = 0;

  virtual void merge(const routing::QuarantineNotice &Notice) = 0;
  virtual std::vector<std::string> quarantined() = 0;
  virtual void remove(const std::string &Content) = 0;
};

std::unique_ptr<CrashGuard> makeCrashGuard();

} // namespace cassiashed
