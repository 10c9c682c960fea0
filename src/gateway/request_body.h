#pragma once

#include "gateway/http_wire.h"
#include <algorithm>
#include <string>
#include <vector>

namespace cassiashed::gateway {

/// Body of a request as Beast's parser stores it: at its size, also while a
/// chunked one of unknown length grows.
struct RequestBody {
  class value_type { // NOLINT(readability-identifier-naming): Beast's name
  public:
    std::size_t size() const { return Size_; } // NOLINT: Beast's name
    void reserve(std::size_t Bytes) { First_.reserve(Bytes); }

    void append(const char *Bytes, std::size_t Count) {
      Size_ += Count;
      if (Blocks_.empty()) {
        const std::size_t Room =
            std::max(First_.capacity(), FirstBytes) - First_.size();
        const std::size_t Taken = std::min(Count, Room);
        First_.append(Bytes, Taken);
        Bytes += Taken;
        Count -= Taken;
      }
      while (Count > 0) {
        if (Blocks_.empty() || Blocks_.back().size() == BlockBytes) {
          Blocks_.emplace_back();
          Blocks_.back().reserve(BlockBytes);
        }
        const std::size_t Taken =
            std::min(Count, BlockBytes - Blocks_.back().size());
        Blocks_.back().append(Bytes, Taken);
        Bytes += Taken;
        Count -= Taken;
      }
    }

    /// The whole body. Blocks are freed while they are copied, so that only one
    /// body is held twice at a time.
    std::string take() {
      if (!Blocks_.empty())
        First_.reserve(Size_);
      for (std::string &Block : Blocks_) {
        First_ += Block;
        std::string().swap(Block);
      }
      Blocks_.clear();
      Size_ = 0;
      return std::move(First_);
    }

  private:
    /// Bodies up to it grow in one string.
    static constexpr std::size_t FirstBytes = 64 * 1024;
    /// A mapping of its own (`M_MMAP_THRESHOLD` in gateway.cpp): its unused end
    /// takes no memory, and a freed block returns to the system.
    static constexpr std::size_t BlockBytes = 256 * 1024;

    std::string First_;
    std::vector<std::string> Blocks_;
    std::size_t Size_ = 0;
  };

  static std::uint64_t size(const value_type &Body) { // NOLINT: Beast's name
    return Body.size();
  }

  class reader { // NOLINT(readability-identifier-naming): Beast's name
  public:
    template <bool IsRequest, typename Fields>
    reader(bhttp::header<IsRequest, Fields> & /*Head*/, value_type &Body)
        : Body_(Body) {}
    // NOLINTNEXTLINE: Beast's names
    void init(const boost::optional<std::uint64_t> &Length, Code &Failure) {
      Failure = {};
      if (Length)
        Body_.reserve(static_cast<std::size_t>(*Length));
    }
    template <typename Buffers>
    std::size_t put(const Buffers &Bytes, Code &Failure) { // NOLINT
      Failure = {};
      std::size_t Total = 0;
      for (const auto Piece : beast::buffers_range_ref(Bytes)) {
        Body_.append(static_cast<const char *>(Piece.data()), Piece.size());
        Total += Piece.size();
      }
      return Total;
    }
    void finish(Code &Failure) { Failure = {}; } // NOLINT: Beast's name

  private:
    value_type &Body_;
  };
};

} // namespace cassiashed::gateway
