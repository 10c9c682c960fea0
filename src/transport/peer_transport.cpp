#include "cassiashed/transport/peer_transport.h"

#include "cassiashed/base/event_log.h"
#include "cassiashed/base/invariant.h"
#include "cassiashed/wire/config_messages.h"
#include "transport/nng_handles.h"
#include "transport/work_queue.h"
#include <atomic>
#include <map>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>
#include <set>

// Lock order: ReplyGate::Mutex before nng's own locks. Transport::Mutex_ is
// never held while nng or user code is called.
namespace cassiashed {
namespace {

using SteadyTime = std::chrono::steady_clock;

// nng sends an 8-byte length and a 4-byte request number with each message.
constexpr std::uint64_t FramingBytes = 12;

// A connection that went silent in a partition retransmits at intervals of up
// to two minutes, so it is replaced after this many calls without a reply.
constexpr int MaxSilentCalls = 3;

struct TrafficCounters {
  std::atomic<std::uint64_t> MessagesIn = 0, MessagesOut = 0;
  std::atomic<std::uint64_t> BytesIn = 0, BytesOut = 0;

  void countIn(std::size_t Bytes) {
    MessagesIn += 1;
    BytesIn += Bytes + FramingBytes;
  }
  void countOut(std::size_t Bytes) {
    MessagesOut += 1;
    BytesOut += Bytes + FramingBytes;
  }
  TrafficTotals totals() const {
    return {MessagesIn, MessagesOut, BytesIn, BytesOut};
  }
};

/// Codec, replay guard and counters; outlives the sockets while replies are
/// held by handlers.
struct Identity {
  explicit Identity(const PeerTransportOptions &Options)
      : Codec(Options.ClusterKey), NodeName(Options.NodeName),
        Incarnation(Options.Incarnation) {}

  const EnvelopeCodec Codec;
  const std::string NodeName;
  const std::uint64_t Incarnation;
  ReplayGuard Replays;
  std::atomic<std::uint64_t> Sequence = 0;
  TrafficCounters Control, Request;
  std::atomic<std::uint64_t> Unauthenticated = 0, Replayed = 0;

  TrafficCounters &countersOf(MessageKind Kind) {
    return trafficClassOf(Kind) == TrafficClass::Request ? Request : Control;
  }

  std::optional<std::string> seal(Message Content, std::string &Reason) {
    const Envelope Sealed{Content.Kind, NodeName, Incarnation, ++Sequence,
                          std::move(Content.Body)};
    return Codec.encode(Sealed, Reason);
  }

  std::optional<Envelope> open(std::string_view Bytes, std::string &Reason) {
    auto Opened = Codec.decode(Bytes, Reason);
    if (!Opened) {
      ++Unauthenticated;
    } else if (!Replays.accept(Opened->Sender, Opened->SenderIncarnation,
                               Opened->Sequence)) {
      ++Replayed;
      Reason = "repeated sequence number";
      Opened.reset();
    }
    return Opened;
  }
};

/// Connection to one peer. Destroyed on a worker, since closing may wait.
struct Peer {
  NngSocket Socket;
  std::atomic<int> SilentCalls = 0;
  SteadyTime::time_point LastUse; // guarded by Transport::Mutex_
};

Message makeFailure(std::string Reason) {
  return packMessage(MessageKind::Failure, FailureReply{std::move(Reason)});
}

class Transport;

/// One call from sending to its reply. nng completes it on its own threads;
/// the callback runs on a worker.
struct PendingCall {
  Transport *Owner = nullptr;
  std::string Address;
  std::shared_ptr<Peer> Connection;
  MessageKind Kind = MessageKind::Failure;
  CallCallback Callback;
  SteadyTime::time_point Deadline;
  NngMessage Request;
  NngContext Context;
  NngAio Aio; // freed before the context: waits for nng's callback
  bool Sent = false;
  std::size_t SentBytes = 0;
};

/// One rep0 context: receives a request, waits for the reply, sends it.
struct Slot {
  Transport *Owner = nullptr;
  NngContext Context;
  NngAio Aio;
  bool Sending = false;
  MessageKind Kind = MessageKind::Failure;
  std::size_t ReplyBytes = 0;
};

/// Lets replies that outlive the transport do nothing.
struct ReplyGate {
  std::mutex Mutex;
  Transport *Owner = nullptr;
};

void onCallEvent(void *Argument);
void onSlotEvent(void *Argument);

class Transport : public PeerTransport {
public:
  Transport(PeerTransportOptions Options, MessageHandler Handler)
      : Options_(std::move(Options)), Handler_(std::move(Handler)),
        Self_(Options_), Workers_(Options_.WorkerCount) {
    CASSIASHED_INVARIANT(Options_.WorkerCount > 0, "transport needs a worker");
    Gate_->Owner = this;
  }

