#include "cassiashed/membership/ownership.h"

#include "cassiashed/base/event_log.h"
#include "cassiashed/base/invariant.h"
#include "cassiashed/membership/rendezvous.h"
#include "membership/rows.h"
#include <algorithm>
#include <map>

namespace cassiashed {
namespace {

using namespace std::chrono_literals;

// Changes of rows are collected into commits at most this often.
constexpr Duration CommitInterval = 500ms;
constexpr Duration ReadGap = 250ms;

// After a failure, so that a service that comes back is not overrun.
constexpr Duration RetryInterval = 1s;

// A commit with an unknown outcome may still take effect for this long.
constexpr Duration LateCommitTime = 10s;

// Other nodes leave the recorded standby this much time to take over first.
constexpr Duration StandbyLead = 10s;

// An owner with more than the average hands over one endpoint per interval.
constexpr Duration BalanceInterval = 10s;

// Waiting for others counts at most this much per call, so that a clock that
// jumps forward does not end another node's lease or a promise to it. A pause
// of the process makes the wait longer.
constexpr Duration MaxObservedStep = 500ms;

// Times named `Observed` are in observed time, see `MaxObservedStep`. What this
// node may use itself ends by its own clock.

/// What is known about the lease row of another node.
struct LeaseWatch {
  std::uint64_t Version = 0;
  std::optional<LeaseRow> Row; ///< nothing if the row does not exist
  TimePoint ObservedSince;     ///< first seen with this version
  std::optional<TimePoint> LastRead;
};

/// What a standby was told by an owner that cannot renew its lease.
struct ArmedState {
  std::uint64_t Epoch = 0;
  TimePoint ObservedLeaseOver; ///< the owner's lease has ended by then
  TimePoint ObservedPromiseEnd;
};

struct Endpoint {
  std::optional<OwnerRow> Row; ///< last known; nothing: unknown or absent
  std::uint64_t Version = 0;
  bool WasRead = false;
  std::optional<TimePoint> LastRead;
  std::uint64_t Chain = 0; ///< lease chain in which the row was confirmed

  // As owner.
  bool Unsettled = false; ///< a write with unknown outcome may yet take effect
  bool Yielding = false;  ///< a handover is being written
  bool StandbyArmed = false;
  std::uint64_t ArmNumber = 0; ///< number of the last request that armed it
  std::optional<TimePoint> PromisedAt; ///< start of the answered request
  std::optional<TimePoint> LastPromiseRequest, LastReleaseRequest;
  std::set<std::string> Released; ///< earlier holders that confirmed

  // As standby.
  std::optional<ArmedState> Armed;
  std::map<std::string, std::uint64_t> Numbers; ///< last request by sender
  std::optional<TimePoint> ObservedLateEnd;     ///< no promise before

  std::uint64_t MinEpoch = 0; ///< shares under lower epochs are given up
  bool InUse = false;
  Share Reported = Share::None;
  std::uint64_t ReportedEpoch = 0;
  std::optional<OwnerHint> Hint;
};

class OwnershipState : public Ownership {
public:
  explicit OwnershipState(OwnershipOptions Options)
      : Options_(std::move(Options)), LeaseKey_(LeasePrefix + Options_.Node) {}

  void setEndpoints(std::vector<std::string> Endpoints) override {
    Configured_ = std::move(Endpoints);
    PlacementDirty_ = true;
  }

  void setNodes(std::vector<RegionNode> Nodes, TimePoint Now) override {
    observe(Now);
    std::sort(Nodes.begin(), Nodes.end(),
              [](const auto &A, const auto &B) { return A.Name < B.Name; });
    if (Nodes == Nodes_)
      return;
    for (const RegionNode &Node : Nodes)
      noteIncarnation(Node.Name, Node.Incarnation);
    Nodes_ = std::move(Nodes);
    NodesChanged_ = Now;
    PlacementDirty_ = true;
  }

  void setHosts(std::set<std::string> Hosts, TimePoint Now) override {
    observe(Now);
    std::erase_if(MissingSince_,
                  [&](const auto &Entry) { return Hosts.count(Entry.first); });
    Hosts_ = std::move(Hosts);
    for (const auto &Entry : Endpoints_)
      if (Entry.second.Row)
        for (const auto &Holder : Entry.second.Row->Earlier)
          if (!Hosts_->count(Holder.Node))
            MissingSince_.try_emplace(Holder.Node, Observed_);
  }

  OwnershipActions tick(TimePoint Now) override {
    observe(Now);
    OwnershipActions Actions;
    if (!Superseded_) {
      updatePlacement(Now);
      planScan(Now, Actions);
      planRead(Now, Actions);
      planCommits(Now, Actions);
      planRequests(Now, Actions);
    }
    reportShares(Now, Actions);
    return Actions;
  }

  void onCommit(std::uint64_t Id, const std::optional<CommitResult> &Result,
                TimePoint Now) override {
    observe(Now);
    const auto Found = Commits_.find(Id);
    if (Found == Commits_.end())
      return;
    const OpenCommit Commit = std::move(Found->second);
    Commits_.erase(Found);
    for (std::size_t Index = 0; Index < Commit.Writes.size(); ++Index) {
      const PlannedWrite &Write = Commit.Writes[Index];
      Busy_.erase(Write.Key);
      LastDone_[Write.Key] = ++Sequence_;
      std::optional<std::uint64_t> Version;
      if (Result && Result->Committed && Index < Result->Versions.size())
        Version = Result->Versions[Index];
      if (!Result)
        onUnknown(Write);
      else if (Version)
        onWritten(Write, *Version, Commit, Now);
      else
        onConflict(Write);
    }
  }

  void onRead(std::uint64_t Id,
              const std::optional<std::vector<TableRow>> &Rows,
              TimePoint Now) override {
    observe(Now);
    if (!OpenRead_ || OpenRead_->Id != Id)
      return;
    const OpenTableRead Read = std::move(*OpenRead_);
    OpenRead_.reset();
    LastReadFailed_ = !Rows;
    if (!Rows) {
      Wanted_.insert(Read.Wanted.begin(), Read.Wanted.end());
      return;
    }
    for (const TableRow &Row : *Rows)
      takeRow(Row, Read.Sequence, Now);
  }

