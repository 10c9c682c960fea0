#include "cassiashed/config/host_port.h"

#include <arpa/inet.h>
#include <charconv>

namespace cassiashed {
namespace {

bool isIpNumber(const std::string &Host, int Family) {
  in6_addr Buffer{};
  return inet_pton(Family, Host.c_str(), &Buffer) == 1;
}

std::optional<std::uint16_t> parsePort(std::string_view Text) {
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Port);
  if (Result.ec != std::errc() || Result.ptr != End || Port == 0)
    return std::nullopt;
  return Port;
}

} // namespace

std::optional<HostPort> parseHostPort(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  const auto Port = parsePort(Text.substr(Colon + 1));
  std::string Host(Text.substr(0, Colon));
  const bool Bracketed =
      Host.size() > 2 && Host.front() == '[' && Host.back() == ']';
  if (Bracketed)
    Host = Host.substr(1, Host.size() - 2);
  if (!Port || !isIpNumber(Host, Bracketed ? AF_INET6 : AF_INET))
    return std::nullopt;
  return HostPort{std::move(Host), *Port};
}

std::string formatHostPort(const HostPort &Address) {
  const std::string Port = std::to_string(Address.Port);
  if (Address.Host.find(':') != std::string::npos)
    return "[" + Address.Host + "]:" + Port;
  return Address.Host + ":" + Port;
}

} // namespace cassiashed
