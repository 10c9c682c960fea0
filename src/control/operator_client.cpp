#include "cassiashed/control/operator_client.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/timespan.h>

namespace cassiashed {
namespace {

/// Throws if no connection can be made in time. `Client::connect` has no
/// timeout, and an error of `execute` does not tell whether the request was
/// sent.
void checkReachable(const OperatorClientOptions &Options,
                    cxxtools::Milliseconds Timeout) {
  cxxtools::net::TcpSocket Probe;
  Probe.setTimeout(Timeout);
  Probe.connect(Options.Host, Options.Port);
}

} // namespace

OperatorResult callOperator(const OperatorClientOptions &Options,
                            const OperatorRequest &Request) {
  OperatorResult Result;
  Result.Delivery = OperatorDelivery::NotSent;
  try {
    // A new connection per call: cxxtools repeats a request by itself when a
    // reused connection closes.
    cxxtools::http::Client Client(Options.Host, Options.Port);
    cxxtools::http::Request Message(Request.Path);
    Message.method(Request.Method);
    Message.qparams(Request.Query);
    Message.setHeader("Authorization", ("Bearer " + Options.Key).c_str());
    Message.setHeader("Content-Type", "application/json");
    Message.body() << Request.Body;
    const cxxtools::Milliseconds Timeout(
        static_cast<double>(Options.Timeout.count()));
    checkReachable(Options, Timeout);
    Result.Delivery = OperatorDelivery::Unknown;
    Client.execute(Message, Timeout, Timeout);
    Client.readBody();
    Result.Reply = {static_cast<int>(Client.header().httpReturnCode()),
                    Client.body()};
    Result.Delivery = OperatorDelivery::Answered;
  } catch (const std::exception &Failure) {
    Result.Reason = Options.Host + ":" + std::to_string(Options.Port) + ": " +
                    Failure.what();
  }
  return Result;
}

} // namespace cassiashed
