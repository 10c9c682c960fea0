#pragma once

#include <msgpack.hpp>
#include <new>
#include <optional>
#include <string>
#include <string_view>

namespace cassiashed::gateway {

/// `Value` is a type with MSGPACK_DEFINE.
template <typename Value> std::string pack(const Value &Content) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Content);
  return std::string(Buffer.data(), Buffer.size());
}

/// Returns nothing and sets `Reason` if the bytes are not a packed `Value`.
/// Safe for untrusted bytes: anyone who reaches the port can send them.
template <typename Value>
std::optional<Value> unpack(std::string_view Bytes, std::string &Reason) {
  // No element can be longer than the input, so a forged length cannot cause a
  // large allocation.
  const std::size_t MaxLength = Bytes.size();
  constexpr std::size_t MaxDepth = 16;
  try {
    const msgpack::object_handle Handle =
        msgpack::unpack(Bytes.data(), Bytes.size(), nullptr, nullptr,
                        msgpack::unpack_limit(MaxLength, MaxLength, MaxLength,
                                              MaxLength, MaxLength, MaxDepth));
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
