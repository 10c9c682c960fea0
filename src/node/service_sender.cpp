#include "node/service_sender.h"

#include "cassiashed/text/json.h"
#include <algorithm>

namespace cassiashed {
namespace {

using http::Task;

constexpr std::size_t MaxAnswerBytes = 16 * 1024 * 1024;

http::Request makeServiceRequest(const ServiceCall &Call) {
  http::Request Message;
  Message.Method = "POST";
  Message.Target = Call.Path;
  Message.Fields.emplace_back("X-Request-Id", Call.RequestId);
  if (!Call.ContentType.empty())
    Message.Fields.emplace_back("Content-Type", Call.ContentType);
  if (!Call.Key.empty())
    Message.Fields.emplace_back("Idempotency-Key", Call.Key);
  Message.Body = Call.Body;
  return Message;
}

/// Whether the service says that it refused the call before any work.
bool isRefusal(const http::Response &Reply) {
  if (Reply.Status != 503)
    return false;
  std::string Reason;
  const std::optional<Json> Body = parseJsonObject(Reply.Body, Reason);
  return Body && readString(*Body, "ran") == "not-run";
}

Duration timeLeft(TimePoint Deadline) {
  const auto Left =
      std::chrono::duration_cast<Duration>(Deadline - SteadyClock().now());
  return std::max(Left, Duration(1));
}

} // namespace

std::optional<http::Address> ServiceSender::nextEndpoint() {
  const auto Config = Table_.current();
  const ServiceConfig *Service = Config->findService(Service_);
  const std::size_t Count = Service ? Service->Endpoints.size() : 0;
  while (Tried_ < Count) {
    const std::string &Name = Service->Endpoints[Next_++ % Count];
    ++Tried_;
    const EndpointConfig *Endpoint = Config->findEndpoint(Name);
    if (Endpoint && Config->isInService(*Endpoint))
      return http::Address{Endpoint->Address.Host, Endpoint->Address.Port};
  }
  return std::nullopt;
}

Task<SendResult> ServiceSender::sendToNext(const ServiceCall &Call,
                                           std::function<bool()> MaySend) {
  SendResult Result;
  std::optional<http::Address> Peer = nextEndpoint();
  if (!Peer)
    co_return Result;
  const auto Stream =
      http::makeClientStream(co_await http::asio::this_coro::executor);

  Result.End = SendEnd::NotSent;
  const bool Connected = co_await Stream->connect(std::move(*Peer));
  if (!Connected)
    co_return Result;
  if (!MaySend()) {
    Result.End = SendEnd::Late;
    co_return Result;
  }
  Result.End = SendEnd::Lost;
  http::Request Message = makeServiceRequest(Call);
  const bool Sent = co_await Stream->send(std::move(Message));
  if (!Sent)
    co_return Result;
  std::optional<http::Response> Head =
      co_await Stream->readHead(timeLeft(Call.Deadline));
  while (Head) {
    const std::optional<std::string> Piece =
        co_await Stream->readSome(timeLeft(Call.Deadline));
    if (!Piece || Head->Body.size() + Piece->size() > MaxAnswerBytes)
      co_return Result;
    if (Piece->empty())
      break;
    Head->Body += *Piece;
  }
  if (!Head)
    co_return Result;
  Result.End = isRefusal(*Head) ? SendEnd::NotSent : SendEnd::Answered;
  Result.Reply = std::move(*Head);
  co_return Result;
}

} // namespace cassiashed
