#pragma once

#include "gateway/row_messages.h"
#include "http/asio.h"
#include "http/message.h"
#include <optional>
#include <string>

namespace cassiashed::gateway {

/// HTTP path at which a node serves its rows of a table to other nodes.
std::string rowsPath(catalog::Table TableId);

/// Target of a call that reads another node's rows after a version.
std::string rowsTarget(catalog::Table TableId, catalog::StoreVersion After);
/// The version that the query of such a target states; era 0 if it names none.
catalog::StoreVersion parseRowsQuery(std::string_view Query);

/// Reads another node's rows of a table after a version. Returns nothing, and
/// logs why, if the node does not send them.
http::Task<std::optional<RowBatch>> readPeerRows(catalog::Table TableId,
                                                 http::Address Peer,
                                                 catalog::StoreVersion After);

} // namespace cassiashed::gateway