  void onScan(std::uint64_t Id,
              const std::optional<std::vector<TableRow>> &Rows,
              TimePoint Now) override {
    if (Id != ScanId_)
      return;
    ScanId_ = 0;
    if (!Rows) {
      LastScan_ = Now - Options_.ScanInterval + 5s;
      return;
    }
    for (const TableRow &Row : *Rows)
      takeRow(Row, ScanSequence_, Now);
  }

  PromiseReply onPromiseRequest(const PromiseRequest &Request,
                                TimePoint Now) override {
    observe(Now);
    PromiseReply Reply;
    if (Superseded_ || Request.StandbyIncarnation != Options_.Incarnation)
      return Reply;
    for (const auto &Item : Request.Items) {
      Endpoint &State = Endpoints_[Item.Endpoint];
      std::uint64_t &Last =
          State.Numbers[Request.Owner + '/' +
                        std::to_string(Request.OwnerIncarnation)];
      if (Request.Number <= Last || Item.Epoch < State.MinEpoch ||
          (State.Row && State.Row->Epoch > Item.Epoch) || State.InUse ||
          Busy_.count(OwnerPrefix + Item.Endpoint) ||
          (State.ObservedLateEnd && Observed_ < *State.ObservedLateEnd))
        continue;
      Last = Request.Number;
      if (Item.Disarm) {
        State.Armed.reset();
      } else {
        const TimePoint LeaseOver =
            Observed_ + Duration(Request.LeaseLeftMs) + Options_.LapseMargin;
        State.Armed = ArmedState{Item.Epoch, LeaseOver,
                                 Observed_ + Options_.PromiseAtStandby};
      }
      Reply.Endpoints.push_back(Item.Endpoint);
    }
    return Reply;
  }

  void onPromiseReply(std::uint64_t Id,
                      const std::optional<PromiseReply> &Reply,
                      TimePoint) override {
    const auto Found = Requests_.find(Id);
    if (Found == Requests_.end())
      return;
    const OpenRequest Request = std::move(Found->second);
    Requests_.erase(Found);
    const auto *Sent = std::get_if<PromiseRequest>(&Request.Body);
    if (!Reply || !Sent)
      return;
    for (const auto &Item : Sent->Items) {
      Endpoint &State = Endpoints_[Item.Endpoint];
      if (!isOwner(State) || State.Row->Epoch != Item.Epoch ||
          State.Row->Standby != Request.Node ||
          State.Row->StandbyIncarnation != Sent->StandbyIncarnation ||
          std::find(Reply->Endpoints.begin(), Reply->Endpoints.end(),
                    Item.Endpoint) == Reply->Endpoints.end())
        continue;
      if (!Item.Disarm) {
        if (!State.PromisedAt || Request.Start > *State.PromisedAt)
          State.PromisedAt = Request.Start;
      } else if (Sent->Number > State.ArmNumber) {
        State.StandbyArmed = false;
      }
    }
  }

  ReleaseReply onReleaseRequest(const ReleaseRequest &Request,
                                TimePoint Now) override {
    observe(Now);
    ReleaseReply Reply;
    Reply.Incarnation = Options_.Incarnation;
    for (const auto &Item : Request.Items) {
      Endpoint &State = Endpoints_[Item.Endpoint];
      const bool IsPromised =
          State.Armed && Observed_ < State.Armed->ObservedPromiseEnd;
      if (State.InUse || IsPromised ||
          (isOwner(State) && State.Row->Epoch >= Item.Epoch))
        continue;
      // An owner that did not know yet that it was replaced.
      if (!State.Row || State.Row->Epoch < Item.Epoch)
        refresh(Item.Endpoint);
      State.MinEpoch = std::max(State.MinEpoch, Item.Epoch);
      if (State.Armed && State.Armed->Epoch < Item.Epoch)
        State.Armed.reset();
      Reply.Released.push_back(Item.Endpoint);
    }
    return Reply;
  }

  void onReleaseReply(std::uint64_t Id,
                      const std::optional<ReleaseReply> &Reply,
                      TimePoint Now) override {
    const auto Found = Requests_.find(Id);
    if (Found == Requests_.end())
      return;
    const OpenRequest Request = std::move(Found->second);
    Requests_.erase(Found);
    const auto *Sent = std::get_if<ReleaseRequest>(&Request.Body);
    if (!Reply || !Sent)
      return;
    observe(Now);
    noteIncarnation(Request.Node, Reply->Incarnation);
    for (const auto &Item : Sent->Items) {
      Endpoint &State = Endpoints_[Item.Endpoint];
      if (isOwner(State) && State.Row->Epoch == Item.Epoch &&
          std::find(Reply->Released.begin(), Reply->Released.end(),
                    Item.Endpoint) != Reply->Released.end())
        State.Released.insert(holderKey(Request.Node, Reply->Incarnation));
    }
  }

  void setInUse(const std::string &Name, bool InUse) override {
    Endpoints_[Name].InUse = InUse;
  }

  void refresh(const std::string &Name) override {
    Wanted_.insert(OwnerPrefix + Name);
  }

  void noteOwner(const std::string &Name, OwnerHint Hint) override {
    Endpoint &State = Endpoints_[Name];
    if (!State.Hint || Hint.Epoch > State.Hint->Epoch)
      State.Hint = std::move(Hint);
  }

  void beginShutdown() override {
    if (Leaving_)
      return;
    Leaving_ = true;
    PlacementDirty_ = true;
  }

  bool isReleased() const override { return HasLeft_; }

  Share shareOf(const std::string &Name, TimePoint Now) const override {
    const auto Found = Endpoints_.find(Name);
    return Found == Endpoints_.end() ? Share::None
                                     : shareIn(Found->second, Now);
  }

  std::uint64_t epochOf(const std::string &Name) const override {
    const auto Found = Endpoints_.find(Name);
    return Found != Endpoints_.end() && isOwner(Found->second)
               ? Found->second.Row->Epoch
               : 0;
  }

