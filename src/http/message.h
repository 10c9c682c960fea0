#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cassiashed::http {

using Header = std::pair<std::string, std::string>;
using Headers = std::vector<Header>;

/// Whether two names are the same but for the case of ASCII letters.
bool equalsIgnoringCase(std::string_view Left, std::string_view Right);

/// Value of the first header with this name, compared without case; empty if
/// there is none.
std::string_view findHeader(const Headers &All, std::string_view Name);

struct Request {
  std::string Method;
  std::string Target; ///< path and query as sent
  Headers Fields;
  std::string Body;
};

struct Response {
  int Status = 0;
  Headers Fields;
  std::string Body;
};

/// Splits an IP address and port at the last colon, for example
/// "127.0.0.1:8080". The port is 0 if the text is not an address.
struct Address {
  std::string Host;
  unsigned short Port = 0;
};
Address parseAddress(std::string_view Text);

} // namespace cassiashed::http
