#pragma once

#include "cassiashed/catalog/row_mirror.h"
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Rows of a table as one node sends them to another.
namespace cassiashed::gateway {

std::string packRows(const std::vector<catalog::Row> &Rows);
/// Nothing and a reason for bytes that hold no rows.
std::optional<std::vector<catalog::Row>> unpackRows(std::string_view Bytes,
                                                    std::string &Reason);

} // namespace cassiashed::gateway