  bool mayIssueOrders(const std::string &Name, TimePoint Now) const override {
    const auto Found = Endpoints_.find(Name);
    return Found != Endpoints_.end() && isOwner(Found->second) &&
           !Found->second.Yielding && isConfirmed(Found->second, Now);
  }

  std::optional<OwnerHint> ownerOf(const std::string &Name) const override {
    const auto Found = Endpoints_.find(Name);
    if (Found != Endpoints_.end()) {
      const Endpoint &State = Found->second;
      if (State.Hint && (!State.Row || State.Hint->Epoch > State.Row->Epoch))
        return State.Hint;
      if (State.Row)
        return OwnerHint{State.Row->Owner, State.Row->Epoch};
    }
    const auto Target = Placement_.find(Name);
    if (Target == Placement_.end() || Target->second.Owner.empty())
      return std::nullopt;
    return OwnerHint{Target->second.Owner, 0};
  }

  bool isLeaseValid(TimePoint Now) const override {
    return IsRegistered_ && LeaseStart_ && !HasLeft_ &&
           Now - *LeaseStart_ < Options_.LeaseTime;
  }

  bool isSuperseded() const override { return Superseded_; }

private:
  enum class WriteKind { Renewal, Departure, Row, Handover, LapseMark };

  struct PlannedWrite {
    WriteKind Kind = WriteKind::Row;
    std::string Key;
    std::string EndpointName;
    std::uint64_t IfVersion = 0;
    OwnerRow Row;              ///< for `Row` and `Handover`
    std::uint64_t Renewal = 0; ///< for `Renewal`
    std::string Text;
  };

  struct OpenCommit {
    TimePoint Start;
    std::uint64_t Chain = 0;
    std::vector<PlannedWrite> Writes;
  };

  struct OpenTableRead {
    std::uint64_t Id = 0;
    std::uint64_t Sequence = 0;
    std::set<std::string> Wanted;
  };

  struct OpenRequest {
    std::string Node;
    TimePoint Start;
    std::variant<PromiseRequest, ReleaseRequest> Body;
  };

  static std::string holderKey(const std::string &Node,
                               std::uint64_t Incarnation) {
    return Node + '/' + std::to_string(Incarnation);
  }

  // ---- What this node may use -------------------------------------------

  bool isSelf(const std::string &Node, std::uint64_t Incarnation) const {
    return Node == Options_.Node && Incarnation == Options_.Incarnation;
  }

  bool isOwner(const Endpoint &State) const {
    return State.Row && isSelf(State.Row->Owner, State.Row->OwnerIncarnation) &&
           State.Row->Epoch >= State.MinEpoch;
  }

  /// The lease is valid and the row was seen to name this node since the
  /// lease was registered without a gap.
  bool isConfirmed(const Endpoint &State, TimePoint Now) const {
    return isLeaseValid(Now) && State.Chain == Chain_;
  }

  Share shareIn(const Endpoint &State, TimePoint Now) const {
    if (Superseded_ || HasLeft_)
      return Share::None;
    if (isOwner(State)) {
      const bool LowerTaken = State.Row->isTaken(Half::Lower);
      const bool UpperTaken = State.Row->isTaken(Half::Upper);
      if (LowerTaken || UpperTaken)
        return LowerTaken && UpperTaken ? Share::None
               : LowerTaken             ? Share::OtherHalf
                                        : Share::Half;
      if (State.Unsettled || State.Yielding)
        return Share::Half;
      const bool IsPromised =
          State.PromisedAt && Now - *State.PromisedAt < Options_.PromiseAtOwner;
      const bool MayUseLease = isConfirmed(State, Now) && !State.StandbyArmed;
      return MayUseLease || (State.StandbyArmed && IsPromised) ? Share::Full
                                                               : Share::Half;
    }
    // A standby that was told by its owner that it may have to act.
    if (State.Armed && State.Armed->Epoch >= State.MinEpoch &&
        (!State.Row || State.Row->Epoch <= State.Armed->Epoch) &&
        observed(Now) >= State.Armed->ObservedLeaseOver &&
        observed(Now) >= State.Armed->ObservedPromiseEnd)
      return Share::OtherHalf;
    return Share::None;
  }

  /// The half that the owner in this row keeps when it is replaced.
  static std::optional<Half> baseOf(const OwnerRow &Row) {
    if (!Row.isTaken(Half::Lower))
      return Half::Lower;
    if (!Row.isTaken(Half::Upper))
      return Half::Upper;
    return std::nullopt;
  }

  void reportShares(TimePoint Now, OwnershipActions &Actions) {
    for (auto &[Name, State] : Endpoints_) {
      const Share Value = shareIn(State, Now);
      const std::uint64_t Epoch = isOwner(State) ? State.Row->Epoch : 0;
      if (Value == State.Reported && Epoch == State.ReportedEpoch)
        continue;
      State.Reported = Value;
      State.ReportedEpoch = Epoch;
      Actions.Shares.push_back({Name, Value, Epoch});
    }
  }

  // ---- Placement --------------------------------------------------------

  void updatePlacement(TimePoint Now) {
    if (!PlacementDirty_ || (NodesChanged_ && !Leaving_ &&
                             Now - *NodesChanged_ < Options_.PlacementDelay))
      return;
    PlacementDirty_ = false;
    Candidates_.clear();
    for (const RegionNode &Node : Nodes_)
      if (!Node.Leaving && !(Leaving_ && Node.Name == Options_.Node))
        Candidates_.push_back({Node.Name, Node.Zone});
    Placement_ = placeEndpoints(Configured_, Candidates_);
    Watched_.clear();
    for (const auto &[Name, Target] : Placement_) {
      Endpoint &State = Endpoints_[Name];
      if (Target.Owner == Options_.Node || Target.Standby == Options_.Node) {
        Watched_.insert(Name);
        if (!State.WasRead)
          Wanted_.insert(OwnerPrefix + Name);
      }
    }
  }

  const RegionNode *findNode(const std::string &Name) const {
    for (const RegionNode &Node : Nodes_)
      if (Node.Name == Name)
        return &Node;
    return nullptr;
  }

