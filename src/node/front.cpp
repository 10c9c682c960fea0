#include "node/front.h"

#include "cassiashed/base/event_log.h"
#include "cassiashed/scheduling/length_class.h"
#include "cassiashed/text/json.h"
#include "http/event_stream.h"
#include "node/gang_runner.h"
#include "node/reply_format.h"
#include "node/request_runner.h"
#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>

namespace cassiashed {
namespace {

using http::Task;

constexpr std::size_t MaxCallerIdBytes = 128;
constexpr std::string_view JsonType = "application/json";
constexpr std::string_view ServicePrefix = "/services/";

/// What is known of a request once it is authenticated.
struct CallContext {
  std::string RequestId;
  std::string CallerId; ///< id given by the caller; echoed, never used as key
  TimePoint Start;
  TimePoint Deadline;
  std::shared_ptr<const ConfigInForce> Config;
  const WorkspaceConfig *Workspace = nullptr;
};

bool isPrintable(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), [](char Character) {
    return Character > ' ' && Character < 127;
  });
}

std::string_view pathOf(const http::Request &Call) {
  const std::string_view Target = Call.Target;
  return Target.substr(0, Target.find('?'));
}

std::optional<std::int64_t> parseNumber(std::string_view Text) {
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Failure] = std::from_chars(Text.data(), End, Value);
  if (Failure != std::errc() || Stop != End)
    return std::nullopt;
  return Value;
}

Duration since(TimePoint Start, TimePoint Now) {
  return std::chrono::duration_cast<Duration>(Now - Start);
}

/// Streams or collects the answer of one completion.
class CompletionReply {
public:
  CompletionReply(const CompletionRequest &Request, const CallContext &Context,
                  http::ResponseWriter &Reply, Duration StallTimeout)
      : Request_(Request), Context_(Context), Reply_(Reply),
        StallTimeout_(StallTimeout) {}

  Task<bool> consume(std::string Text, std::uint64_t Tokens) {
    Tokens_ += Tokens;
    if (!Request_.Stream) {
      Text_ += Text;
      co_return true;
    }
    if (!Reply_.started() && !co_await startStream())
      co_return false;
    const std::string Event = http::formatEvent(
        formatChunk(Request_.Api, Context_.RequestId, Request_.Model, Text));
    const auto Left = since(Clock_.now(), Context_.Deadline);
    const bool Sent = co_await Reply_.write(
        Event, std::clamp(Left, Duration(1), StallTimeout_));
    co_return Sent;
  }

  Task<bool> finish() {
    if (!Request_.Stream) {
      std::string Body =
          formatCompletion(Request_, Context_.RequestId, Text_, Tokens_);
      const bool Sent =
          co_await Reply_.send(200, JsonType, std::move(Body), idHeaders());
      co_return Sent;
    }
    if (!Reply_.started() && !co_await startStream())
      co_return false;
    const std::string Event = http::formatEvent("[DONE]");
    if (!co_await Reply_.write(Event, StallTimeout_))
      co_return false;
    co_return co_await Reply_.endStream();
  }

  Task<void> fail(const Error &Failure) {
    std::string Body = formatError(Failure, Context_.RequestId);
    if (!Reply_.started()) {
      co_await Reply_.send(answerFor(Failure.Kind).Status, JsonType,
                           std::move(Body), idHeaders());
      co_return;
    }
    const std::string Event = http::formatEvent(Body, "error");
    if (co_await Reply_.write(Event, StallTimeout_))
      co_await Reply_.endStream();
  }

  bool callerTooSlow() const { return Reply_.timedOut(); }

private:
  http::Headers idHeaders() const {
    return {{"X-Request-Id", Context_.CallerId}};
  }

  Task<bool> startStream() {
    http::Headers Extra = idHeaders();
    Extra.emplace_back("Cache-Control", "no-store");
    const bool Sent =
        co_await Reply_.startStream(200, "text/event-stream", std::move(Extra));
    co_return Sent;
  }

