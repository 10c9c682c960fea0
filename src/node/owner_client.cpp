#include "node/owner_client.h"

#include "cassiashed/base/event_log.h"
#include "cassiashed/scheduling/grant.h"
#include "node/one_shot.h"
#include <mutex>
#include <unordered_map>

namespace cassiashed {
namespace {

using http::Task;
using Waiting = OneShot<GrantReplyMessage>;

// One round trip between zones takes 3 ms; a paused owner answers late.
constexpr Duration CallTimeout = std::chrono::seconds(1);

GrantReplyMessage makeRefusal(const GrantRequestMessage &Request,
                              std::string Code) {
  GrantReplyMessage Reply;
  Reply.RequestId = Request.RequestId;
  Reply.Attempt = Request.Attempt;
  Reply.Endpoint = Request.Endpoint;
  Reply.ReasonCode = std::move(Code);
  return Reply;
}

class OwnerClientImpl final : public OwnerClient {
public:
  OwnerClientImpl(std::string Node, OwnerService &Local,
                  OwnerDirectory &Directory, PeerTransport *Peers)
      : Node_(std::move(Node)), Local_(Local), Directory_(Directory),
        Peers_(Peers) {}

  Task<GrantReplyMessage> request(GrantRequestMessage Request,
                                  TimePoint Deadline) override {
    Request.Node = Node_;
    const auto Owner = Directory_.findOwner(Request.Endpoint);
    if (!Owner)
      co_return makeRefusal(Request, OwnerUnknown);
    const auto Executor = co_await http::asio::this_coro::executor;
    // Registered before the owner is asked, since the later answer may
    // overtake the reply that says "queued".
    const WaitScope Wait(*this, Request.RequestId,
                         std::make_shared<Waiting>(Executor));
    GrantReplyMessage Reply = co_await ask(*Owner, Request);
    if (Reply.ReasonCode ==
        scheduling::nameOf(scheduling::RefusalReason::NoShare))
      Directory_.reportWrongOwner(Request.Endpoint);
    if (Reply.Status != GrantStatus::Queued)
      co_return Reply;
    std::optional<GrantReplyMessage> Later =
        co_await Wait.Answer->wait(Deadline);
    if (!Later)
      Later = makeRefusal(Request, "expired");
    if (Later->Status != GrantStatus::Granted)
      sendRelease(*Owner, cancellationOf(Request));
    co_return std::move(*Later);
  }

  Task<HoldState> hold(std::string Owner, GrantHoldMessage Part) override {
    if (Owner == Node_)
      co_return Local_.hold(Part);
    const auto Peer = Directory_.findNode(Owner);
    if (!Peer || !Peers_)
      co_return HoldState::Gone;
    auto Answer = std::make_shared<OneShot<CallResult>>(
        co_await http::asio::this_coro::executor);
    Peers_->call(
        Peer->Peer, packMessage(MessageKind::GrantHold, Part), CallTimeout,
        [Answer](CallResult Result) { Answer->set(std::move(Result)); });
    const std::optional<CallResult> Result =
        co_await Answer->wait(TimePoint::max());
    std::string Reason;
    std::optional<GrantHoldReply> Reply;
    if (Result->Failure == CallFailure::None)
      Reply = unpackBody<GrantHoldReply>(Result->Reply.Body, Reason);
    // An owner that did not answer may answer the next time.
    co_return Reply ? Reply->State : HoldState::Pending;
  }

  void giveUp(const std::string &RequestId) override {
    GrantRequestMessage Request;
    Request.RequestId = RequestId;
    deliver(makeRefusal(Request, GaveUp));
  }

  void release(const std::string &Owner, GrantReleaseItem Item) override {
    if (const auto Peer = Directory_.findNode(Owner))
      sendRelease(*Peer, std::move(Item));
  }