  /// A live node for the standby's place, in another zone if there is one.
  const RegionNode *chooseStandby(const std::string &Endpoint,
                                  const std::string &Owner) const {
    const RegionNode *OwnerNode = findNode(Owner);
    const RegionNode *Best = nullptr;
    for (const std::string &Name : rankNodes(Endpoint, Candidates_)) {
      const RegionNode *Node = findNode(Name);
      if (!Node || Name == Owner)
        continue;
      if (!OwnerNode || Node->Zone != OwnerNode->Zone)
        return Node;
      if (!Best)
        Best = Node;
    }
    return Best;
  }

  void setStandby(OwnerRow &Row, const std::string &Endpoint) const {
    const RegionNode *Node = chooseStandby(Endpoint, Row.Owner);
    Row.Standby = Node ? Node->Name : std::string();
    Row.StandbyIncarnation = Node ? Node->Incarnation : 0;
  }

  // ---- Knowledge about other nodes --------------------------------------

  TimePoint observed(TimePoint Now) const {
    if (!LastObserved_ || Now <= *LastObserved_)
      return Observed_;
    return Observed_ +
           std::min<TimePoint::duration>(Now - *LastObserved_, MaxObservedStep);
  }

  void observe(TimePoint Now) {
    Observed_ = observed(Now);
    LastObserved_ = Now;
  }

  void noteIncarnation(const std::string &Node, std::uint64_t Incarnation) {
    auto &Seen = NewestIncarnation_[Node];
    if (Incarnation > Seen.first)
      Seen = {Incarnation, Observed_};
  }

  /// Whether this holder uses no share any more and never will.
  bool isGone(const std::string &Node, std::uint64_t Incarnation) const {
    const auto Seen = NewestIncarnation_.find(Node);
    if (Seen != NewestIncarnation_.end() && Seen->second.first > Incarnation &&
        Observed_ - Seen->second.second >= Options_.GoneDelay)
      return true;
    const auto Watch = Leases_.find(Node);
    if (Watch != Leases_.end() && Watch->second.Row &&
        Watch->second.Row->HasLeft &&
        Watch->second.Row->Incarnation == Incarnation)
      return true;
    const auto Missing = MissingSince_.find(Node);
    return Missing != MissingSince_.end() && !findNode(Node) &&
           Observed_ - Missing->second >= Options_.MissingHostTime;
  }

  /// How the owner of a row lost its lease.
  enum class Lapse { No, Unchanged, Restarted };

  /// `Since` is set to the observed time at which the lease was first known to
  /// have lapsed.
  Lapse lapseOf(const OwnerRow &Row, TimePoint Now, TimePoint &Since) const {
    const auto Found = Leases_.find(Row.Owner);
    if (Found == Leases_.end())
      return Lapse::No;
    const LeaseWatch &Watch = Found->second;
    Since = Watch.ObservedSince;
    if (!Watch.LastRead || Now - *Watch.LastRead > Options_.ReadInterval * 2)
      return Lapse::No;
    if (Watch.Row && Watch.Row->Incarnation > Row.OwnerIncarnation)
      return Lapse::Restarted;
    if (!Watch.Row || Watch.Row->HasLeft || !Watch.Row->LapsedBy.empty())
      return Lapse::Unchanged;
    Since = Watch.ObservedSince + Options_.LeaseTime + Options_.LapseMargin;
    return Observed_ >= Since ? Lapse::Unchanged : Lapse::No;
  }

  // ---- Reading ----------------------------------------------------------

  void planScan(TimePoint Now, OwnershipActions &Actions) {
    if (ScanId_ != 0 || (LastScan_ && Now - *LastScan_ < Options_.ScanInterval))
      return;
    LastScan_ = Now;
    ScanId_ = ++LastId_;
    ScanSequence_ = ++Sequence_;
    Actions.Scan = OwnershipScan{ScanId_, OwnerPrefix};
  }

  void planRead(TimePoint Now, OwnershipActions &Actions) {
    if (OpenRead_)
      return;
    const bool IsDue =
        !LastFullRead_ || Now - *LastFullRead_ >= Options_.ReadInterval;
    const Duration Gap = LastReadFailed_ ? RetryInterval : ReadGap;
    if (!IsDue && (Wanted_.empty() || Now - *LastRead_ < Gap))
      return;
    std::set<std::string> Keys = Wanted_;
    if (!IsRegistered_)
      Keys.insert(LeaseKey_);
    if (IsDue) {
      LastFullRead_ = Now;
      for (const auto &[Name, State] : Endpoints_)
        addWatchedKeys(Name, State, Keys);
    }
    std::erase_if(Keys, [this](const auto &Key) { return Busy_.count(Key); });
    LastRead_ = Now;
    if (Keys.empty())
      return;
    std::erase_if(Wanted_, [&](const auto &Key) { return Keys.count(Key); });
    OpenRead_ = OpenTableRead{++LastId_, ++Sequence_, Keys};
    Actions.Read = OwnershipRead{OpenRead_->Id, {Keys.begin(), Keys.end()}};
  }

  void addWatchedKeys(const std::string &Name, const Endpoint &State,
                      std::set<std::string> &Keys) const {
    const bool Owns = isOwner(State);
    if (Owns) {
      for (const EarlierHolder &Holder : State.Row->Earlier)
        Keys.insert(LeasePrefix + Holder.Node);
      return;
    }
    const bool IsStandby = State.Row && State.Row->Standby == Options_.Node;
    const bool WasOwner = State.Row && State.Row->Owner == Options_.Node;
    if (!Watched_.count(Name) && !IsStandby && !WasOwner && !State.Armed)
      return;
    Keys.insert(OwnerPrefix + Name);
    if (!State.Row)
      return;
    Keys.insert(LeasePrefix + State.Row->Owner);
    for (const EarlierHolder &Holder : State.Row->Earlier)
      Keys.insert(LeasePrefix + Holder.Node);
  }

