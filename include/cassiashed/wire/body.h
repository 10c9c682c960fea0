#pragma once

#include "cassiashed/wire/envelope.h"
#include <exception>
#include <msgpack.hpp>
#include <optional>
#include <string>

/// Encoding of message bodies. A body is a msgpack array of the fields of its
/// structure; fields that a newer version appends are ignored, fields that an
/// older version lacks keep their defaults.
namespace cassiashed {

/// Packs an enum class as its number and refuses numbers above `Last`.
template <typename Enum, Enum Last> struct EnumAdaptor {
  struct Convert {
    const msgpack::object &operator()(const msgpack::object &Object,
                                      Enum &Value) const {
      const auto Number = Object.as<unsigned>();
      if (Number > static_cast<unsigned>(Last))
        throw msgpack::type_error();
      Value = static_cast<Enum>(Number);
      return Object;
    }
  };
  struct Pack {
    template <typename Stream>
    msgpack::packer<Stream> &operator()(msgpack::packer<Stream> &Packer,
                                        const Enum &Value) const {
      return Packer.pack(static_cast<unsigned>(Value));
    }
  };
};

template <typename Body> std::string packBody(const Body &Content) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Content);
  return std::string(Buffer.data(), Buffer.size());
}

template <typename Body>
Message packMessage(MessageKind Kind, const Body &Content) {
  return Message{Kind, packBody(Content)};
}

/// Returns nothing and sets `Reason` if the bytes are not such a body.
template <typename Body>
std::optional<Body> unpackBody(std::string_view Bytes, std::string &Reason) {
  try {
    // Limits keep a short body from announcing a huge array.
    const auto Handle =
        msgpack::unpack(Bytes.data(), Bytes.size(), nullptr, nullptr,
                        msgpack::unpack_limit(16384, 0, MaxMessageBytes,
                                              MaxMessageBytes, 0, 8));
    return Handle.get().template as<Body>();
  } catch (const std::exception &Failure) {
    Reason = Failure.what();
    return std::nullopt;
  }
}

} // namespace cassiashed

/// Declares the msgpack form of an enum class; use at global scope.
#define CASSIASHED_MSGPACK_ENUM(Enum, Last)                                    \
  namespace msgpack {                                                          \
  MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {                      \
    namespace adaptor {                                                        \
    template <>                                                                \
    struct convert<Enum> : cassiashed::EnumAdaptor<Enum, Last>::Convert {};    \
    template <>                                                                \
    struct pack<Enum> : cassiashed::EnumAdaptor<Enum, Last>::Pack {};          \
    }                                                                          \
  }                                                                            \
  }

/// Declares the msgpack form of a structure of another module; use at global
/// scope. `Value` names the structure in the field list.
#define CASSIASHED_MSGPACK_STRUCT(Type, ...)                                   \
  namespace msgpack {                                                          \
  MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {                      \
    namespace adaptor {                                                        \
    template <> struct convert<Type> {                                         \
      const msgpack::object &operator()(const msgpack::object &Object,         \
                                        Type &Value) const {                   \
        msgpack::type::make_define_array(__VA_ARGS__).msgpack_unpack(Object);  \
        return Object;                                                         \
      }                                                                        \
    };                                                                         \
    template <> struct pack<Type> {                                            \
      template <typename Stream>                                               \
      msgpack::packer<Stream> &operator()(msgpack::packer<Stream> &Packer,     \
                                          const Type &Value) const {           \
        msgpack::type::make_define_array(__VA_ARGS__).msgpack_pack(Packer);    \
        return Packer;                                                         \
      }                                                                        \
    };                                                                         \
    }                                                                          \
  }                                                                            \
  }
