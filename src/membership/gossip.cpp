#include "cassiashed/membership/gossip.h"

#include "cassiashed/base/hash.h"
#include "cassiashed/base/invariant.h"
#include <algorithm>
#include <bit>
#include <map>
#include <optional>
#include <tuple>

namespace cassiashed {
namespace {

using namespace std::chrono_literals;

// Dead members are kept, and contacted now and then, so that both sides of a
// partition that lasted minutes find each other again.
constexpr Duration DeadMemberTime = 15min;

constexpr Duration PartnerTime = 5s;

// Member lists that differ for this long are exchanged as a whole, at most once
// per interval: 360 records are about 16 KB.
constexpr Duration MismatchLimit = 10s;
constexpr Duration ListInterval = 30s;
constexpr std::size_t MaxListRecords = 1000; // fits into one message of 64 KiB

// Contact ages of a request count only if the reply that it echoes is younger.
constexpr std::uint32_t MaxEchoHoldMs = 5000;

// One of this many random contacts goes to a seed node or member that is lost.
constexpr std::uint64_t LostContactPeriod = 3;

struct Member {
  MemberRecord Record;
  TimePoint StateSince;
  std::optional<TimePoint> FirstFailure; ///< of calls without news since
  int Failures = 0;
  int Transmissions = 0; ///< how often the record is still to be passed on
  std::uint32_t EchoStamp = 0;
  TimePoint EchoAt;
};

auto orderOf(const MemberRecord &Record) {
  return std::tuple(Record.Incarnation, Record.Version,
                    static_cast<int>(Record.State));
}

class GossipState : public Gossip {
public:
  GossipState(GossipOptions Options, ConfigSync &Sync)
      : Options_(std::move(Options)), Sync_(Sync), Self_(Options_.Self) {
    CASSIASHED_INVARIANT(Options_.Partners + Options_.RandomContacts > 0,
                         "gossip without contacts");
    Self_.State = MemberState::Alive;
    Self_.Version = 0;
  }

  std::vector<GossipSend> tick(TimePoint Now, RandomSource &Random) override {
    start(Now);
    updateStates(Now);
    std::vector<GossipSend> Sends;
    const int Contacts = Options_.Partners + Options_.RandomContacts;
    const Duration Step = Duration(1000 / Contacts);
    if (Now - NextSend_ > 1s) // after a pause of the process
      NextSend_ = Now;
    while (Now >= NextSend_) {
      NextSend_ += Step;
      const int Slot = static_cast<int>(SlotCount_++ % Contacts);
      if (Slot < Options_.Partners && contactPartner(Slot, Now, Random, Sends))
        continue;
      contactOther(Now, Random, Sends);
    }
    return Sends;
  }

  GossipMessage receive(const GossipMessage &Message, TimePoint Now) override {
    start(Now);
    std::optional<TimePoint> SentAfter;
    if (Message.EchoStamp != 0 && Message.EchoHoldMs <= MaxEchoHoldMs &&
        Message.EchoIncarnation == lowBits(Self_.Incarnation)) {
      const TimePoint Echoed = Start_ + Duration(Message.EchoStamp - 1) +
                               Duration(Message.EchoHoldMs);
      // A stamp from the future is not one of this process.
      if (Echoed <= Now + 1s)
        SentAfter = std::min(Echoed, Now);
    }
    take(Message, SentAfter, Now);
    GossipMessage Reply = makeMessage(Message.Sender.Name, Now);
    if (Message.WantsMembers)
      Reply.Members = list();
    return Reply;
  }

  void onReply(std::uint64_t Id, const GossipMessage &Reply,
               TimePoint Now) override {
    const auto Found = Open_.find(Id);
    if (Found == Open_.end())
      return;
    const OpenCall Call = Found->second;
    Open_.erase(Found);
    ReceivingList_ = Call.WantedMembers;
    take(Reply, Call.Start, Now);
    ReceivingList_ = false;
    const auto Sender = Members_.find(Reply.Sender.Name);
    if (Sender != Members_.end()) {
      Sender->second.EchoStamp = Reply.Stamp;
      Sender->second.EchoAt = Now;
    }
    if (Reply.MemberDigest == digest())
      MismatchSince_.reset();
    else if (!MismatchSince_)
      MismatchSince_ = Now;
  }

