#include "node/recorded_call.h"

#include "cassiashed/base/event_log.h"
#include "cassiashed/base/hash.h"
#include "node/one_shot.h"
#include <deque>

namespace cassiashed {
namespace {

using http::Task;
using Step = std::function<CallActions(CallRecorder &, TimePoint)>;

std::int64_t unixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

CallRequest makeCallRequest(const RecordedCallContext &Context,
                            const ServiceCall &Call) {
  CallRequest Request;
  Request.RowKey = callRowKey(Call.Workspace, Call.Key);
  Request.RequestHash = hashHex(Call.Path + '\n' + Call.Body);
  Request.Attempt = Call.RequestId;
  Request.Node = Context.Node;
  Request.Incarnation = Context.Incarnation;
  Request.NowMs = unixMilliseconds();
  Request.Deadline = Call.Deadline;
  return Request;
}

/// Connects one `CallRecorder` to the table, the object store and the service.
/// All members are used on one strand.
class RecordedCall : public std::enable_shared_from_this<RecordedCall> {
public:
  RecordedCall(RecordedCallContext Context, ServiceCall Call,
               std::shared_ptr<ServiceSender> Sender,
               http::asio::any_io_executor Executor)
      : Context_(std::move(Context)), Call_(std::move(Call)),
        Sender_(std::move(Sender)), Executor_(Executor), Wake_(Executor),
        Recorder_(makeCallRequest(Context_, Call_), Context_.IsAlive) {}

  Task<void> drive(std::shared_ptr<OneShot<ServiceAnswer>> Answer) {
    Answer_ = std::move(Answer);
    perform(Recorder_.start(Clock_.now()));
    while (!Recorder_.isFinished() || SendsOpen_ > 0) {
      if (Steps_.empty()) {
        Wake_.expires_at(Recorder_.isFinished() ? TimePoint::max()
                                                : Recorder_.nextTick());
        boost::system::error_code Ignored;
        co_await Wake_.async_wait(
            http::asio::redirect_error(http::asio::use_awaitable, Ignored));
      }
      if (Steps_.empty()) {
        perform(Recorder_.tick(Clock_.now()));
        continue;
      }
      const Step Next = std::move(Steps_.front());
      Steps_.pop_front();
      perform(Next(Recorder_, Clock_.now()));
    }
  }

private:
  /// Adds a step from any thread.
  void push(Step Next) {
    http::asio::post(Executor_, [Self = shared_from_this(),
                                 Next = std::move(Next)]() mutable {
      Self->Steps_.push_back(std::move(Next));
      Self->Wake_.cancel();
    });
  }

  RowCallback rowCallback() {
    return [Self = shared_from_this()](const RowResult &Row) {
      Self->push([Row](CallRecorder &Recorder, TimePoint Now) {
        return Recorder.onRow(Row, Now);
      });
    };
  }

  void perform(CallActions Actions) {
    for (CallAction &Action : Actions)
      perform(std::move(Action));
  }

  void perform(CallAction Action) {
    switch (Action.Kind) {
    case CallActionKind::Write:
      Context_.Table->write(std::move(Action.Write), rowCallback());
      break;
    case CallActionKind::Read:
      Context_.Table->read(std::move(Action.Key), rowCallback());
      break;
    case CallActionKind::Send:
      ++SendsOpen_;
      http::asio::co_spawn(Executor_, send(shared_from_this()),
                           http::asio::detached);
      break;
    case CallActionKind::StoreObject:
      storeObject(std::move(Action.Outcome));
      break;
    case CallActionKind::Answer:
      http::asio::co_spawn(Executor_,
                           answer(shared_from_this(), std::move(Action)),
                           http::asio::detached);
      break;
    }
  }

  static Task<void> send(std::shared_ptr<RecordedCall> Self) {
    const auto MaySend = [Self] {
      return Self->Recorder_.maySend(Self->Clock_.now());
    };
    SendResult Result =
        co_await Self->Sender_->sendToNext(Self->Call_, MaySend);
    --Self->SendsOpen_;
    Self->Steps_.push_back(
        [Result = std::move(Result)](CallRecorder &Recorder, TimePoint Now) {
          return reportSend(Recorder, Result, Now);
        });
    Self->Wake_.cancel();
  }