  bool deliver(const GrantReplyMessage &Reply) override {
    std::shared_ptr<Waiting> Answer;
    {
      const std::lock_guard Lock(Mutex_);
      const auto Found = Waits_.find(Reply.RequestId);
      if (Found == Waits_.end())
        return false;
      Answer = Found->second;
    }
    Answer->set(Reply);
    return true;
  }

private:
  /// Registers a wait for as long as it lives.
  struct WaitScope {
    WaitScope(OwnerClientImpl &Client, std::string RequestId,
              std::shared_ptr<Waiting> Answer)
        : Client(Client), RequestId(std::move(RequestId)),
          Answer(std::move(Answer)) {
      const std::lock_guard Lock(Client.Mutex_);
      Client.Waits_[this->RequestId] = this->Answer;
    }
    WaitScope(const WaitScope &) = delete;
    WaitScope &operator=(const WaitScope &) = delete;
    ~WaitScope() {
      const std::lock_guard Lock(Client.Mutex_);
      Client.Waits_.erase(RequestId);
    }

    OwnerClientImpl &Client;
    std::string RequestId;
    std::shared_ptr<Waiting> Answer;
  };

  static GrantReleaseItem cancellationOf(const GrantRequestMessage &Request) {
    GrantReleaseItem Item;
    Item.RequestId = Request.RequestId;
    Item.Attempt = Request.Attempt;
    Item.Endpoint = Request.Endpoint;
    Item.Outcome = GrantOutcome::Cancelled;
    return Item;
  }

  Task<GrantReplyMessage> ask(const OwnerAddress &Owner,
                              const GrantRequestMessage &Request) {
    if (Owner.Node == Node_)
      co_return Local_.offer(Request);
    if (!Peers_)
      co_return makeRefusal(Request, OwnerUnreachable);
    auto Answer = std::make_shared<OneShot<CallResult>>(
        co_await http::asio::this_coro::executor);
    Peers_->call(Owner.Peer, packMessage(MessageKind::GrantRequest, Request),
                 CallTimeout, [Answer](CallResult Result) {
                   Answer->set(std::move(Result));
                 });
    const std::optional<CallResult> Result =
        co_await Answer->wait(TimePoint::max());
    std::string Reason = Result->Reason;
    if (Result->Failure == CallFailure::None)
      if (auto Reply =
              unpackBody<GrantReplyMessage>(Result->Reply.Body, Reason))
        co_return std::move(*Reply);
    // The owner may have granted or queued the request.
    if (Result->Failure != CallFailure::NotSent)
      sendRelease(Owner, cancellationOf(Request));
    logWarning("owner_unreachable")
        .field("request_id", Request.RequestId)
        .field("endpoint", Request.Endpoint)
        .field("owner", Owner.Node)
        .field("reason", Reason);
    co_return makeRefusal(Request, OwnerUnreachable);
  }

  void sendRelease(const OwnerAddress &Owner, GrantReleaseItem Item) {
    if (Owner.Node == Node_) {
      Local_.release(Item);
      return;
    }
    if (!Peers_)
      return;
    GrantReleaseMessage Body;
    Body.Items.push_back(std::move(Item));
    // A lost release ends with the grant's expiry or the endpoint's report.
    Peers_->call(Owner.Peer, packMessage(MessageKind::GrantRelease, Body),
                 CallTimeout, [](const CallResult &) {});
  }

  std::string Node_;
  OwnerService &Local_;
  OwnerDirectory &Directory_;
  PeerTransport *Peers_;
  std::mutex Mutex_; ///< guards Waits_
  std::unordered_map<std::string, std::shared_ptr<Waiting>> Waits_;
};

} // namespace

std::unique_ptr<OwnerClient> makeOwnerClient(std::string Node,
                                             OwnerService &Local,
                                             OwnerDirectory &Directory,
                                             PeerTransport *Peers) {
  return std::make_unique<OwnerClientImpl>(std::move(Node), Local, Directory,
                                           Peers);
}

} // namespace cassiashed