  void onNoReply(std::uint64_t Id, TimePoint Now) override {
    const auto Found = Open_.find(Id);
    if (Found == Open_.end())
      return;
    const OpenCall Call = Found->second;
    Open_.erase(Found);
    std::erase(Partners_, Call.Name);
    const auto Target = Members_.find(Call.Name);
    if (Target == Members_.end())
      return;
    ++Target->second.Failures;
    if (!Target->second.FirstFailure)
      Target->second.FirstFailure = Call.Start;
    updateStates(Now);
  }

  void setLeaving() override {
    if (Self_.State == MemberState::Leaving)
      return;
    Self_.State = MemberState::Leaving;
    changeSelf();
  }

  std::vector<MemberRecord> members() const override {
    std::vector<MemberRecord> Result{Self_};
    for (const auto &Entry : Members_)
      Result.push_back(Entry.second.Record);
    std::sort(Result.begin(), Result.end(),
              [](const auto &A, const auto &B) { return A.Name < B.Name; });
    return Result;
  }

  std::vector<MemberRecord> liveMembers() const override {
    std::vector<MemberRecord> Result = members();
    std::erase_if(Result, [](const MemberRecord &Record) {
      return Record.State == MemberState::Leaving ||
             Record.State == MemberState::Dead;
    });
    return Result;
  }

private:
  struct OpenCall {
    std::string Name; ///< empty for an address without a known member
    TimePoint Start;
    bool WantedMembers = false;
  };

  static std::uint32_t lowBits(std::uint64_t Incarnation) {
    return static_cast<std::uint32_t>(Incarnation);
  }

  void start(TimePoint Now) {
    if (Started_)
      return;
    Started_ = true;
    Start_ = Now;
    NextSend_ = Now;
    PartnersChanged_ = Now;
  }

  /// About three times the rounds that an epidemic needs to reach everyone.
  int transmissions() const {
    return 3 * static_cast<int>(std::bit_width(Members_.size() + 1));
  }

  void changeSelf() { Digest_.reset(); }

  void setRecord(Member &Held, const MemberRecord &Record, TimePoint Now) {
    if (Held.Record.State != Record.State ||
        Held.Record.Incarnation != Record.Incarnation)
      Held.StateSince = Now;
    if (Held.Record.Incarnation != Record.Incarnation)
      Held.EchoStamp = 0;
    Held.Record = Record;
    Held.FirstFailure.reset();
    Held.Failures = 0;
    // A list that others have sent needs no spreading, suspicions do.
    Held.Transmissions = ReceivingList_ && Record.State != MemberState::Suspect
                             ? 0
                             : transmissions();
    Digest_.reset();
  }

  void changeState(Member &Held, MemberState State, TimePoint Now) {
    MemberRecord Record = Held.Record;
    Record.State = State;
    setRecord(Held, Record, Now);
  }

  void merge(MemberRecord Record, TimePoint Now) {
    // Each node waits itself for the denial of a suspicion.
    if (Record.State == MemberState::Dead)
      Record.State = MemberState::Suspect;
    if (Record.Name == Self_.Name) {
      if (Record.Incarnation == Self_.Incarnation &&
          Record.State == MemberState::Suspect &&
          Record.Version >= Self_.Version) {
        Self_.Version = Record.Version + 1;
        changeSelf();
      }
      return;
    }
    const auto Found = Members_.find(Record.Name);
    if (Found == Members_.end()) {
      Member &Added = Members_[Record.Name];
      Added.StateSince = Now;
      setRecord(Added, Record, Now);
    } else if (orderOf(Record) > orderOf(Found->second.Record)) {
      setRecord(Found->second, Record, Now);
    }
  }

  void take(const GossipMessage &Message, std::optional<TimePoint> SentAfter,
            TimePoint Now) {
    if (Message.Sender.Name != Self_.Name) {
      merge(Message.Sender, Now);
      Member &Sender = Members_[Message.Sender.Name];
      if (Sender.Record.Incarnation == Message.Sender.Incarnation) {
        Sender.FirstFailure.reset();
        Sender.Failures = 0;
      }
    }
    for (const MemberRecord &Record : Message.Members)
      merge(Record, Now);
    Sync_.absorb(Message, SentAfter, Now);
  }

