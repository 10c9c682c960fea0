#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/scheduling/share.h"
#include "cassiashed/text/json.h"
#include "cassiashed/wire/grant_messages.h"
#include "http/asio.h"
#include "http/message.h"
#include "node/config_table.h"
#include <functional>
#include <memory>
#include <string>

namespace cassiashed {

struct OwnerServiceOptions {
  std::string Node; ///< name of this node
  Duration ReportInterval = std::chrono::milliseconds(250);
  Duration ReportTimeout = std::chrono::seconds(2);
  /// How far a load report may lag behind; the platform states no bound.
  Duration ReportLag = std::chrono::milliseconds(500);
  Duration PollInterval = std::chrono::milliseconds(20);
};

/// Tells an entry node that its queued request was granted or refused.
using ReadyCallback =
    std::function<void(const std::string &Node, GrantReplyMessage)>;

/// Keeps the ledgers of the endpoints that this node owns: reads their load
/// reports, answers requests for grants, and cancels at the endpoint what
/// nobody owns any more. Safe for use by several threads.
class OwnerService {
public:
  virtual ~OwnerService() = default;

  /// Starts the loops; they end with the process's io_context.
  virtual void start() = 0;

  /// Creates and removes ledgers so that they match the configuration.
  virtual void configure(const ConfigInForce &Config) = 0;

  /// Sets what this node may use of an endpoint.
  virtual void setShare(const std::string &Endpoint, scheduling::Share Part,
                        std::uint64_t Epoch) = 0;

  /// Asked before each grant, since a lease ends between two ticks of the
  /// ownership decisions, too. Must be set before `start`.
  virtual void setShareCheck(
      std::function<scheduling::Share(const std::string &)> Check) = 0;

  /// Tells whether the entry node of a request is known to have ended; what an
  /// endpoint holds for such a request is cancelled there, whoever granted it.
  /// Must be set before `start`.
  virtual void setNodeCheck(
      std::function<bool(const std::string &RequestId, const std::string &Node)>
          IsLost) = 0;

  /// Whether memory of the endpoint granted here is still in use.
  virtual bool hasGrants(const std::string &Endpoint) const = 0;

  virtual GrantReplyMessage offer(const GrantRequestMessage &Request) = 0;
  virtual HoldState hold(const GrantHoldMessage &Part) = 0;
  virtual void release(const GrantReleaseItem &Item) = 0;

  /// Ends all grants of a node that died.
  virtual void dropNode(const std::string &Node) = 0;

  /// One object per owned endpoint.
  virtual Json describe() const = 0;
};

std::shared_ptr<OwnerService> makeOwnerService(http::asio::io_context &Context,
                                               OwnerServiceOptions Options,
                                               ReadyCallback Ready);

} // namespace cassiashed
