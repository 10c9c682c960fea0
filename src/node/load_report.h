#pragma once

#include "cassiashed/scheduling/grant.h"
#include <optional>
#include <string_view>

namespace cassiashed {

/// Parses the answer to `GET /v1/load`. `MeasuredAt` is the earliest time that
/// the report may describe.
std::optional<scheduling::LoadReport> parseLoadReport(std::string_view Body,
                                                      TimePoint MeasuredAt);

} // namespace cassiashed
