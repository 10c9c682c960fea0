#pragma once

#include "cassiashed/catalog/row_mirror.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Rows of a table as one node sends them to another.
namespace cassiashed::gateway {

using catalog::RowBatch;

std::string packRows(const RowBatch &Batch);
/// Nothing and a reason for bytes that hold no rows.
std::optional<RowBatch> unpackRows(std::string_view Bytes, std::string &Reason);

} // namespace cassiashed::gateway
