#include "node/gossip_service.h"

#include "cassiashed/base/event_log.h"
#include "cassiashed/wire/config_messages.h"
#include "cassiashed/wire/membership_messages.h"
#include <array>
#include <map>
#include <random>

namespace cassiashed {
namespace {

using http::Task;

constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr Duration ReplyTimeout = std::chrono::seconds(1);

class GossipServiceImpl final
    : public GossipService,
      public std::enable_shared_from_this<GossipServiceImpl> {
public:
  GossipServiceImpl(http::asio::io_context &Context, MembershipState &State,
                    PeerTransport &Peers, MemberLost Lost)
      : Context_(Context), State_(State), Peers_(Peers), Lost_(std::move(Lost)),
        Random_(std::random_device()()) {}

  void start() override {
    http::asio::co_spawn(http::asio::make_strand(Context_),
                         loop(shared_from_this()), http::asio::detached);
  }

  Message answer(const ReceivedMessage &Received) override {
    std::string Reason;
    const auto Body = unpackBody<GossipMessage>(Received.Content.Body, Reason);
    if (!Body)
      return packMessage(MessageKind::Failure, FailureReply{Reason});
    const std::lock_guard Lock(State_.Mutex);
    return packMessage(MessageKind::GossipReply,
                       State_.Members->receive(*Body, Clock_.now()));
  }

  std::string addressOf(const std::string &Node) const override {
    const std::lock_guard Lock(State_.Mutex);
    for (const MemberRecord &Member : State_.Members->members())
      if (Member.Name == Node)
        return Member.Address;
    return {};
  }

  bool isKnownLost(const std::string &Node,
                   std::uint64_t Incarnation) const override {
    const std::lock_guard Lock(State_.Mutex);
    for (const MemberRecord &Member : State_.Members->members())
      if (Member.Name == Node)
        return Member.Incarnation > Incarnation ||
               (Member.Incarnation == Incarnation &&
                Member.State == MemberState::Dead);
    return false;
  }

  bool mayBeRunning(const std::string &Node,
                    std::uint64_t Incarnation) const override {
    const std::lock_guard Lock(State_.Mutex);
    for (const MemberRecord &Member : State_.Members->members())
      if (Member.Name == Node)
        return Member.Incarnation == Incarnation &&
               Member.State != MemberState::Dead;
    return false;
  }

private:
  static Task<void> loop(std::shared_ptr<GossipServiceImpl> Self) {
    while (true) {
      Self->sendDue();
      Self->noticeLosses();
      co_await http::sleepFor(TickInterval);
    }
  }

  void sendDue() {
    std::vector<GossipSend> Due;
    {
      const std::lock_guard Lock(State_.Mutex);
      Due = State_.Members->tick(Clock_.now(), Random_);
    }
    for (GossipSend &Send : Due)
      Peers_.call(Send.Address, packMessage(MessageKind::Gossip, Send.Message),
                  ReplyTimeout,
                  [Self = shared_from_this(), Id = Send.Id](CallResult Result) {
                    Self->takeReply(Id, Result);
                  });
  }

  void takeReply(std::uint64_t Id, const CallResult &Result) {
    std::string Reason;
    std::optional<GossipMessage> Reply;
    if (Result.Failure == CallFailure::None)
      Reply = unpackBody<GossipMessage>(Result.Reply.Body, Reason);
    const std::lock_guard Lock(State_.Mutex);
    if (Reply)
      State_.Members->onReply(Id, *Reply, Clock_.now());
    else
      State_.Members->onNoReply(Id, Clock_.now());
  }

  /// Reports members that died or came back with a new incarnation.
  void noticeLosses() {
    std::vector<MemberRecord> Members;
    {
      const std::lock_guard Lock(State_.Mutex);
      Members = State_.Members->members();
    }
    for (const MemberRecord &Member : Members) {
      Seen &Last = Seen_[Member.Name];
      const bool Died =
          Member.State == MemberState::Dead && Last.State != MemberState::Dead;
      const bool Restarted =
          Last.Incarnation != 0 && Member.Incarnation > Last.Incarnation;
      if (Member.State != Last.State || Restarted)
        logEvent("member_state")
            .field("member", Member.Name)
            .field("state", StateNames[static_cast<std::size_t>(Member.State)])
            .field("incarnation", Member.Incarnation);
      Last = {Member.State, Member.Incarnation};
      if (Died || Restarted)
        Lost_(Member.Name);
    }
  }

  struct Seen {
    MemberState State = MemberState::Alive;
    std::uint64_t Incarnation = 0;
  };
  static constexpr std::array<const char *, 4> StateNames = {"alive", "leaving",
                                                             "suspect", "dead"};

  SteadyClock Clock_;
  http::asio::io_context &Context_;
  MembershipState &State_;
  PeerTransport &Peers_;
  MemberLost Lost_;
  RandomSource Random_;              ///< used on the loop's strand only
  std::map<std::string, Seen> Seen_; ///< used on the loop's strand only
};

} // namespace

std::shared_ptr<GossipService>
makeGossipService(http::asio::io_context &Context, MembershipState &State,
                  PeerTransport &Peers, MemberLost Lost) {
  return std::make_shared<GossipServiceImpl>(Context, State, Peers,
                                             std::move(Lost));
}

} // namespace cassiashed
