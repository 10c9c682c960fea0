#pragma once

#include "cassiashed/base/event_log.h"
#include "cassiashed/transport/peer_transport.h"
#include "cassiashed/wire/config_messages.h"
#include <array>
#include <atomic>
#include <functional>

namespace cassiashed {

/// Passes messages of other nodes to the handler of their kind. Handlers are
/// registered before the transport starts and run after `open`.
class PeerService {
public:
  using Handler = std::function<Message(const ReceivedMessage &)>;

  void on(MessageKind Kind, Handler Run) {
    Handlers_[static_cast<std::size_t>(Kind)] = std::move(Run);
  }

  /// Called when everything that the handlers use exists.
  void open() { Open_ = true; }

  void handle(ReceivedMessage Received, const ReplyFunction &Reply) const {
    if (!Open_) {
      Reply(packMessage(MessageKind::Failure, FailureReply{"starting"}));
      return;
    }
    const Handler &Run =
        Handlers_[static_cast<std::size_t>(Received.Content.Kind)];
    if (Run) {
      Reply(Run(Received));
      return;
    }
    logWarning("message_without_handler")
        .field("kind", nameOf(Received.Content.Kind))
        .field("sender", Received.Sender);
    Reply(packMessage(MessageKind::Failure, FailureReply{"not supported"}));
  }

private:
  std::atomic<bool> Open_ = false;
  std::array<Handler, MessageKindCount> Handlers_;
};

} // namespace cassiashed
