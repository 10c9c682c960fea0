#pragma once

#include <msgpack.hpp>
#include <new>
#include <optional>
#include <string>
#include <string_view>

namespace cassiashed::gateway {

/// Packs a type with MSGPACK_DEFINE.
template <typename Value> std::string pack(const Value &Content) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Content);
  return std::string(Buffer.data(), Buffer.size());
}

/// Nothing and a reason for bytes that are no packed `Value`, whatever they
/// are: they may come from anyone who reaches the port.
template <typename Value>
std::optional<Value> unpack(std::string_view Bytes, std::string &Reason) {
  // No part can be longer than the bytes, so a forged length allocates little.
  const std::size_t Most = Bytes.size();
  constexpr std::size_t MaxDepth = 16;
  try {
    const msgpack::object_handle Handle = msgpack::unpack(
        Bytes.data(), Bytes.size(), nullptr, nullptr,
        msgpack::unpack_limit(Most, Most, Most, Most, Most, MaxDepth));
    Value Content;
    Handle.get().convert(Content);
    return Content;
  } catch (const msgpack::unpack_error &Failure) {
    Reason = Failure.what();
  } catch (const msgpack::type_error &Failure) {
    Reason = Failure.what();
  } catch (const std::bad_alloc &Failure) {
    Reason = Failure.what();
  }
  return std::nullopt;
}

} // namespace cassiashed::gateway
