#include "gateway/http_wire.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>

namespace cassiashed::gateway {
namespace {

void appendFields(std::string &Text, const http::Headers &Fields) {
  for (const http::Header &Field : Fields) {
    Text += Field.first;
    Text += ": ";
    Text += Field.second;
    Text += "\r\n";
  }
}

} // namespace

bool isConnectionField(std::string_view Name) {
  static constexpr std::array<std::string_view, 10> Names = {
      "Connection",
      "Keep-Alive",
      "Proxy-Connection",
      "Proxy-Authenticate",
      "Proxy-Authorization",
      "TE",
      "Trailer",
      "Transfer-Encoding",
      "Upgrade",
      "Content-Length"};
  return std::any_of(Names.begin(), Names.end(),
                     [Name](std::string_view Known) {
                       return equalsIgnoringCase(Known, Name);
                     });
}

Duration keepAliveTimeout(std::string_view Field) {
  static constexpr std::string_view Name = "timeout=";
  const std::size_t At = Field.find(Name);
  if (At == std::string_view::npos)
    return Duration(0);
  const std::string_view Number = Field.substr(At + Name.size());
  std::uint32_t Seconds = 0; // also if the number is out of range
  std::from_chars(Number.data(), Number.data() + Number.size(), Seconds);
  return std::chrono::seconds(Seconds);
}

std::string formatRequestHead(std::string_view Method, std::string_view Target,
                              const http::Headers &Fields,
                              std::size_t BodyBytes, bool HasBody) {
  std::string Text;
  Text.reserve(512);
  Text.append(Method).append(" ").append(Target).append(" HTTP/1.1\r\n");
  appendFields(Text, Fields);
  if (HasBody)
    Text += fmt::format("Content-Length: {}\r\n", BodyBytes);
  Text += "\r\n";
  return Text;
}

std::string_view nameOf(Framing Body) {
  static constexpr std::array<std::string_view, 3> Names = {"length", "chunked",
                                                            "close"};
  return Names[static_cast<std::size_t>(Body)];
}

std::string formatAnswerHead(const AnswerHead &Head) {
  std::string Text;
  Text.reserve(512);
  std::string Reason = Head.Reason;
  if (Reason.empty()) {
    const auto Standard =
        bhttp::obsolete_reason(static_cast<bhttp::status>(Head.Status));
    Reason.assign(Standard.data(), Standard.size());
  }
  Text += fmt::format("HTTP/1.1 {} {}\r\n", Head.Status, Reason);
  appendFields(Text, Head.Fields);
  if (Head.HasBody && Head.Body == Framing::Length)
    Text += fmt::format("Content-Length: {}\r\n", Head.Length);
  else if (Head.HasBody && Head.Body == Framing::Chunked)
    Text += "Transfer-Encoding: chunked\r\n";
  if (!Head.KeepAlive)
    Text += "Connection: close\r\n";
  Text += "\r\n";
  return Text;
}

std::string formatChunk(std::string_view Bytes) {
  std::string Text = fmt::format("{:x}\r\n", Bytes.size());
  Text.append(Bytes);
  Text += "\r\n";
  return Text;
}

} // namespace cassiashed::gateway
