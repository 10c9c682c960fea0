#include "gateway/row_messages.h"

#include <cstdint>
#include <msgpack.hpp>

namespace cassiashed::gateway {
namespace {

struct RowMessage {
  std::string Key;
  std::string Value;
  std::uint64_t Version = 0;
  bool Removed = false;
  MSGPACK_DEFINE(Key, Value, Version, Removed)
};

} // namespace

std::string packRows(const std::vector<catalog::Row> &Rows) {
  std::vector<RowMessage> Messages;
  Messages.reserve(Rows.size());
  for (const catalog::Row &Each : Rows)
    Messages.push_back({Each.Key, Each.Value, Each.Version, Each.Removed});
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Messages);
  return std::string(Buffer.data(), Buffer.size());
}

std::optional<std::vector<catalog::Row>> unpackRows(std::string_view Bytes,
                                                    std::string &Reason) {
  try {
    const msgpack::object_handle Handle =
        msgpack::unpack(Bytes.data(), Bytes.size());
    std::vector<RowMessage> Messages;
    Handle.get().convert(Messages);
    std::vector<catalog::Row> Rows;
    for (RowMessage &Each : Messages)
      Rows.push_back({std::move(Each.Key), std::move(Each.Value), Each.Version,
                      Each.Removed});
    return Rows;
  } catch (const msgpack::unpack_error &Failure) {
    Reason = Failure.what();
  } catch (const msgpack::type_error &Failure) {
    Reason = Failure.what();
  }
  return std::nullopt;
}

} // namespace cassiashed::gateway