  SteadyClock Clock_;
  const CompletionRequest &Request_;
  const CallContext &Context_;
  http::ResponseWriter &Reply_;
  Duration StallTimeout_;
  std::string Text_;
  std::uint64_t Tokens_ = 0;
};

class ActiveCount {
public:
  explicit ActiveCount(std::atomic<std::size_t> &Count) : Count_(Count) {
    ++Count_;
  }
  ActiveCount(const ActiveCount &) = delete;
  ActiveCount &operator=(const ActiveCount &) = delete;
  ~ActiveCount() { --Count_; }

private:
  std::atomic<std::size_t> &Count_;
};

class FrontImpl final : public Front {
public:
  FrontImpl(FrontOptions Options, const ConfigTable &Config, FrontParts Parts,
            FrontGates Gates)
      : Options_(std::move(Options)), Config_(Config), Broker_(Parts.Broker),
        Owners_(Parts.Owners), Crashes_(Parts.Crashes),
        Services_(Parts.Services), Metrics_(Parts.Counters),
        Gates_(std::move(Gates)) {}

  Task<void> handle(http::Request Call, http::ResponseWriter &Reply) override {
    for (const Route &Entry : Routes) {
      const std::string_view Path = pathOf(Call);
      const bool Matches = Entry.IsPrefix
                               ? Path.substr(0, Entry.Path.size()) == Entry.Path
                               : Path == Entry.Path;
      if (!Matches || Call.Method != Entry.Method)
        continue;
      co_await (this->*Entry.Run)(std::move(Call), Reply);
      co_return;
    }
    CallContext Context = makeContext(Call);
    const Error Failure{ErrorKind::NotFound,
                        "no such path: " + std::string(pathOf(Call))};
    co_await refuse(Context, Failure, Reply);
  }

  std::size_t activeRequests() const override { return Active_; }

private:
  using HandlerMember = Task<void> (FrontImpl::*)(http::Request,
                                                  http::ResponseWriter &);
  struct Route {
    std::string_view Method;
    std::string_view Path;
    bool IsPrefix;
    HandlerMember Run;
  };
  static const std::array<Route, 6> Routes;

  CallContext makeContext(const http::Request &Call) {
    CallContext Context;
    Context.Start = Clock_.now();
    Context.RequestId = fmt::format("{}-{:x}-{}", Options_.Node,
                                    Options_.Incarnation, ++LastRequest_);
    const std::string_view Given =
        http::findHeader(Call.Fields, "X-Request-Id");
    const bool Usable = !Given.empty() && Given.size() <= MaxCallerIdBytes &&
                        isPrintable(Given);
    Context.CallerId = Usable ? std::string(Given) : Context.RequestId;
    Context.Deadline = Context.Start + Options_.DefaultDeadline;
    Context.Config = Config_.current();
    return Context;
  }

  /// Checks deadline, workspace and the state of the node.
  std::optional<Error> admit(const http::Request &Call, CallContext &Context) {
    if (auto Closed = Gates_.Admit())
      return Closed;
    if (!Context.Config)
      return Error{ErrorKind::NotCurrent, "no configuration is in force"};
    constexpr std::string_view Scheme = "Bearer ";
    std::string_view Key = http::findHeader(Call.Fields, "Authorization");
    if (Key.substr(0, Scheme.size()) == Scheme)
      Context.Workspace =
          Context.Config->findWorkspaceByKey(Key.substr(Scheme.size()));
    if (!Context.Workspace)
      return Error{ErrorKind::Unauthorized};
    const std::string_view Text =
        http::findHeader(Call.Fields, "X-Deadline-Ms");
    if (Text.empty())
      return std::nullopt;
    const auto Milliseconds = parseNumber(Text);
    if (!Milliseconds || *Milliseconds < 1)
      return Error{ErrorKind::BadRequest,
                   "X-Deadline-Ms must be a positive number of milliseconds"};
    Context.Deadline =
        Context.Start +
        std::min<Duration>(Duration(*Milliseconds), Options_.MaxDeadline);
    return std::nullopt;
  }