  void takeRow(const TableRow &Row, std::uint64_t ReadSequence, TimePoint Now) {
    // A read that overlaps a commit of the same row shows either state.
    const auto Done = LastDone_.find(Row.Key);
    if (Busy_.count(Row.Key) ||
        (Done != LastDone_.end() && Done->second > ReadSequence)) {
      Wanted_.insert(Row.Key);
      return;
    }
    if (Row.Key == LeaseKey_)
      takeOwnLease(Row);
    if (Row.Key.compare(0, LeasePrefix.size(), LeasePrefix) == 0)
      takeLease(Row, Now);
    else if (Row.Key.compare(0, OwnerPrefix.size(), OwnerPrefix) == 0)
      takeOwner(Row, ReadSequence, Now);
  }

  void takeLease(const TableRow &Row, TimePoint Now) {
    const std::string Name = Row.Key.substr(LeasePrefix.size());
    LeaseWatch &Watch = Leases_[Name];
    if (Watch.Version != Row.Version || !Watch.LastRead) {
      Watch.Version = Row.Version;
      Watch.Row = Row.Version == 0 ? std::nullopt : parseLeaseRow(Row.Value);
      Watch.ObservedSince = Observed_;
      if (Watch.Row)
        noteIncarnation(Name, Watch.Row->Incarnation);
    } else if (Now - *Watch.LastRead > Options_.ReadInterval * 2) {
      // After an outage of the table service every lease looks old; its holder
      // gets the whole time to renew it.
      Watch.ObservedSince = Observed_;
    }
    Watch.LastRead = Now;
  }

  void takeOwnLease(const TableRow &Row) {
    const auto Held =
        Row.Version == 0 ? std::nullopt : parseLeaseRow(Row.Value);
    if (Held && Held->Incarnation > Options_.Incarnation) {
      Superseded_ = true;
      logError("node_superseded")
          .field("node", Options_.Node)
          .field("incarnation", Held->Incarnation);
      return;
    }
    const bool IsOurs = Held && Held->Incarnation == Options_.Incarnation &&
                        Held->LapsedBy.empty();
    const auto Attempt =
        IsOurs ? Attempts_.find(Held->Renewal) : Attempts_.end();
    LeaseKnown_ = true;
    LeaseVersion_ = Row.Version;
    if (IsOurs && Held->HasLeft) {
      HasLeft_ = true;
    } else if (Attempt != Attempts_.end()) {
      // A renewal whose reply was lost has taken effect.
      extendLease(Attempt->second, Held->Renewal);
    } else if (!IsOurs || Held->Renewal != ConfirmedRenewal_) {
      breakChain();
    }
  }

  void breakChain() {
    if (IsRegistered_)
      logWarning("lease_broken").field("node", Options_.Node);
    IsRegistered_ = false;
    LeaseStart_.reset();
  }

  void extendLease(TimePoint Start, std::uint64_t Number) {
    ConfirmedRenewal_ = Number;
    if (!LeaseStart_ || Start > *LeaseStart_)
      LeaseStart_ = Start;
    std::erase_if(Attempts_,
                  [&](const auto &Entry) { return Entry.second <= Start; });
    if (IsRegistered_)
      return;
    // Rows count as confirmed only if they are read from now on.
    IsRegistered_ = true;
    ++Chain_;
    ChainSequence_ = ++Sequence_;
    for (const auto &Entry : Endpoints_)
      if (isOwner(Entry.second))
        Wanted_.insert(OwnerPrefix + Entry.first);
  }

  void takeOwner(const TableRow &Row, std::uint64_t ReadSequence,
                 TimePoint Now) {
    const std::string Name = Row.Key.substr(OwnerPrefix.size());
    Endpoint &State = Endpoints_[Name];
    if (State.WasRead && Row.Version < State.Version)
      return;
    const bool IsChanged = !State.WasRead || Row.Version != State.Version;
    State.WasRead = true;
    State.LastRead = Now;
    if (IsChanged) {
      auto Parsed = Row.Version == 0 ? std::nullopt : parseOwnerRow(Row.Value);
      if (Row.Version != 0 && !Parsed)
        logError("owner_row_malformed").field("endpoint", Name);
      setRow(State, std::move(Parsed), Row.Version);
    }
    if (!isOwner(State) || !IsRegistered_)
      return;
    if (ReadSequence > ChainSequence_)
      State.Chain = Chain_;
    else
      Wanted_.insert(Row.Key);
  }

  /// A row that another node may have written.
  void setRow(Endpoint &State, std::optional<OwnerRow> Row,
              std::uint64_t Version) {
    const bool WasOwner = isOwner(State);
    const std::uint64_t OldEpoch = State.Row ? State.Row->Epoch : 0;
    CASSIASHED_INVARIANT(!Row || Row->Epoch >= OldEpoch,
                         "epoch of an owner row decreased");
    State.Row = std::move(Row);
    State.Version = Version;
    State.Released.clear();
    State.Chain = 0;
    State.Unsettled = State.Yielding = false;
    if (!State.Row)
      return;
    const std::uint64_t Epoch = State.Row->Epoch;
    State.MinEpoch = std::max(
        State.MinEpoch, WasOwner && !isOwner(State) ? Epoch : State.MinEpoch);
    if (Epoch != OldEpoch) {
      State.StandbyArmed = false;
      State.PromisedAt.reset();
    }
    if (State.Armed && State.Armed->Epoch < Epoch) {
      State.MinEpoch = std::max(State.MinEpoch, Epoch);
      // The promise still holds; its end is kept for releases.
      State.Armed->Epoch = 0;
    }
  }

  // ---- Writing ----------------------------------------------------------

  void planCommits(TimePoint Now, OwnershipActions &Actions) {
    if (LastCommit_ && Now - *LastCommit_ < CommitInterval)
      return;
    std::vector<PlannedWrite> Batch;
    planRenewal(Now, Batch);
    if (isLeaseValid(Now)) {
      std::map<std::string, std::vector<PlannedWrite>> Takeovers;
      for (auto &[Name, State] : Endpoints_)
        if (!Busy_.count(OwnerPrefix + Name) && State.WasRead)
          planEndpoint(Name, State, Now, Batch, Takeovers);
      for (auto &Entry : Takeovers)
        emitTakeover(Entry.first, std::move(Entry.second), Now, Actions);
    }
    if (!Batch.empty())
      emit(std::move(Batch), CommitMode::Each, Now, Actions);
  }

