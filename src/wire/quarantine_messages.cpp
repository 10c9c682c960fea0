#include "cassiashed/wire/quarantine_messages.h"

namespace cassiashed {

std::optional<routing::QuarantineNotice>
toNotice(const QuarantineNoticeItem &Item) {
  constexpr auto LastKind =
      static_cast<std::uint32_t>(routing::QuarantineNoticeKind::Removed);
  if (Item.Kind > LastKind)
    return std::nullopt;
  routing::QuarantineNotice Notice;
  Notice.Kind = static_cast<routing::QuarantineNoticeKind>(Item.Kind);
  Notice.ContentHash = Item.Content;
  Notice.Age = std::chrono::milliseconds(Item.AgeMs);
  Notice.Endpoint = Item.Endpoint;
  Notice.Zone = Item.Zone;
  Notice.Incarnation = Item.Incarnation;
  return Notice;
}

QuarantineNoticeItem toItem(const routing::QuarantineNotice &Notice) {
  QuarantineNoticeItem Item;
  Item.Kind = static_cast<std::uint32_t>(Notice.Kind);
  Item.Content = Notice.ContentHash;
  Item.AgeMs = static_cast<std::uint64_t>(Notice.Age.count());
  Item.Endpoint = Notice.Endpoint;
  Item.Zone = Notice.Zone;
  Item.Incarnation = Notice.Incarnation;
  return Item;
}

} // namespace cassiashed
