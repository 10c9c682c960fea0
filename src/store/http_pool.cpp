#include "store/http_pool.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/timespan.h>

namespace cassiashed {
namespace {

// Bounds the connections kept open; more are opened while calls overlap.
constexpr std::size_t MaxIdle = 8;

} // namespace

HttpPool::HttpPool(PlatformClientOptions Options)
    : Options_(std::move(Options)) {}

HttpPool::~HttpPool() = default;

std::optional<HttpResult> HttpPool::call(const HttpCall &Call,
                                         std::string &Reason) {
  try {
    auto Connection = take();
    if (!Call.Repeatable)
      Connection->close();
    cxxtools::http::Request Request(Call.Path);
    Request.method(Call.Method);
    if (!Call.Body.empty())
      Request.body() << Call.Body;
    const cxxtools::Milliseconds Timeout(
        static_cast<double>(Options_.Timeout.count()));
    Connection->execute(Request, Timeout, Timeout);
    Connection->readBody();
    HttpResult Result{Connection->header().httpReturnCode(),
                      Connection->body()};
    giveBack(std::move(Connection));
    return Result;
  } catch (const std::exception &Failure) {
    Reason = Call.Method + " " + Call.Path + ": " + Failure.what();
    return std::nullopt;
  }
}

std::unique_ptr<cxxtools::http::Client> HttpPool::take() {
  const std::lock_guard Guard(Lock_);
  if (Idle_.empty())
    return std::make_unique<cxxtools::http::Client>(Options_.Host,
                                                    Options_.Port);
  auto Connection = std::move(Idle_.back());
  Idle_.pop_back();
  return Connection;
}

void HttpPool::giveBack(std::unique_ptr<cxxtools::http::Client> Connection) {
  const std::lock_guard Guard(Lock_);
  if (Idle_.size() < MaxIdle)
    Idle_.push_back(std::move(Connection));
}

std::string encodePath(const std::string &Path) {
  static constexpr char Digits[] = "0123456789ABCDEF";
  static const std::string Plain = "/-._~";
  std::string Encoded;
  for (const char Character : Path) {
    const auto Byte = static_cast<unsigned char>(Character);
    if ((Byte >= '0' && Byte <= '9') || (Byte >= 'a' && Byte <= 'z') ||
        (Byte >= 'A' && Byte <= 'Z') || Plain.find(Character) < Plain.size()) {
      Encoded += Character;
    } else {
      Encoded += '%';
      Encoded += Digits[Byte >> 4U];
      Encoded += Digits[Byte & 15U];
    }
  }
  return Encoded;
}

} // namespace cassiashed
