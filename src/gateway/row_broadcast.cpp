#include "gateway/row_broadcast.h"

#include <algorithm>

namespace cassiashed::gateway {
namespace {

/// Rows and what surrounds them fit one frame: a message in several is lost
/// with any of them.
constexpr std::size_t MaxRowBytesPerMessage = 900;
/// Part of the own link that rows for all nodes may take; the rest is for
/// requests.
constexpr double PacedLinkPart = 0.5;
/// Between two parts of a broadcast.
constexpr Duration PacePeriod{5};

SendPacerOptions pacerOptions(double LinkMbps) {
  SendPacerOptions Options;
  Options.BytesPerSecond = LinkMbps * 1e6 / 8 * PacedLinkPart;
  return Options;
}

} // namespace

RowBroadcast::RowBroadcast(boost::asio::io_context &Context, double LinkMbps,
                           RowBroadcastHooks Hooks)
    : Hooks_(std::move(Hooks)), Pacer_(pacerOptions(LinkMbps)),
      Timer_(Context) {}

void RowBroadcast::announce(const RowBatch &Batch) {
  if (!Pacer_.empty()) {
    WaitingAfter_ = std::min(WaitingAfter_.value_or(Batch.After), Batch.After);
    return;
  }
  NodeMessage Message = Hooks_.MakeMessage();
  Message.RowsAfter = Batch.After;
  std::size_t Bytes = 0;
  for (const catalog::Row &Each : Batch.Rows) {
    const std::size_t RowBytes = Each.Key.size() + Each.Value.size();
    if (Bytes > 0 && Bytes + RowBytes > MaxRowBytesPerMessage) {
      // Rows newer than the batch's end may come early; they prove nothing.
      Message.RowsUpTo =
          std::min(Batch.UpTo, Message.EndpointRows.back().Version);
      enqueue(Message);
      Message.RowsAfter = Message.RowsUpTo;
      Message.EndpointRows.clear();
      Bytes = 0;
    }
    Bytes += RowBytes;
    Message.EndpointRows.push_back(
        {Each.Key, Each.Value, Each.Version, Each.Removed});
  }
  Message.RowsUpTo = Batch.UpTo;
  enqueue(Message);
  sendDue();
}

void RowBroadcast::enqueue(const NodeMessage &Message) {
  const auto Bytes = std::make_shared<const std::string>(packMessage(Message));
  for (const boost::asio::ip::udp::endpoint &Each : Hooks_.Targets())
    Pacer_.add(Bytes, Each);
}

void RowBroadcast::sendDue() {
  for (const PacedMessage &Each :
       Pacer_.takeDue(std::chrono::steady_clock::now()))
    Hooks_.Send(*Each.Bytes, Each.Where);
  if (Pacer_.empty()) {
    announceWaiting();
    return;
  }
  Timer_.expires_after(PacePeriod);
  Timer_.async_wait([this](boost::system::error_code Failure) {
    if (!Failure)
      sendDue();
  });
}

void RowBroadcast::announceWaiting() {
  if (!WaitingAfter_)
    return;
  const RowBatch Batch = Hooks_.RowsAfter(*WaitingAfter_);
  WaitingAfter_.reset();
  // A whole table does not go by messages; nodes that lack it ask for it.
  if (!Batch.Whole)
    announce(Batch);
}

} // namespace cassiashed::gateway
