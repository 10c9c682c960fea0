#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/membership/messages.h"
#include "cassiashed/store/table_service.h"
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Which node may use how much of an endpoint's budget.
///
/// The budget of an endpoint has two halves. The row `owner/<endpoint>` names
/// the owner, the standby and the earlier holders of halves. The owner may use
/// the whole budget while its lease is valid by its own clock, or while the
/// standby has promised not to act; otherwise the halves that no earlier holder
/// has. The sum of the shares in use never exceeds the budget.
namespace cassiashed {

/// `Half` is rounded down for counts, `OtherHalf` is rounded up.
enum class Share { None, Half, OtherHalf, Full };

struct OwnershipOptions {
  std::string Node;
  std::string Address;
  std::string Zone;
  std::uint64_t Incarnation = 0; ///< higher after each start
  Duration RenewInterval = std::chrono::seconds(5);
  Duration LeaseTime = std::chrono::seconds(15);
  /// A lease has lapsed when its row did not change for `LeaseTime` and this,
  /// which covers clock rates and reply delays.
  Duration LapseMargin = std::chrono::seconds(2);
  Duration ReadInterval = std::chrono::seconds(5);
  Duration ScanInterval = std::chrono::minutes(5);
  Duration PromiseAtStandby = std::chrono::seconds(6); ///< from its sending
  Duration PromiseAtOwner = std::chrono::seconds(5);   ///< from the request
  Duration RequestInterval = std::chrono::seconds(2);
  /// Validity left of a lease below which the owner asks for promises.
  Duration PromiseBefore = std::chrono::seconds(8);
  /// A holder that restarted counts as gone after this time, when the promises
  /// that it gave before are over.
  Duration GoneDelay = std::chrono::seconds(8);
  /// A host that is missing in the host list for this time is gone.
  Duration MissingHostTime = std::chrono::seconds(30);
  /// The list of nodes must be unchanged for this time before the placement
  /// that follows from it is acted on.
  Duration PlacementDelay = std::chrono::seconds(3);
};

/// A node of this node's region, from gossip.
struct RegionNode {
  std::string Name;
  std::string Zone;
  std::uint64_t Incarnation = 0;
  bool Leaving = false;

  bool operator==(const RegionNode &) const = default;
};

struct OwnershipCommit {
  std::uint64_t Id = 0;
  std::vector<TableWrite> Writes;
  CommitMode Mode = CommitMode::Each;
};

struct OwnershipRead {
  std::uint64_t Id = 0;
  std::vector<std::string> Keys;
};

struct OwnershipScan {
  std::uint64_t Id = 0;
  std::string Prefix;
};

struct OwnershipRequest {
  std::uint64_t Id = 0;
  std::string Node; ///< receiver
  std::variant<PromiseRequest, ReleaseRequest> Body;
};

struct ShareChange {
  std::string Endpoint;
  Share Value = Share::None;
  std::uint64_t Epoch = 0; ///< fencing number, 0 for a standby
};

/// What the caller has to do. Each commit, read, scan and request must end in
/// the function for its result, with no result if it failed.
struct OwnershipActions {
  std::vector<OwnershipCommit> Commits;
  std::optional<OwnershipRead> Read;
  std::optional<OwnershipScan> Scan;
  std::vector<OwnershipRequest> Requests;
  std::vector<ShareChange> Shares;
};

struct OwnerHint {
  std::string Node;
  std::uint64_t Epoch = 0; ///< 0: computed from the placement
};

/// Decision object of one node; not safe for use by several threads.
///
/// ```cpp
/// for (auto &Commit : Owner->tick(Now).Commits)
///   Owner->onCommit(Commit.Id, Table.commit(Commit.Writes, Commit.Mode,
///                   Reason), Clock.now());
/// ```
class Ownership {
public:
  virtual ~Ownership() = default;

  /// Endpoints of this region, from the configuration.
  virtual void setEndpoints(std::vector<std::string> Endpoints) = 0;
  /// Live and leaving nodes of this region, this node included.
  virtual void setNodes(std::vector<RegionNode> Nodes, TimePoint Now) = 0;
  /// Names of all hosts in the platform's list, after each successful read.
  virtual void setHosts(std::set<std::string> Hosts, TimePoint Now) = 0;

  /// Call several times a second.
  virtual OwnershipActions tick(TimePoint Now) = 0;

  virtual void onCommit(std::uint64_t Id,
                        const std::optional<CommitResult> &Result,
                        TimePoint Now) = 0;
  virtual void onRead(std::uint64_t Id,
                      const std::optional<std::vector<TableRow>> &Rows,
                      TimePoint Now) = 0;
  virtual void onScan(std::uint64_t Id,
                      const std::optional<std::vector<TableRow>> &Rows,
                      TimePoint Now) = 0;

  virtual PromiseReply onPromiseRequest(const PromiseRequest &Request,
                                        TimePoint Now) = 0;
  virtual void onPromiseReply(std::uint64_t Id,
                              const std::optional<PromiseReply> &Reply,
                              TimePoint Now) = 0;
  virtual ReleaseReply onReleaseRequest(const ReleaseRequest &Request,
                                        TimePoint Now) = 0;
  virtual void onReleaseReply(std::uint64_t Id,
                              const std::optional<ReleaseReply> &Reply,
                              TimePoint Now) = 0;

  /// Whether this node has granted memory of the endpoint that is still in
  /// use. While it has, it neither promises nor releases its half. A node that
  /// handed its grants over to the new owner sets it to false.
  virtual void setInUse(const std::string &Endpoint, bool InUse) = 0;

  /// Reads the endpoint's row soon, for example after a message that names
  /// another owner or this node.
  virtual void refresh(const std::string &Endpoint) = 0;
  /// An owner named by another node.
  virtual void noteOwner(const std::string &Endpoint, OwnerHint Hint) = 0;

  /// Hands over all endpoints, then gives up the lease.
  virtual void beginShutdown() = 0;
  /// True when the shutdown has left nothing owned. Never true while the table
  /// service is down; the process then stops without it.
  virtual bool isReleased() const = 0;

  /// Ask again right before a grant is given or acted on: a lease ends between
  /// two ticks, too.
  virtual Share shareOf(const std::string &Endpoint, TimePoint Now) const = 0;
  /// Fencing number, 0 if this node is not the owner.
  virtual std::uint64_t epochOf(const std::string &Endpoint) const = 0;
  /// Whether this node may send orders to the endpoint.
  virtual bool mayIssueOrders(const std::string &Endpoint,
                              TimePoint Now) const = 0;
  /// The owner as far as this node knows.
  virtual std::optional<OwnerHint>
  ownerOf(const std::string &Endpoint) const = 0;
  virtual bool isLeaseValid(TimePoint Now) const = 0;
  /// True when a process of the same name with a higher incarnation has
  /// registered; all shares are `None` from then on.
  virtual bool isSuperseded() const = 0;
};

std::unique_ptr<Ownership> makeOwnership(OwnershipOptions Options);

} // namespace cassiashed
