#pragma once

#include "http/asio.h"
#include "http/dead_peer.h"
#include "http/message.h"
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <string>
#include <string_view>

/// Pieces of HTTP/1.1 that the gateway writes itself, so that messages pass
/// through unchanged.
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

/// Fields of a parsed head without those that concern one connection: the
/// standard ones, those that `Connection` names, and the body's framing.
template <typename Fields> http::Headers endToEndFields(const Fields &Head);

/// Whether `Name` concerns one connection or the framing of the body.
bool isConnectionField(std::string_view Name);

std::string formatRequestHead(std::string_view Method, std::string_view Target,
                              const http::Headers &Fields,
                              std::size_t BodyBytes, bool HasBody);

enum class Framing {
  Length,  ///< Content-Length
  Chunked, ///< chunks
  Close,   ///< ends with the connection
};

struct AnswerHead {
  int Status = 200;
  std::string Reason; ///< empty: the standard one
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
  std::string IsRegistered;
  for (const auto &Field : Head)
    if (equalsIgnoringCase(std::string_view(Field.name_string().data(),
                                            Field.name_string().size()),
                           "Connection"))
      IsRegistered += "," + std::string(Field.value());
  const auto IsListed = [&IsRegistered](std::string_view Name) {
    std::size_t Begin = 0;
    while (Begin < IsRegistered.size()) {
      std::size_t End = IsRegistered.find(',', Begin);
      if (End == std::string::npos)
        End = IsRegistered.size();
      std::string_view Word(IsRegistered.data() + Begin, End - Begin);
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
    if (!isConnectionField(Name) && !IsListed(Name))
      Result.emplace_back(std::string(Name), std::string(Field.value()));
  }
  return Result;
}

} // namespace cassiashed::gateway