  void planRenewal(TimePoint Now, std::vector<PlannedWrite> &Batch) {
    if (!LeaseKnown_ || HasLeft_ || Busy_.count(LeaseKey_))
      return;
    const bool Departs = Leaving_ && ownsNothing();
    const Duration Interval =
        IsRegistered_ && !Departs ? Options_.RenewInterval : RetryInterval;
    if (LastRenewal_ && Now - *LastRenewal_ < Interval)
      return;
    LastRenewal_ = Now;
    PlannedWrite Write;
    Write.Kind = Departs ? WriteKind::Departure : WriteKind::Renewal;
    Write.Key = LeaseKey_;
    Write.IfVersion = LeaseVersion_;
    Write.Renewal = ++Renewal_;
    Attempts_[Renewal_] = Now;
    Write.Text = formatRow(LeaseRow{Options_.Incarnation,
                                    Options_.Address,
                                    Options_.Zone,
                                    Renewal_,
                                    {},
                                    Departs});
    Batch.push_back(std::move(Write));
  }

  bool ownsNothing() const {
    return std::none_of(Endpoints_.begin(), Endpoints_.end(),
                        [this](const auto &Entry) {
                          return isOwner(Entry.second) ||
                                 Busy_.count(OwnerPrefix + Entry.first);
                        });
  }

  void
  planEndpoint(const std::string &Name, Endpoint &State, TimePoint Now,
               std::vector<PlannedWrite> &Batch,
               std::map<std::string, std::vector<PlannedWrite>> &Takeovers) {
    const auto Target = Placement_.find(Name);
    const bool IsTarget =
        Target != Placement_.end() && Target->second.Owner == Options_.Node;
    if (!State.Row) {
      if (State.Version == 0 && IsTarget && !Leaving_) {
        OwnerRow Row{Options_.Node, Options_.Incarnation, 1, {}, 0, {}};
        setStandby(Row, Name);
        Batch.push_back(makeWrite(Name, State, std::move(Row)));
      }
      return;
    }
    if (isOwner(State)) {
      if (State.Chain == Chain_)
        planOwned(Name, State, Now, Batch);
      return;
    }
    planTakeover(Name, State, IsTarget, Now, Batch, Takeovers);
  }

  PlannedWrite makeWrite(const std::string &Name, const Endpoint &State,
                         OwnerRow Row, WriteKind Kind = WriteKind::Row) const {
    PlannedWrite Write;
    Write.Kind = Kind;
    Write.Key = OwnerPrefix + Name;
    Write.EndpointName = Name;
    Write.IfVersion = State.Version;
    Write.Text = formatRow(Row);
    Write.Row = std::move(Row);
    return Write;
  }

  void planOwned(const std::string &Name, Endpoint &State, TimePoint Now,
                 std::vector<PlannedWrite> &Batch) {
    OwnerRow Next = *State.Row;
    bool IsChanged = State.Unsettled;
    IsChanged |= std::erase_if(Next.Earlier, [&](const EarlierHolder &Holder) {
                   return isGone(Holder.Node, Holder.Incarnation) ||
                          State.Released.count(
                              holderKey(Holder.Node, Holder.Incarnation));
                 }) > 0;
    if (State.StandbyArmed && isGone(Next.Standby, Next.StandbyIncarnation))
      State.StandbyArmed = false;
    std::string Receiver;
    if (!State.Unsettled && chooseReceiver(Name, Now, Receiver)) {
      Batch.push_back(makeHandover(Name, State, std::move(Next), Receiver));
      State.Yielding = true;
      return;
    }
    const RegionNode *Standby = findNode(Next.Standby);
    const bool NeedsStandby = !Standby || Standby->Leaving ||
                              Standby->Incarnation != Next.StandbyIncarnation;
    if (NeedsStandby) {
      OwnerRow Changed = Next;
      setStandby(Changed, Name);
      if (Changed.Standby != Next.Standby ||
          Changed.StandbyIncarnation != Next.StandbyIncarnation) {
        if (State.StandbyArmed) {
          Changed.Earlier.push_back(
              {Next.Standby, Next.StandbyIncarnation, Half::Upper});
          ++Changed.Epoch;
        }
        Next = std::move(Changed);
        IsChanged = true;
      }
    }
    if (IsChanged)
      Batch.push_back(makeWrite(Name, State, std::move(Next)));
  }

  /// Whether the endpoint should go to another node: at a planned stop, or to
  /// the preferred node while this one has more than the average.
  bool chooseReceiver(const std::string &Name, TimePoint Now,
                      std::string &Receiver) {
    const auto Target = Placement_.find(Name);
    if (Target == Placement_.end() || Target->second.Owner.empty() ||
        Target->second.Owner == Options_.Node)
      return false;
    Receiver = Target->second.Owner;
    const RegionNode *Node = findNode(Receiver);
    if (!Node || Node->Leaving)
      return false;
    if (Leaving_)
      return true;
    if (!NodesChanged_ || Now - *NodesChanged_ < 3 * BalanceInterval ||
        (LastBalance_ && Now - *LastBalance_ < BalanceInterval))
      return false;
    const auto Owned = static_cast<std::size_t>(std::count_if(
        Endpoints_.begin(), Endpoints_.end(),
        [this](const auto &Entry) { return isOwner(Entry.second); }));
    const std::size_t Average =
        (Configured_.size() + Candidates_.size() - 1) / Candidates_.size();
    if (Owned <= Average)
      return false;
    LastBalance_ = Now;
    return true;
  }

