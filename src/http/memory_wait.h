#pragma once

#include "http/asio.h"
#include "http/memory_account.h"

namespace cassiashed::http {

/// How long a peer waits for memory before it is refused. Callers give a
/// request up that is not read within a second.
inline constexpr Duration MaxMemoryWait{800};

/// Waits until `Holder` holds `Bytes` in all. Returns false if it got none in
/// time or was dropped.
Task<bool> holdMemory(MemoryHolder &Holder, std::size_t Bytes);

} // namespace cassiashed::http