  void updateStates(TimePoint Now) {
    for (auto It = Members_.begin(); It != Members_.end();) {
      Member &Held = It->second;
      const MemberState State = Held.Record.State;
      if (State == MemberState::Dead &&
          Now - Held.StateSince > DeadMemberTime) {
        It = Members_.erase(It);
        continue;
      }
      if (State == MemberState::Suspect &&
          Now - Held.StateSince >= Options_.DeadAfter) {
        changeState(Held, MemberState::Dead, Now);
        Held.Transmissions = 0;
      } else if (State < MemberState::Suspect && Held.FirstFailure &&
                 Held.Failures >= 2 &&
                 Now - *Held.FirstFailure >= Options_.SuspectAfter) {
        changeState(Held, MemberState::Suspect, Now);
      }
      ++It;
    }
  }

  template <typename Predicate>
  std::vector<std::string> namesOf(Predicate Matches) const {
    std::vector<std::string> Names;
    for (const auto &Entry : Members_)
      if (Matches(Entry.second))
        Names.push_back(Entry.first);
    return Names;
  }

  bool isLive(const std::string &Name) const {
    const auto Found = Members_.find(Name);
    return Found != Members_.end() &&
           Found->second.Record.State != MemberState::Dead;
  }

  static const std::string &pick(const std::vector<std::string> &Names,
                                 RandomSource &Random) {
    return Names[Random() % Names.size()];
  }

  /// A live member that is no partner yet; empty if there is none.
  std::string pickNewContact(RandomSource &Random) const {
    const auto Names = namesOf([this](const Member &Held) {
      return Held.Record.State != MemberState::Dead &&
             std::find(Partners_.begin(), Partners_.end(), Held.Record.Name) ==
                 Partners_.end();
    });
    return Names.empty() ? std::string() : pick(Names, Random);
  }

  bool contactPartner(int Slot, TimePoint Now, RandomSource &Random,
                      std::vector<GossipSend> &Sends) {
    std::erase_if(Partners_,
                  [this](const std::string &Name) { return !isLive(Name); });
    if (!Partners_.empty() && Now - PartnersChanged_ >= PartnerTime) {
      PartnersChanged_ = Now;
      const std::string Next = pickNewContact(Random);
      if (!Next.empty())
        Partners_.front() = Next;
      std::rotate(Partners_.begin(), Partners_.begin() + 1, Partners_.end());
    }
    while (static_cast<int>(Partners_.size()) < Options_.Partners) {
      const std::string Next = pickNewContact(Random);
      if (Next.empty())
        break;
      Partners_.push_back(Next);
    }
    if (Slot >= static_cast<int>(Partners_.size()))
      return false;
    contactMember(Partners_[Slot], Now, Sends);
    return true;
  }

  void contactOther(TimePoint Now, RandomSource &Random,
                    std::vector<GossipSend> &Sends) {
    ++RandomCount_;
    const auto Live = namesOf([](const Member &Held) {
      return Held.Record.State != MemberState::Dead;
    });
    if (Live.empty() || RandomCount_ % LostContactPeriod == 0) {
      const std::string Address = pickLostAddress(Random);
      if (!Address.empty())
        return contactAddress(Address, Now, Sends);
    }
    if (Live.empty())
      return;
    const auto Doubtful = namesOf([](const Member &Held) {
      return Held.FirstFailure && Held.Record.State < MemberState::Suspect;
    });
    if (!Doubtful.empty() && RandomCount_ % LostContactPeriod != 1)
      return contactMember(pick(Doubtful, Random), Now, Sends);
    const std::string Next = pickNewContact(Random);
    contactMember(Next.empty() ? pick(Live, Random) : Next, Now, Sends);
  }

  /// A seed node that is not a live member, or a dead member.
  std::string pickLostAddress(RandomSource &Random) const {
    std::vector<std::string> Lost;
    for (const std::string &Seed : Options_.Seeds) {
      const bool Known =
          Seed == Self_.Address ||
          std::any_of(Members_.begin(), Members_.end(), [&](const auto &Entry) {
            return Entry.second.Record.Address == Seed;
          });
      if (!Known)
        Lost.push_back(Seed);
    }
    for (const auto &Entry : Members_)
      if (Entry.second.Record.State == MemberState::Dead)
        Lost.push_back(Entry.second.Record.Address);
    return Lost.empty() ? std::string() : pick(Lost, Random);
  }

  void contactAddress(const std::string &Address, TimePoint Now,
                      std::vector<GossipSend> &Sends) {
    for (const auto &Entry : Members_)
      if (Entry.second.Record.Address == Address)
        return contactMember(Entry.first, Now, Sends);
    send({}, Address, Now, Sends);
  }