  PlannedWrite makeHandover(const std::string &Name, const Endpoint &State,
                            OwnerRow Row, const std::string &Receiver) const {
    if (const auto Base = baseOf(Row)) {
      if (State.StandbyArmed && Row.Earlier.empty())
        Row.Earlier.push_back(
            {Row.Standby, Row.StandbyIncarnation, Half::Upper});
      Row.Earlier.push_back({Options_.Node, Options_.Incarnation, *Base});
    }
    ++Row.Epoch;
    const RegionNode *Node = findNode(Receiver);
    Row.Owner = Receiver;
    Row.OwnerIncarnation = Node ? Node->Incarnation : 0;
    std::erase_if(Row.Earlier, [&](const EarlierHolder &Holder) {
      return Holder.Node == Row.Owner &&
             Holder.Incarnation == Row.OwnerIncarnation;
    });
    setStandby(Row, Name);
    return makeWrite(Name, State, std::move(Row), WriteKind::Handover);
  }

  void
  planTakeover(const std::string &Name, Endpoint &State, bool IsTarget,
               TimePoint Now, std::vector<PlannedWrite> &Batch,
               std::map<std::string, std::vector<PlannedWrite>> &Takeovers) {
    const OwnerRow &Row = *State.Row;
    if (Leaving_ || !State.LastRead ||
        Now - *State.LastRead > Options_.ReadInterval * 2)
      return;
    // A promise to the owner holds until it is over.
    if (State.Armed && Observed_ < State.Armed->ObservedPromiseEnd)
      return;
    TimePoint Since;
    const Lapse How = lapseOf(Row, Now, Since);
    if (How == Lapse::No)
      return;
    const bool IsStandby = isSelf(Row.Standby, Row.StandbyIncarnation);
    const bool WasOwner = Row.Owner == Options_.Node;
    const RegionNode *Standby = findNode(Row.Standby);
    const bool StandbyActs = Standby && !Standby->Leaving &&
                             Standby->Incarnation == Row.StandbyIncarnation &&
                             Observed_ - Since < StandbyLead;
    if (!IsStandby && !WasOwner && !(IsTarget && !StandbyActs))
      return;
    OwnerRow Next{Options_.Node, Options_.Incarnation, Row.Epoch + 1, {}, 0,
                  Row.Earlier};
    const bool WasWhole = Row.Earlier.empty();
    if (How != Lapse::Restarted)
      if (const auto Base = baseOf(Row))
        Next.Earlier.push_back({Row.Owner, Row.OwnerIncarnation, *Base});
    // The standby may have been told to act; only it knows.
    if (WasWhole && !Row.Standby.empty())
      Next.Earlier.push_back(
          {Row.Standby, Row.StandbyIncarnation, Half::Upper});
    std::erase_if(Next.Earlier, [&](const EarlierHolder &Holder) {
      return isSelf(Holder.Node, Holder.Incarnation) ||
             isGone(Holder.Node, Holder.Incarnation);
    });
    setStandby(Next, Name);
    PlannedWrite Write = makeWrite(Name, State, std::move(Next));
    if (How == Lapse::Restarted)
      Batch.push_back(std::move(Write));
    else
      Takeovers[Row.Owner].push_back(std::move(Write));
  }

  /// Takes over endpoints of one owner and marks its lease row in the same
  /// commit, so that a renewal that is under way fails.
  void emitTakeover(const std::string &Owner, std::vector<PlannedWrite> Writes,
                    TimePoint Now, OwnershipActions &Actions) {
    const LeaseWatch &Watch = Leases_.at(Owner);
    PlannedWrite Mark;
    Mark.Kind = WriteKind::LapseMark;
    Mark.Key = LeasePrefix + Owner;
    if (Busy_.count(Mark.Key) || Owner == Options_.Node)
      return;
    Mark.IfVersion = Watch.Version;
    LeaseRow Row = Watch.Row.value_or(LeaseRow{});
    Row.LapsedBy = Options_.Node;
    Mark.Text = formatRow(Row);
    Writes.push_back(std::move(Mark));
    emit(std::move(Writes), CommitMode::All, Now, Actions);
  }

  void emit(std::vector<PlannedWrite> Writes, CommitMode Mode, TimePoint Now,
            OwnershipActions &Actions) {
    LastCommit_ = Now;
    OwnershipCommit Commit;
    Commit.Id = ++LastId_;
    Commit.Mode = Mode;
    for (const PlannedWrite &Write : Writes) {
      Commit.Writes.push_back({Write.Key, Write.Text, Write.IfVersion});
      Busy_.insert(Write.Key);
    }
    Commits_[Commit.Id] = {Now, Chain_, std::move(Writes)};
    Actions.Commits.push_back(std::move(Commit));
  }

  void onWritten(const PlannedWrite &Write, std::uint64_t Version,
                 const OpenCommit &Commit, TimePoint Now) {
    switch (Write.Kind) {
    case WriteKind::Departure:
      HasLeft_ = true;
      LeaseVersion_ = Version;
      return;
    case WriteKind::Renewal:
      LeaseVersion_ = Version;
      extendLease(Commit.Start, Write.Renewal);
      return;
    case WriteKind::LapseMark:
      Wanted_.insert(Write.Key);
      return;
    case WriteKind::Row:
    case WriteKind::Handover:
      break;
    }
    Endpoint &State = Endpoints_[Write.EndpointName];
    const bool WasOwner = isOwner(State);
    const bool WasArmed = State.StandbyArmed;
    const auto Old = State.Row;
    setRow(State, Write.Row, Version);
    State.LastRead = Now;
    if (!isOwner(State))
      return;
    State.Chain = Commit.Chain;
    if (State.Chain != Chain_)
      Wanted_.insert(Write.Key);
    if (!WasOwner) {
      State.Armed.reset();
      logEvent("endpoint_taken")
          .field("endpoint", Write.EndpointName)
          .field("epoch", Write.Row.Epoch)
          .field("earlier_holders", Write.Row.Earlier.size());
    } else if (Old && WasArmed && Old->Standby == Write.Row.Standby &&
               Old->StandbyIncarnation == Write.Row.StandbyIncarnation) {
      State.StandbyArmed = true;
    }
  }

  void onConflict(const PlannedWrite &Write) {
    Wanted_.insert(Write.Key);
    if (Write.EndpointName.empty())
      return;
    Endpoint &State = Endpoints_[Write.EndpointName];
    State.Yielding = false;
    State.Chain = 0;
  }

