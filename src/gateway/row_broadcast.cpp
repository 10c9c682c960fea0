#include "gateway/row_broadcast.h"

#include <algorithm>

namespace cassiashed::gateway {
namespace {

/// Leaves room in one Ethernet frame for the rest of the message: a fragmented
/// datagram is lost when any fragment is lost.
constexpr std::size_t MaxRowBytesPerMessage = 900;
/// Fraction of the own link that broadcasts of rows may use; the rest is for
/// requests.
constexpr double PacedLinkFraction = 0.5;
/// Time between two bursts of a broadcast.
constexpr Duration PacePeriod{5};

SendPacerOptions pacerOptions(double LinkMbps) {
  SendPacerOptions Options;
  Options.BytesPerSecond = LinkMbps * 1e6 / 8 * PacedLinkFraction;
  return Options;
}

} // namespace

RowBroadcast::RowBroadcast(boost::asio::io_context &Context, double LinkMbps,
                           RowBroadcastHooks Hooks)
    : Hooks_(std::move(Hooks)), Pacer_(pacerOptions(LinkMbps)),
      Timer_(Context) {}

void RowBroadcast::announce(const RowBatch &Batch) {
  if (!Pacer_.empty()) {
    if (Batch.Era != PendingEra_)
      PendingAfter_.reset();
    PendingEra_ = Batch.Era;
    PendingAfter_ = std::min(PendingAfter_.value_or(Batch.After), Batch.After);
    return;
  }
  NodeMessage Message = Hooks_.MakeMessage();
  Message.RowsAfter = Batch.After;
  Message.RowsEra = Batch.Era;
  std::size_t Bytes = 0;
  for (const catalog::Row &Row : Batch.Rows) {
    const std::size_t RowBytes = Row.Key.size() + Row.Value.size();
    if (Bytes > 0 && Bytes + RowBytes > MaxRowBytesPerMessage) {
      // A batch can contain rows newer than its end that arrived early. They
      // do not show that the rows between are known.
      Message.RowsUpTo =
          std::min(Batch.UpTo, Message.EndpointRows.back().Version);
      enqueue(Message);
      Message.RowsAfter = Message.RowsUpTo;
      Message.EndpointRows.clear();
      Bytes = 0;
    }
    Bytes += RowBytes;
    Message.EndpointRows.push_back(
        {Row.Key, Row.Value, Row.Version, Row.Removed});
  }
  Message.RowsUpTo = Batch.UpTo;
  enqueue(Message);
  sendDue();
}

void RowBroadcast::enqueue(const NodeMessage &Message) {
  const auto Bytes = std::make_shared<const std::string>(packMessage(Message));
  for (const boost::asio::ip::udp::endpoint &Target : Hooks_.Targets())
    Pacer_.add(Bytes, Target);
}

void RowBroadcast::sendDue() {
  for (const PacedMessage &Message :
       Pacer_.takeDue(std::chrono::steady_clock::now()))
    Hooks_.Send(*Message.Bytes, Message.Target);
  if (Pacer_.empty()) {
    announcePending();
    return;
  }
  Timer_.expires_after(PacePeriod);
  Timer_.async_wait([this](boost::system::error_code Failure) {
    if (!Failure)
      sendDue();
  });
}

void RowBroadcast::announcePending() {
  if (!PendingAfter_)
    return;
  const RowBatch Batch = Hooks_.RowsAfter(*PendingAfter_);
  PendingAfter_.reset();
  // A whole table is not broadcast; nodes that lack it read it over HTTP. That
  // goes for the table of a new era, too.
  if (!Batch.Whole && Batch.Era == PendingEra_)
    announce(Batch);
}

} // namespace cassiashed::gateway
