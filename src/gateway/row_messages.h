#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/catalog/table_replica.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Encoding of rows of a table that one node sends to another.
namespace cassiashed::gateway {

using catalog::RowBatch;

/// How complete a node's copy of a table was when the store's steady clock
/// showed `StoreTime`. Other nodes use it to tell how up to date their own
/// copies are.
struct CoverageReport {
  catalog::Table Table = catalog::Table::Endpoints;
  catalog::RowCoverage Coverage;
  Duration StoreTime{0};
};

std::string packRows(const RowBatch &Batch);
/// Returns nothing and sets `Reason` if the bytes are not packed rows.
std::optional<RowBatch> unpackRows(std::string_view Bytes, std::string &Reason);

} // namespace cassiashed::gateway