  Task<void> refuse(const CallContext &Context, const Error &Failure,
                    http::ResponseWriter &Reply) {
    Metrics_.countError(Failure.Kind, Failure.ran());
    logEvent("request_refused")
        .field("request_id", Context.RequestId)
        .field("caller_id", Context.CallerId)
        .field("code", answerFor(Failure.Kind).Code)
        .field("ran", nameOf(Failure.ran()))
        .field("message", Failure.Message);
    http::Headers Extra;
    Extra.emplace_back("X-Request-Id", Context.CallerId);
    std::string Body = formatError(Failure, Context.RequestId);
    co_await Reply.send(answerFor(Failure.Kind).Status, JsonType,
                        std::move(Body), std::move(Extra));
  }

  Task<void> handleText(http::Request Call, http::ResponseWriter &Reply) {
    co_await complete(CompletionApi::Text, std::move(Call), Reply);
  }

  Task<void> handleChat(http::Request Call, http::ResponseWriter &Reply) {
    co_await complete(CompletionApi::Chat, std::move(Call), Reply);
  }

  Task<void> complete(CompletionApi Api, http::Request Call,
                      http::ResponseWriter &Reply) {
    const ActiveCount Counted(Active_);
    CallContext Context = makeContext(Call);
    std::optional<Error> Refused = admit(Call, Context);
    std::optional<CompletionRequest> Request;
    if (!Refused && Active_ > Options_.MaxStreams)
      Refused = Error{ErrorKind::NoCapacity, "too many streams at this node"};
    if (!Refused) {
      Error Failure;
      Request = parseCompletionRequest(Api, Call.Body, Failure);
      if (!Request)
        Refused = std::move(Failure);
      else if (!Context.Config->findModel(Request->Model))
        Refused =
            Error{ErrorKind::NotFound, "no such model: " + Request->Model};
    }
    if (Refused) {
      co_await refuse(Context, *Refused, Reply);
      co_return;
    }
    // The parsed request holds the prompt; the body is not needed any more.
    std::string().swap(Call.Body);
    co_await run(*Request, Context, Reply);
  }

  Task<void> run(const CompletionRequest &Request, const CallContext &Context,
                 http::ResponseWriter &Reply) {
    const auto Executor = co_await http::asio::this_coro::executor;
    RequestRunner Runner(Broker_, {Options_.Node}, Executor);
    GangRunner Gang(Owners_, Crashes_, Options_.Node, Executor);
    CompletionReply Answer(Request, Context, Reply, Options_.SlowReaderStall);
    GrantQuery Query;
    Query.RequestId = Context.RequestId;
    Query.Workspace = Context.Workspace->Name;
    Query.Weight = Context.Workspace->Weight;
    Query.Request = &Request;
    Query.Deadline = Context.Deadline;
    const TokenConsumer Consume = [&Answer](std::string Text,
                                            std::uint64_t Tokens) {
      return Answer.consume(std::move(Text), Tokens);
    };
    RunResult Result;
    std::optional<std::vector<GangEngine>> Engines = Broker_.planEngines(Query);
    if (!Engines) {
      Result.End = Outcome::Refused;
      Result.Failure = Error{ErrorKind::NoCapacity,
                             "the prompt needs more memory than the engines in "
                             "service offer"};
    } else if (Engines->empty()) {
      Reply.watchClose([&Runner] { Runner.cancel(); });
      Result = co_await Runner.run(std::move(Query), Consume);
    } else {
      Reply.watchClose([&Gang] { Gang.cancel(); });
      Result =
          co_await Gang.run(std::move(Query), std::move(*Engines), Consume);
    }
    Reply.watchClose(nullptr);
    if (Result.End == Outcome::Answered && !co_await Answer.finish())
      Result.Failure = Error{ErrorKind::CallerGone, "", Ran::Done};
    if (Result.Failure) {
      if (Answer.callerTooSlow())
        Result.Failure->Kind = ErrorKind::CallerTooSlow;
      co_await Answer.fail(*Result.Failure);
    }
    record(Request, Context, Result);
  }

