#pragma once

#include "cassiashed/routing/quarantine.h"
#include "cassiashed/wire/body.h"
#include <vector>

namespace cassiashed {

/// One suspicion, quarantine or removal; see `routing::QuarantineNotice`.
struct QuarantineNoticeItem {
  std::uint32_t Kind = 0;
  std::string Content;
  std::uint64_t AgeMs = 0;
  std::string Endpoint;
  std::string Zone;
  std::uint64_t Incarnation = 0;
  MSGPACK_DEFINE(Kind, Content, AgeMs, Endpoint, Zone, Incarnation)
};

struct QuarantineNoticeMessage {
  std::vector<QuarantineNoticeItem> Items;
  MSGPACK_DEFINE(Items)
};

/// Returns nothing if the kind is unknown.
std::optional<routing::QuarantineNotice>
toNotice(const QuarantineNoticeItem &Item);
QuarantineNoticeItem toItem(const routing::QuarantineNotice &Notice);

} // namespace cassiashed