  /// The write may have taken effect, or may do so later.
  void onUnknown(const PlannedWrite &Write) {
    Wanted_.insert(Write.Key);
    if (Write.EndpointName.empty())
      return;
    Endpoint &State = Endpoints_[Write.EndpointName];
    if (isOwner(State))
      State.Unsettled = true;
    else
      State.ObservedLateEnd = Observed_ + LateCommitTime;
    State.Yielding = false;
  }

  // ---- Requests to peers ------------------------------------------------

  void planRequests(TimePoint Now, OwnershipActions &Actions) {
    std::map<std::string, PromiseRequest> Promises; // by standby
    std::map<std::string, ReleaseRequest> Releases; // by holder
    const Duration Left = isLeaseValid(Now)
                              ? std::chrono::ceil<Duration>(
                                    *LeaseStart_ + Options_.LeaseTime - Now)
                              : Duration(0);
    for (auto &[Name, State] : Endpoints_) {
      if (!isOwner(State))
        continue;
      if (!State.Row->Earlier.empty())
        planRelease(Name, State, Now, Releases);
      else if (!State.Row->Standby.empty() && !State.Unsettled &&
               !Busy_.count(OwnerPrefix + Name))
        planPromise(Name, State, Left, Now, Promises);
    }
    for (auto &Entry : Promises)
      request(Entry.first, std::move(Entry.second), Now, Actions);
    for (auto &Entry : Releases)
      request(Entry.first, std::move(Entry.second), Now, Actions);
  }

  void planRelease(const std::string &Name, Endpoint &State, TimePoint Now,
                   std::map<std::string, ReleaseRequest> &Releases) {
    if (State.LastReleaseRequest &&
        Now - *State.LastReleaseRequest < Options_.RequestInterval)
      return;
    State.LastReleaseRequest = Now;
    for (const EarlierHolder &Holder : State.Row->Earlier)
      Releases[Holder.Node].Items.push_back({Name, State.Row->Epoch});
  }

  void planPromise(const std::string &Name, Endpoint &State, Duration Left,
                   TimePoint Now,
                   std::map<std::string, PromiseRequest> &Promises) {
    const bool CannotRenew =
        Left < Options_.PromiseBefore || State.Chain != Chain_;
    if ((!CannotRenew && !State.StandbyArmed) ||
        (State.LastPromiseRequest &&
         Now - *State.LastPromiseRequest < Options_.RequestInterval))
      return;
    // Until the standby confirms that it is disarmed, its promises are needed.
    State.LastPromiseRequest = Now;
    PromiseRequest &Request = Promises[State.Row->Standby];
    Request.StandbyIncarnation = State.Row->StandbyIncarnation;
    Request.LeaseLeftMs = static_cast<std::uint32_t>(Left.count());
    if (Request.Number == 0)
      Request.Number = ++PromiseNumber_;
    if (CannotRenew) {
      State.StandbyArmed = true;
      State.ArmNumber = Request.Number;
    }
    Request.Items.push_back({Name, State.Row->Epoch, !CannotRenew});
  }

  template <typename Body>
  void request(const std::string &Node, Body Content, TimePoint Now,
               OwnershipActions &Actions) {
    if constexpr (std::is_same_v<Body, PromiseRequest>) {
      Content.Owner = Options_.Node;
      Content.OwnerIncarnation = Options_.Incarnation;
    }
    OwnershipRequest Next{++LastId_, Node, std::move(Content)};
    Requests_[Next.Id] = {Node, Now, Next.Body};
    Actions.Requests.push_back(std::move(Next));
  }

  const OwnershipOptions Options_;
  const std::string LeaseKey_;

  std::vector<std::string> Configured_;
  std::vector<RegionNode> Nodes_; ///< ordered by name
  std::optional<TimePoint> NodesChanged_;
  std::vector<PlacementNode> Candidates_;
  std::map<std::string, Placement> Placement_;
  std::set<std::string> Watched_; ///< placed here, as owner or standby
  bool PlacementDirty_ = false;

  // The lease of this node. A chain is a series of renewals that no other
  // write of the row has interrupted.
  bool LeaseKnown_ = false; ///< the row was read at least once
  bool IsRegistered_ = false;
  bool HasLeft_ = false, Superseded_ = false, Leaving_ = false;
  std::uint64_t LeaseVersion_ = 0, Renewal_ = 0, ConfirmedRenewal_ = 0;
  std::uint64_t Chain_ = 0, ChainSequence_ = 0;
  std::optional<TimePoint> LeaseStart_, LastRenewal_;
  std::map<std::uint64_t, TimePoint> Attempts_; ///< start by renewal number

  std::map<std::string, Endpoint> Endpoints_;
  std::map<std::string, LeaseWatch> Leases_;
  std::map<std::string, std::pair<std::uint64_t, TimePoint>>
      NewestIncarnation_; ///< and the observed time when it was first seen
  std::optional<std::set<std::string>> Hosts_;
  std::map<std::string, TimePoint> MissingSince_; ///< in observed time
  TimePoint Observed_;
  std::optional<TimePoint> LastObserved_;

  std::uint64_t LastId_ = 0;
  std::uint64_t Sequence_ = 0; ///< orders reads and commits
  std::map<std::uint64_t, OpenCommit> Commits_;
  std::set<std::string> Busy_;                    ///< keys in open commits
  std::map<std::string, std::uint64_t> LastDone_; ///< by key
  std::optional<OpenTableRead> OpenRead_;
  std::set<std::string> Wanted_; ///< keys to read soon
  bool LastReadFailed_ = false;
  std::uint64_t ScanId_ = 0, ScanSequence_ = 0;
  std::optional<TimePoint> LastScan_, LastRead_, LastFullRead_, LastCommit_;
  std::optional<TimePoint> LastBalance_;
  std::map<std::uint64_t, OpenRequest> Requests_;
  std::uint64_t PromiseNumber_ = 0;
};

} // namespace

std::unique_ptr<Ownership> makeOwnership(OwnershipOptions Options) {
  return std::make_unique<OwnershipState>(std::move(Options));
}

} // namespace cassiashed