  ~Transport() override {
    {
      const std::lock_guard Lock(Gate_->Mutex);
      Gate_->Owner = nullptr;
    }
    {
      const std::lock_guard Lock(Mutex_);
      Closing_ = true;
    }
    // Contexts are closed before their sockets: nng 1.5 ends the process when
    // a context is closed while its socket is being closed.
    for (auto &Entry : Slots_)
      nng_aio_stop(Entry->Aio.get());
    {
      std::unique_lock Lock(Mutex_);
      // Repeated, since a call between sending and receiving misses the abort.
      do {
        for (const PendingCall *Call : OpenCalls_)
          nng_aio_abort(Call->Aio.get(), NNG_ECLOSED);
      } while (!Idle_.wait_for(Lock, std::chrono::milliseconds(10),
                               [this] { return OpenCalls_.empty(); }));
    }
    Workers_.finish();
    Slots_.clear();
  }

  bool listen(std::string &Reason) {
    nng_socket Socket;
    int Error = nng_rep0_open(&Socket);
    if (Error == 0) {
      Listener_ = NngSocket(Socket);
      nng_socket_set_size(Socket, NNG_OPT_RECVMAXSZ, MaxMessageBytes);
      const std::string Url = "tcp://" + Options_.ListenAddress;
      nng_listener Listener;
      Error = nng_listener_create(&Listener, Socket, Url.c_str());
      if (Error == 0) {
        nng_listener_set_bool(Listener, NNG_OPT_TCP_KEEPALIVE, true);
        Error = nng_listener_start(Listener, 0);
      }
      if (Error == 0)
        Error = nng_listener_get_int(Listener, NNG_OPT_TCP_BOUND_PORT, &Port_);
    }
    for (int Index = 0; Error == 0 && Index < Options_.MaxOpenRequests;
         ++Index) {
      auto Next = std::make_unique<Slot>();
      Next->Owner = this;
      nng_aio *Aio = nullptr;
      Error = nng_aio_alloc(&Aio, onSlotEvent, Next.get());
      Next->Aio.reset(Aio);
      if (Error == 0)
        Error = Next->Context.open(Socket);
      if (Error == 0)
        Slots_.push_back(std::move(Next));
    }
    if (Error != 0) {
      Reason = "cannot listen on " + Options_.ListenAddress + ": " +
               nng_strerror(Error);
      return false;
    }
    for (auto &Entry : Slots_)
      nng_ctx_recv(Entry->Context.get(), Entry->Aio.get());
    return true;
  }

