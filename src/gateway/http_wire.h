#pragma once

#include "cassiashed/base/clock.h"
#include "http/asio.h"
#include "http/dead_peer.h"
#include "http/message.h"
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <string>
#include <string_view>

/// HTTP/1.1 heads and chunks, formatted by the gateway itself so that it passes
/// fields and bodies on unchanged.
namespace cassiashed::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using http::detectDeadPeer;
using http::equalsIgnoringCase;
using http::Tcp;
using Code = boost::system::error_code;

inline auto intoCode(Code &Result) {
  return asio::redirect_error(asio::use_awaitable, Result);
}

/// Returns the fields of a parsed head that are passed on: all but the standard
/// hop-by-hop fields, those that `Connection` names, and the body's framing.
template <typename Fields> http::Headers endToEndFields(const Fields &Head);

/// Value of `timeout` in a `Keep-Alive` field; 0 if it states none.
Duration keepAliveTimeout(std::string_view Field);

/// Whether `Name` is a hop-by-hop field or describes the framing of the body.
bool isConnectionField(std::string_view Name);

std::string formatRequestHead(std::string_view Method, std::string_view Target,
                              const http::Headers &Fields,
                              std::size_t BodyBytes, bool HasBody);

enum class Framing {
  Length,  ///< Content-Length
  Chunked, ///< Transfer-Encoding: chunked
  Close,   ///< ends when the connection closes
};

std::string_view nameOf(Framing Body);

struct AnswerHead {
  int Status = 200;
  std::string Reason; ///< empty: the standard phrase
  http::Headers Fields;
  Framing Body = Framing::Length;
  std::uint64_t Length = 0; ///< with Framing::Length
  bool HasBody = true;      ///< false for 204, 304 and answers to HEAD
  bool KeepAlive = true;
};

std::string formatAnswerHead(const AnswerHead &Head);
/// One chunk of a chunked body.
std::string formatChunk(std::string_view Bytes);
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

template <typename Fields> http::Headers endToEndFields(const Fields &Head) {
  std::string ConnectionValues;
  for (const auto &Field : Head)
    if (equalsIgnoringCase(std::string_view(Field.name_string().data(),
                                            Field.name_string().size()),
                           "Connection"))
      ConnectionValues += "," + std::string(Field.value());
  const auto IsNamedByConnection = [&ConnectionValues](std::string_view Name) {
    std::size_t Begin = 0;
    while (Begin < ConnectionValues.size()) {
      std::size_t End = ConnectionValues.find(',', Begin);
      if (End == std::string::npos)
        End = ConnectionValues.size();
      std::string_view Word(ConnectionValues.data() + Begin, End - Begin);
      while (!Word.empty() && (Word.front() == ' ' || Word.front() == '\t'))
        Word.remove_prefix(1);
      while (!Word.empty() && (Word.back() == ' ' || Word.back() == '\t'))
        Word.remove_suffix(1);
      if (equalsIgnoringCase(Word, Name))
        return true;
      Begin = End + 1;
    }
    return false;
  };
  http::Headers Result;
  for (const auto &Field : Head) {
    const std::string_view Name(Field.name_string().data(),
                                Field.name_string().size());
    if (!isConnectionField(Name) && !IsNamedByConnection(Name))
      Result.emplace_back(std::string(Name), std::string(Field.value()));
  }
  return Result;
}

} // namespace cassiashed::gateway