  void record(const CompletionRequest &Request, const CallContext &Context,
              const RunResult &Result) {
    const TimePoint Now = Clock_.now();
    const std::string_view Class =
        scheduling::nameOf(scheduling::classOf(Request.PromptTokens));
    const std::string &Workspace = Context.Workspace->Name;
    if (Result.Attempts > 1)
      Metrics_.countRetry();
    if (Result.FirstToken)
      Metrics_.observeFirstToken(Workspace, Class,
                                 since(Context.Start, *Result.FirstToken));
    if (Result.FirstToken && Result.Tokens > 1)
      Metrics_.observeTokenGap(Class, since(*Result.FirstToken, Now) /
                                          static_cast<int>(Result.Tokens - 1));
    if (Result.Failure)
      Metrics_.countError(Result.Failure->Kind, Result.Failure->ran());
    else
      Metrics_.countAnswered(Workspace, Class);
    LogLine Line = logEvent("request_end");
    Line.field("request_id", Context.RequestId)
        .field("caller_id", Context.CallerId)
        .field("workspace", Workspace)
        .field("model", Request.Model)
        .field("class", Class)
        .field("outcome", nameOf(Result.End))
        .field("endpoint", Result.Endpoint)
        .field("attempts", Result.Attempts)
        .field("tokens", Result.Tokens)
        .field("ms", since(Context.Start, Now).count());
    if (Result.FirstToken)
      Line.field("first_token_ms",
                 since(Context.Start, *Result.FirstToken).count());
    if (Result.Failure)
      Line.field("code", answerFor(Result.Failure->Kind).Code)
          .field("ran", nameOf(Result.Failure->ran()));
  }

  Task<void> handleService(http::Request Call, http::ResponseWriter &Reply) {
    const ActiveCount Counted(Active_);
    CallContext Context = makeContext(Call);
    std::optional<Error> Refused = admit(Call, Context);
    ServiceCall Work;
    const ServiceConfig *Service = nullptr;
    if (!Refused) {
      const std::string_view Rest =
          std::string_view(Call.Target).substr(ServicePrefix.size());
      const std::size_t Slash = Rest.find('/');
      Service = Context.Config->findService(Rest.substr(0, Slash));
      if (!Service || Slash == std::string_view::npos)
        Refused = Error{ErrorKind::NotFound, "no such service"};
      else
        Work.Path = Rest.substr(Slash);
    }
    if (!Refused) {
      const std::string_view Plain =
          std::string_view(Work.Path).substr(0, Work.Path.find('?'));
      Work.Idempotent = isIdempotentPath(*Service, Plain);
      Work.Key = http::findHeader(Call.Fields, "Idempotency-Key");
      if (!Work.Idempotent && Work.Key.empty())
        Refused = Error{ErrorKind::BadRequest,
                        "this path needs an Idempotency-Key header"};
      else if (Work.Key.size() > MaxCallerIdBytes || !isPrintable(Work.Key))
        Refused = Error{ErrorKind::BadRequest, "invalid Idempotency-Key"};
    }
    if (Refused) {
      co_await refuse(Context, *Refused, Reply);
      co_return;
    }
    Work.RequestId = Context.RequestId;
    Work.Workspace = Context.Workspace->Name;
    Work.ContentType = http::findHeader(Call.Fields, "Content-Type");
    Work.Body = std::move(Call.Body);
    Work.Deadline = Context.Deadline;
    std::string ServiceName = Service->Name;
    ServiceAnswer Answer =
        co_await Services_.call(std::move(ServiceName), std::move(Work));
    if (!Answer.Reply) {
      co_await refuse(Context, Answer.Failure, Reply);
      co_return;
    }
    logEvent("service_end")
        .field("request_id", Context.RequestId)
        .field("caller_id", Context.CallerId)
        .field("workspace", Context.Workspace->Name)
        .field("service", Service->Name)
        .field("status", Answer.Reply->Status)
        .field("recorded", Answer.Recorded)
        .field("ms", since(Context.Start, Clock_.now()).count());
    Metrics_.countAnswered(Context.Workspace->Name, "service");
    const std::string Type(
        http::findHeader(Answer.Reply->Fields, "Content-Type"));
    http::Headers Extra;
    Extra.emplace_back("X-Request-Id", Context.CallerId);
    if (Answer.Recorded)
      Extra.emplace_back("X-Recorded-Answer", "true");
    co_await Reply.send(Answer.Reply->Status, Type.empty() ? JsonType : Type,
                        std::move(Answer.Reply->Body), std::move(Extra));
  }