  void contactMember(const std::string &Name, TimePoint Now,
                     std::vector<GossipSend> &Sends) {
    send(Name, Members_.at(Name).Record.Address, Now, Sends);
  }

  void send(const std::string &Name, const std::string &Address, TimePoint Now,
            std::vector<GossipSend> &Sends) {
    GossipSend Next;
    Next.Id = ++LastId_;
    Next.Address = Address;
    Next.Message = makeMessage(Name, Now);
    const auto Target = Members_.find(Name);
    if (Target != Members_.end() && Target->second.EchoStamp != 0) {
      Next.Message.EchoStamp = Target->second.EchoStamp;
      Next.Message.EchoHoldMs = static_cast<std::uint32_t>(
          std::chrono::floor<Duration>(Now - Target->second.EchoAt).count());
      Next.Message.EchoIncarnation = lowBits(Target->second.Record.Incarnation);
    }
    const bool ListDue = !LastList_ || Now - *LastList_ >= ListInterval;
    if (Members_.empty() ||
        (MismatchSince_ && Now - *MismatchSince_ >= MismatchLimit && ListDue)) {
      Next.Message.WantsMembers = true;
      LastList_ = Now;
    }
    Open_[Next.Id] = {Name, Now, Next.Message.WantsMembers};
    Sends.push_back(std::move(Next));
  }

  GossipMessage makeMessage(const std::string &Receiver, TimePoint Now) {
    GossipMessage Message;
    Message.Sender = Self_;
    Message.MemberDigest = digest();
    Message.Stamp = static_cast<std::uint32_t>(
        std::chrono::floor<Duration>(Now - Start_).count() + 1);
    Sync_.fill(Message, Now);
    std::vector<Member *> Pending;
    for (auto &Entry : Members_)
      if (Entry.second.Transmissions > 0 && Entry.first != Receiver)
        Pending.push_back(&Entry.second);
    std::sort(Pending.begin(), Pending.end(),
              [](const Member *A, const Member *B) {
                return A->Transmissions > B->Transmissions;
              });
    if (Pending.size() > Options_.MaxChanges)
      Pending.resize(Options_.MaxChanges);
    for (Member *Changed : Pending) {
      --Changed->Transmissions;
      Message.Members.push_back(Changed->Record);
    }
    // A member that is taken for suspect or dead must learn it to deny it.
    const auto Target = Members_.find(Receiver);
    if (Target != Members_.end() &&
        Target->second.Record.State >= MemberState::Suspect)
      Message.Members.push_back(Target->second.Record);
    return Message;
  }

  std::vector<MemberRecord> list() const {
    std::vector<MemberRecord> Records;
    for (const auto &Entry : Members_)
      if (Entry.second.Record.State != MemberState::Dead &&
          Records.size() < MaxListRecords)
        Records.push_back(Entry.second.Record);
    return Records;
  }

  static std::uint64_t hashRecord(const MemberRecord &Record) {
    return hashBytes(Record.Name, Record.Incarnation * 1000003 +
                                      Record.Version * 8 +
                                      static_cast<int>(Record.State));
  }

  std::uint32_t digest() {
    if (!Digest_) {
      std::uint64_t Sum = hashRecord(Self_);
      for (const auto &Entry : Members_)
        if (Entry.second.Record.State != MemberState::Dead)
          Sum += hashRecord(Entry.second.Record);
      Digest_ = static_cast<std::uint32_t>(Sum);
    }
    return *Digest_;
  }

  GossipOptions Options_;
  ConfigSync &Sync_;
  MemberRecord Self_;
  std::map<std::string, Member> Members_; ///< without this node
  std::vector<std::string> Partners_;
  std::map<std::uint64_t, OpenCall> Open_;
  std::optional<std::uint32_t> Digest_;
  std::optional<TimePoint> MismatchSince_, LastList_;
  bool Started_ = false, ReceivingList_ = false;
  TimePoint Start_, NextSend_, PartnersChanged_;
  std::uint64_t SlotCount_ = 0, RandomCount_ = 0, LastId_ = 0;
};

} // namespace

std::unique_ptr<Gossip> makeGossip(GossipOptions Options, ConfigSync &Sync) {
  return std::make_unique<GossipState>(std::move(Options), Sync);
}

} // namespace cassiashed