  static CallActions reportSend(CallRecorder &Recorder,
                                const SendResult &Result, TimePoint Now) {
    switch (Result.End) {
    case SendEnd::Answered: {
      CallOutcome Outcome;
      Outcome.Status = Result.Reply.Status;
      Outcome.ContentType =
          http::findHeader(Result.Reply.Fields, "Content-Type");
      Outcome.Body = Result.Reply.Body;
      return Recorder.onAnswer(std::move(Outcome), Now);
    }
    case SendEnd::NotSent:
      return Recorder.onRefused(Now);
    case SendEnd::Lost:
      return Recorder.onLost(Error{ErrorKind::EndpointFailed}, Now);
    case SendEnd::Nowhere:
      return Recorder.giveUp(Error{ErrorKind::NoEndpoint}, Now);
    case SendEnd::Late:
      break;
    }
    return Recorder.tick(Now);
  }

  void storeObject(CallOutcome Outcome) {
    http::asio::post(*Context_.Blocking, [Self = shared_from_this(),
                                          Work = std::move(Outcome)] {
      std::string Reason;
      const bool Stored =
          Self->Context_.Objects->put(Work.ObjectName, Work.Body, Reason);
      Self->push([Stored](CallRecorder &Recorder, TimePoint Now) {
        return Recorder.onObject(Stored, Now);
      });
    });
  }

  static Task<void> answer(std::shared_ptr<RecordedCall> Self,
                           CallAction Action) {
    ServiceAnswer Result;
    Result.Recorded = Action.Replayed;
    if (Action.Failure) {
      Result.Failure = std::move(*Action.Failure);
    } else {
      CallOutcome &Outcome = Action.Outcome;
      std::optional<std::string> Body = std::move(Outcome.Body);
      if (Action.Replayed && !Outcome.ObjectName.empty())
        Body = co_await Self->fetchObject(Outcome.ObjectName);
      if (Body) {
        http::Response Reply;
        Reply.Status = Outcome.Status;
        Reply.Fields.emplace_back("Content-Type", Outcome.ContentType);
        Reply.Body = std::move(*Body);
        Result.Reply = std::move(Reply);
      } else {
        Result.Failure = Error{
            ErrorKind::StoreUnavailable,
            "the call ran; its recorded answer cannot be read now", Ran::Done};
      }
    }
    Self->Answer_->set(std::move(Result));
  }

  Task<std::optional<std::string>> fetchObject(std::string Name) {
    auto Work = [this, Name = std::move(Name)] {
      std::string Reason;
      return Context_.Objects->get(Name, Reason);
    };
    std::optional<std::string> Body =
        co_await runBlocking(*Context_.Blocking, std::move(Work));
    co_return Body;
  }

  SteadyClock Clock_;
  RecordedCallContext Context_;
  ServiceCall Call_;
  std::shared_ptr<ServiceSender> Sender_;
  http::asio::any_io_executor Executor_;
  http::asio::steady_timer Wake_;
  CallRecorder Recorder_;
  std::shared_ptr<OneShot<ServiceAnswer>> Answer_;
  std::deque<Step> Steps_;
  int SendsOpen_ = 0;
};

} // namespace

Task<ServiceAnswer> runRecordedCall(const RecordedCallContext &Context,
                                    ServiceCall Call,
                                    std::shared_ptr<ServiceSender> Sender) {
  const auto Executor = co_await http::asio::this_coro::executor;
  const auto Answer = std::make_shared<OneShot<ServiceAnswer>>(Executor);
  const auto Work = std::make_shared<RecordedCall>(Context, std::move(Call),
                                                   std::move(Sender), Executor);
  http::asio::co_spawn(
      Executor,
      [](std::shared_ptr<RecordedCall> Self,
         std::shared_ptr<OneShot<ServiceAnswer>> Result) -> Task<void> {
        co_await Self->drive(std::move(Result));
      }(Work, Answer),
      http::asio::detached);
  // The recorder answers by the deadline.
  const std::optional<ServiceAnswer> Result =
      co_await Answer->wait(TimePoint::max());
  co_return *Result;
}

} // namespace cassiashed