  void call(const std::string &Address, Message Content, Duration Timeout,
            CallCallback Callback) override {
    auto Call = std::make_unique<PendingCall>();
    Call->Owner = this;
    Call->Address = Address;
    Call->Kind = Content.Kind;
    Call->Callback = std::move(Callback);
    Call->Deadline = SteadyTime::now() + Timeout;
    CallResult Result;
    Result.Failure = CallFailure::NotSent;
    const auto Bytes = Self_.seal(std::move(Content), Result.Reason);
    if (!Bytes)
      return failCall(std::move(Call), std::move(Result));
    Call->SentBytes = Bytes->size();
    Call->Request = makeNngMessage(*Bytes);
    int Error = Call->Request ? 0 : NNG_ENOMEM;
    if (Error == 0) {
      nng_aio *Aio = nullptr;
      Error = nng_aio_alloc(&Aio, onCallEvent, Call.get());
      Call->Aio.reset(Aio);
    }
    if (Error == 0)
      Error = connectTo(Address, *Call);
    if (Error == 0)
      Error = Call->Context.open(Call->Connection->Socket.get());
    if (Error != 0) {
      if (Error == NNG_ECLOSED)
        Result.Failure = CallFailure::Closed;
      Result.Reason = Address + ": " + nng_strerror(Error);
      return failCall(std::move(Call), std::move(Result));
    }
    nng_aio_set_timeout(Call->Aio.get(),
                        static_cast<nng_duration>(Timeout.count()));
    nng_aio_set_msg(Call->Aio.get(), Call->Request.release());
    PendingCall *Started = Call.release(); // owned by its completion
    nng_ctx_send(Started->Context.get(), Started->Aio.get());
  }

  int port() const override { return Port_; }

  TransportTotals totals() const override {
    TransportTotals Totals;
    Totals.Control = Self_.Control.totals();
    Totals.Request = Self_.Request.totals();
    Totals.DroppedUnauthenticated = Self_.Unauthenticated;
    Totals.DroppedReplayed = Self_.Replayed;
    return Totals;
  }

  /// Runs on an nng thread when a call was sent, answered or failed.
  void advanceCall(PendingCall *Call) {
    const int Error = nng_aio_result(Call->Aio.get());
    if (Error == 0 && !Call->Sent) {
      Call->Sent = true;
      Self_.countersOf(Call->Kind).countOut(Call->SentBytes);
      const auto Left = std::chrono::duration_cast<Duration>(Call->Deadline -
                                                             SteadyTime::now());
      nng_aio_set_timeout(
          Call->Aio.get(),
          static_cast<nng_duration>(std::max<std::int64_t>(Left.count(), 1)));
      nng_ctx_recv(Call->Context.get(), Call->Aio.get());
      return;
    }
    Workers_.push([this, Call, Error] { completeCall(Call, Error); });
  }

  /// Runs on an nng thread when a request arrived or a reply was sent.
  void advanceSlot(Slot *Entry) {
    const int Error = nng_aio_result(Entry->Aio.get());
    if (Entry->Sending) {
      Entry->Sending = false;
      if (Error != 0)
        NngMessage(nng_aio_get_msg(Entry->Aio.get()));
      else
        Self_.countersOf(Entry->Kind).countOut(Entry->ReplyBytes);
      if (Error != NNG_ECLOSED && Error != NNG_ECANCELED)
        nng_ctx_recv(Entry->Context.get(), Entry->Aio.get());
      return;
    }
    if (Error == NNG_ECLOSED || Error == NNG_ECANCELED)
      return;
    if (Error != 0) {
      nng_ctx_recv(Entry->Context.get(), Entry->Aio.get());
      return;
    }
    auto Content =
        std::make_shared<NngMessage>(nng_aio_get_msg(Entry->Aio.get()));
    Workers_.push([this, Entry, Content] { handle(Entry, *Content); });
  }

  void reply(Slot *Entry, Message Content) {
    std::string Reason;
    auto Bytes = Self_.seal(std::move(Content), Reason);
    if (!Bytes) // larger than 64 KiB
      Bytes = Self_.seal(makeFailure(Reason), Reason);
    NngMessage Sealed = makeNngMessage(*Bytes);
    CASSIASHED_INVARIANT(Sealed, "memory exhausted");
    Entry->Sending = true;
    Entry->ReplyBytes = Bytes->size();
    nng_aio_set_msg(Entry->Aio.get(), Sealed.release());
    nng_ctx_send(Entry->Context.get(), Entry->Aio.get());
  }

private:
  /// The handler's obligation to reply to one request.
  struct PendingReply {
    std::shared_ptr<ReplyGate> Gate;
    Slot *Entry;
    std::atomic<bool> Done = false;

