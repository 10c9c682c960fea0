#include "gateway/row_messages.h"

#include "gateway/packed.h"
#include <cstdint>

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
  return pack(Messages);
}

std::optional<std::vector<catalog::Row>> unpackRows(std::string_view Bytes,
                                                    std::string &Reason) {
  std::optional<std::vector<RowMessage>> Messages =
      unpack<std::vector<RowMessage>>(Bytes, Reason);
  if (!Messages)
    return std::nullopt;
  std::vector<catalog::Row> Rows;
  Rows.reserve(Messages->size());
  for (RowMessage &Each : *Messages)
    Rows.push_back({std::move(Each.Key), std::move(Each.Value), Each.Version,
                    Each.Removed});
  return Rows;
}

} // namespace cassiashed::gateway
