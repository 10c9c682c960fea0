#include "cassiashed/control/operator_server.h"

#include "cassiashed/base/event_log.h"
#include <algorithm>
#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>
#include <stdexcept>
#include <thread>

namespace cassiashed {
namespace {

// Operator requests are single orders; the limit bounds what a caller without
// the key can make the node hold.
constexpr std::size_t MaxBodyBytes = 64 * 1024;
constexpr unsigned MaxThreads = 4;

/// Compares without leaving early, so that the time does not reveal how much
/// of the key was right.
bool isEqualSecret(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size())
    return false;
  unsigned Difference = 0;
  for (std::size_t I = 0; I < Left.size(); ++I)
    Difference |= static_cast<unsigned char>(Left[I]) ^
                  static_cast<unsigned char>(Right[I]);
  return Difference == 0;
}

class RouteTable {
public:
  RouteTable(const std::string &Key, std::vector<OperatorRoute> Routes)
      : Authorization_("Bearer " + Key), Routes_(std::move(Routes)) {}

  OperatorReply answer(const OperatorRequest &Request,
                       const char *Authorization) const {
    if (!Authorization || !isEqualSecret(Authorization, Authorization_))
      return makeOperatorError(401, "unauthorized",
                               "the operator key is missing or wrong");
    bool PathKnown = false;
    for (const OperatorRoute &Route : Routes_) {
      if (Route.Path != Request.Path)
        continue;
      PathKnown = true;
      if (Route.Method == Request.Method)
        return run(Route, Request);
    }
    if (PathKnown)
      return makeOperatorError(405, "method-not-allowed",
                               Request.Path + " does not support " +
                                   Request.Method);
    return makeOperatorError(404, "not-found", "no such path");
  }

private:
  static OperatorReply run(const OperatorRoute &Route,
                           const OperatorRequest &Request) {
    try {
      return Route.Handle(Request);
    } catch (const std::exception &Failure) {
      logError("operator_request_failed")
          .field("path", Request.Path)
          .field("reason", Failure.what());
      return makeOperatorError(500, "internal", Failure.what());
    }
  }

  std::string Authorization_;
  std::vector<OperatorRoute> Routes_;
};

class RouteResponder : public cxxtools::http::Responder {
public:
  RouteResponder(cxxtools::http::Service &Service, const RouteTable &Routes)
      : Responder(Service), Routes_(Routes) {}

  void beginRequest(cxxtools::net::TcpSocket & /*Socket*/,
                    std::istream & /*In*/,
                    cxxtools::http::Request & /*Request*/) override {
    Body_.clear();
    TooLarge_ = false;
  }

  std::size_t readBody(std::istream &In) override {
    std::size_t Count = 0;
    std::streambuf &Source = *In.rdbuf();
    for (auto Available = Source.in_avail(); Available > 0; --Available) {
      const int Character = Source.sbumpc();
      if (Character == std::char_traits<char>::eof())
        break;
      ++Count;
      if (Body_.size() < MaxBodyBytes)
        Body_ += static_cast<char>(Character);
      else
        TooLarge_ = true;
    }
    return Count;
  }

  void reply(std::ostream &Out, cxxtools::http::Request &Request,
             cxxtools::http::Reply &Reply) override {
    const OperatorReply Answer =
        TooLarge_ ? makeOperatorError(413, "too-large", "body exceeds 64 KiB")
                  : Routes_.answer({Request.method(), Request.url(),
                                    Request.qparams(), Body_},
                                   Request.getHeader("Authorization"));
    Reply.httpReturn(static_cast<unsigned>(Answer.Status),
                     Answer.Status < 400 ? "OK" : "Refused");
    Reply.setHeader("Content-Type", "application/json");
    Out << Answer.Body;
  }

private:
  const RouteTable &Routes_;
  std::string Body_;
  bool TooLarge_ = false;
};

class RouteService : public cxxtools::http::Service {
public:
  explicit RouteService(RouteTable Routes) : Routes_(std::move(Routes)) {}

protected:
  cxxtools::http::Responder *
  createResponder(const cxxtools::http::Request & /*Request*/) override {
    return std::make_unique<RouteResponder>(*this, Routes_).release();
  }
  void releaseResponder(cxxtools::http::Responder *Used) override {
    const std::unique_ptr<cxxtools::http::Responder> Owner(Used);
  }

private:
  RouteTable Routes_;
};

class HttpOperatorServer : public OperatorServer {
public:
  HttpOperatorServer(const OperatorServerOptions &Options,
                     std::vector<OperatorRoute> Routes)
      : Service_(RouteTable(Options.Key, std::move(Routes))), Server_(Loop_) {
    Server_.minThreads(1);
    Server_.maxThreads(MaxThreads);
    Server_.addService(cxxtools::Regex(".*"), Service_);
    Server_.listen(Options.Host, Options.Port);
    Thread_ = std::thread([this] { Loop_.run(); });
  }
  HttpOperatorServer(const HttpOperatorServer &) = delete;
  HttpOperatorServer &operator=(const HttpOperatorServer &) = delete;
  ~HttpOperatorServer() override {
    Loop_.exit();
    Thread_.join();
  }

private:
  cxxtools::EventLoop Loop_;
  RouteService Service_;
  cxxtools::http::Server Server_;
  std::thread Thread_;
};

} // namespace

std::unique_ptr<OperatorServer>
startOperatorServer(OperatorServerOptions Options,
                    std::vector<OperatorRoute> Routes, std::string &Reason) {
  if (Options.Key.empty()) {
    Reason = "the operator key is empty";
    return nullptr;
  }
  try {
    return std::make_unique<HttpOperatorServer>(Options, std::move(Routes));
  } catch (const std::exception &Failure) {
    Reason = "cannot listen at " + Options.Host + ":" +
             std::to_string(Options.Port) + ": " + Failure.what();
    return nullptr;
  }
}

} // namespace cassiashed