    PendingReply(std::shared_ptr<ReplyGate> Gate, Slot *Entry)
        : Gate(std::move(Gate)), Entry(Entry) {}
    PendingReply(const PendingReply &) = delete;
    PendingReply &operator=(const PendingReply &) = delete;
    ~PendingReply() { send(makeFailure("the request was not handled")); }

    void send(Message Content) {
      if (Done.exchange(true))
        return;
      const std::lock_guard Lock(Gate->Mutex);
      if (Gate->Owner)
        Gate->Owner->reply(Entry, std::move(Content));
    }
  };

  /// Reports a call that was never started, on a worker like all others.
  void failCall(std::unique_ptr<PendingCall> Call, CallResult Result) {
    std::shared_ptr<PendingCall> Shared = std::move(Call);
    Workers_.push([this, Shared, Result = std::move(Result)]() mutable {
      Shared->Callback(std::move(Result));
      endCall(Shared.get());
    });
  }

  bool isClosing() {
    const std::lock_guard Lock(Mutex_);
    return Closing_;
  }

  void endCall(PendingCall *Call) {
    const std::lock_guard Lock(Mutex_);
    if (OpenCalls_.erase(Call) > 0 && OpenCalls_.empty())
      Idle_.notify_all();
  }

  /// Finds or makes the connection and counts the call as open. Returns an
  /// nng error number.
  int connectTo(const std::string &Address, PendingCall &Call) {
    const auto Now = SteadyTime::now();
    std::vector<std::shared_ptr<Peer>> Unused;
    {
      const std::lock_guard Lock(Mutex_);
      if (Closing_)
        return NNG_ECLOSED;
      for (auto It = Peers_.begin(); It != Peers_.end();) {
        if (Now - It->second->LastUse > Options_.PeerIdleLimit &&
            It->second.use_count() == 1) {
          Unused.push_back(std::move(It->second));
          It = Peers_.erase(It);
        } else {
          ++It;
        }
      }
      const auto Found = Peers_.find(Address);
      if (Found != Peers_.end()) {
        Found->second->LastUse = Now;
        Call.Connection = Found->second;
        OpenCalls_.insert(&Call);
      }
    }
    if (!Unused.empty())
      Workers_.push([Unused = std::move(Unused)]() mutable { Unused.clear(); });
    if (Call.Connection)
      return 0;
    nng_socket Socket;
    int Error = nng_req0_open(&Socket);
    if (Error != 0)
      return Error;
    auto Opened = std::make_shared<Peer>();
    Opened->Socket = NngSocket(Socket);
    Opened->LastUse = Now;
    // nng does not repeat calls: a lost connection ends them with an error.
    nng_socket_set_ms(Socket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
    nng_socket_set_size(Socket, NNG_OPT_RECVMAXSZ, MaxMessageBytes);
    nng_socket_set_ms(Socket, NNG_OPT_RECONNMINT, 50);
    nng_socket_set_ms(Socket, NNG_OPT_RECONNMAXT, 1000);
    Error = nng_dial(Socket, ("tcp://" + Address).c_str(), nullptr,
                     NNG_FLAG_NONBLOCK);
    if (Error != 0)
      return Error;
    const std::lock_guard Lock(Mutex_);
    if (Closing_)
      return NNG_ECLOSED;
    // Another thread may have connected meanwhile; its connection is kept.
    Call.Connection = Peers_.emplace(Address, Opened).first->second;
    OpenCalls_.insert(&Call);
    return 0;
  }

  void completeCall(PendingCall *Finished, int Error) {
    const std::unique_ptr<PendingCall> Call(Finished);
    nng_aio_wait(Call->Aio.get());
    NngMessage Content;
    if (Error == 0 || !Call->Sent)
      Content.reset(nng_aio_get_msg(Call->Aio.get()));
    CallResult Result;
    if (Error != 0 && isClosing()) {
      Result.Failure = CallFailure::Closed;
      Result.Reason = "transport closed";
    } else if (Error != 0) {
      Result.Failure = Call->Sent ? CallFailure::NoReply : CallFailure::NotSent;
      Result.Reason = Call->Address + ": " + nng_strerror(Error);
      if (++Call->Connection->SilentCalls >= MaxSilentCalls)
        disconnect(*Call);
    } else {
      Call->Connection->SilentCalls = 0;
      Self_.countersOf(Call->Kind).countIn(bytesOf(Content).size());
      auto Opened = Self_.open(bytesOf(Content), Result.Reason);
      if (!Opened) {
        Result.Failure = CallFailure::BadReply;
      } else {
        Result.Sender = std::move(Opened->Sender);
        Result.SenderIncarnation = Opened->SenderIncarnation;
        Result.Reply = {Opened->Kind, std::move(Opened->Body)};
        if (Result.Reply.Kind == MessageKind::Failure) {
          Result.Failure = CallFailure::Rejected;
          const auto Body =
              unpackBody<FailureReply>(Result.Reply.Body, Result.Reason);
          if (Body)
            Result.Reason = Call->Address + ": " + Body->Reason;
        }
      }
    }
    Call->Callback(std::move(Result));
    Call->Callback = nullptr;
    endCall(Call.get());
  }

  /// The next call to this address makes a new connection.
  void disconnect(const PendingCall &Call) {
    const std::lock_guard Lock(Mutex_);
    const auto Found = Peers_.find(Call.Address);
    if (Found != Peers_.end() && Found->second == Call.Connection)
      Peers_.erase(Found);
  }

  void handle(Slot *Entry, const NngMessage &Content) {
    nng_aio_wait(Entry->Aio.get());
    std::string Reason;
    auto Opened = Self_.open(bytesOf(Content), Reason);
    if (!Opened) {
      // The request is forgotten; its sender runs into its timeout.
      nng_ctx_recv(Entry->Context.get(), Entry->Aio.get());
      return;
    }
    Entry->Kind = Opened->Kind;
    Self_.countersOf(Entry->Kind).countIn(bytesOf(Content).size());
    const auto Pending = std::make_shared<PendingReply>(Gate_, Entry);
    ReceivedMessage Received{{Opened->Kind, std::move(Opened->Body)},
                             std::move(Opened->Sender),
                             Opened->SenderIncarnation};
    Handler_(std::move(Received),
             [Pending](Message Reply) { Pending->send(std::move(Reply)); });
  }

  const PeerTransportOptions Options_;
  const MessageHandler Handler_;
  Identity Self_;
  const std::shared_ptr<ReplyGate> Gate_ = std::make_shared<ReplyGate>();
  NngSocket Listener_;
  int Port_ = 0;
  std::vector<std::unique_ptr<Slot>> Slots_;
  std::mutex Mutex_; // guards the members below
  std::condition_variable Idle_;
  std::map<std::string, std::shared_ptr<Peer>> Peers_;
  std::set<PendingCall *> OpenCalls_;
  bool Closing_ = false;
  WorkQueue Workers_;
};

void onCallEvent(void *Argument) {
  auto *Call = static_cast<PendingCall *>(Argument);
  Call->Owner->advanceCall(Call);
}

void onSlotEvent(void *Argument) {
  auto *Entry = static_cast<Slot *>(Argument);
  Entry->Owner->advanceSlot(Entry);
}

} // namespace

std::unique_ptr<PeerTransport> makePeerTransport(PeerTransportOptions Options,
                                                 MessageHandler Handler,
                                                 std::string &Reason) {
  auto Result =
      std::make_unique<Transport>(std::move(Options), std::move(Handler));
  if (!Result->listen(Reason))
    return nullptr;
  return Result;
}

} // namespace cassiashed