  Task<void> handleModels(http::Request Call, http::ResponseWriter &Reply) {
    CallContext Context = makeContext(Call);
    if (const auto Refused = admit(Call, Context)) {
      co_await refuse(Context, *Refused, Reply);
      co_return;
    }
    Json Models = Json::array();
    for (const ModelConfig &Model : Context.Config->content().Models)
      Models.push_back({{"id", Model.Name}, {"object", "model"}});
    const Json Body = {{"object", "list"}, {"data", std::move(Models)}};
    co_await Reply.send(200, JsonType, Body.dump());
  }

  Task<void> handleHealth(http::Request /*Call*/, http::ResponseWriter &Reply) {
    co_await Reply.send(200, "text/plain", "ok\n");
  }

  Task<void> handleReady(http::Request Call, http::ResponseWriter &Reply) {
    CallContext Context = makeContext(Call);
    std::optional<Error> Closed = Gates_.Ready();
    if (!Closed && !Context.Config)
      Closed = Error{ErrorKind::NotCurrent, "no configuration is in force"};
    const int Status = Closed ? 503 : 200;
    std::string Body =
        Closed ? formatError(*Closed, Context.RequestId) : "ready\n";
    co_await Reply.send(Status, Closed ? JsonType : "text/plain",
                        std::move(Body));
  }

  SteadyClock Clock_;
  FrontOptions Options_;
  const ConfigTable &Config_;
  GrantBroker &Broker_;
  OwnerClient &Owners_;
  CrashGuard &Crashes_;
  ServiceCaller &Services_;
  Metrics &Metrics_;
  FrontGates Gates_;
  std::atomic<std::uint64_t> LastRequest_ = 0;
  std::atomic<std::size_t> Active_ = 0;
};

const std::array<FrontImpl::Route, 6> FrontImpl::Routes = {{
    {"POST", "/v1/completions", false, &FrontImpl::handleText},
    {"POST", "/v1/chat/completions", false, &FrontImpl::handleChat},
    {"POST", ServicePrefix, true, &FrontImpl::handleService},
    {"GET", "/v1/models", false, &FrontImpl::handleModels},
    {"GET", "/healthz", false, &FrontImpl::handleHealth},
    {"GET", "/readyz", false, &FrontImpl::handleReady},
}};

} // namespace

std::unique_ptr<Front> makeFront(FrontOptions Options,
                                 const ConfigTable &Config, FrontParts Parts,
                                 FrontGates Gates) {
  return std::make_unique<FrontImpl>(std::move(Options), Config, Parts,
                                     std::move(Gates));
}

http::Response describeReadFailure(http::ReadFailure Failure) {
  struct Entry {
    ErrorKind Kind;
    const char *Message;
  };
  static constexpr std::array<Entry, 4> Entries = {{
      {ErrorKind::BadRequest, "the request is not valid HTTP"},
      {ErrorKind::TooLarge, "the request head is too large"},
      {ErrorKind::TooLarge, "the request body is too large"},
      {ErrorKind::RequestTimeout, "the request arrived too slowly"},
  }};
  const Entry &Found = Entries[static_cast<std::size_t>(Failure)];
  http::Response Reply;
  Reply.Status = answerFor(Found.Kind).Status;
  Reply.Body = formatError(Error{Found.Kind, Found.Message}, "");
  return Reply;
}

} // namespace cassiashed
