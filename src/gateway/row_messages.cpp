#include "gateway/row_messages.h"

#include "gateway/msgpack_codec.h"
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

struct BatchMessage {
  std::uint64_t After = 0;
  std::uint64_t UpTo = 0;
  std::vector<RowMessage> Rows;
  bool Whole = false;
  std::uint64_t Era = 0;
  MSGPACK_DEFINE(After, UpTo, Rows, Whole, Era)
};

} // namespace

std::string packRows(const RowBatch &Batch) {
  BatchMessage Message{Batch.After, Batch.UpTo, {}, Batch.Whole, Batch.Era};
  Message.Rows.reserve(Batch.Rows.size());
  for (const catalog::Row &Row : Batch.Rows)
    Message.Rows.push_back({Row.Key, Row.Value, Row.Version, Row.Removed});
  return pack(Message);
}

std::optional<RowBatch> unpackRows(std::string_view Bytes,
                                   std::string &Reason) {
  std::optional<BatchMessage> Message = unpack<BatchMessage>(Bytes, Reason);
  if (!Message)
    return std::nullopt;
  if (Message->Era > catalog::MaxStoreEra) {
    Reason = "the era is out of range";
    return std::nullopt;
  }
  RowBatch Batch{
      Message->After, Message->UpTo, {}, Message->Whole, Message->Era};
  Batch.Rows.reserve(Message->Rows.size());
  for (RowMessage &Row : Message->Rows)
    Batch.Rows.push_back(
        {std::move(Row.Key), std::move(Row.Value), Row.Version, Row.Removed});
  return Batch;
}

} // namespace cassiashed::gateway
