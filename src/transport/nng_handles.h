#pragma once

#include <memory>
#include <nng/nng.h>
#include <string_view>
#include <utility>

/// Owners of nng resources.
namespace cassiashed {

class NngSocket {
public:
  NngSocket() = default;
  explicit NngSocket(nng_socket Id) : Id_(Id) {}
  NngSocket(NngSocket &&Other) noexcept : Id_(std::exchange(Other.Id_, {})) {}
  NngSocket &operator=(NngSocket &&Other) noexcept {
    std::swap(Id_, Other.Id_);
    return *this;
  }
  ~NngSocket() { close(); }

  nng_socket get() const { return Id_; }
  void close() {
    if (Id_.id != 0)
      nng_close(std::exchange(Id_, {}));
  }

private:
  nng_socket Id_ = {};
};

class NngContext {
public:
  NngContext() = default;
  NngContext(const NngContext &) = delete;
  NngContext &operator=(const NngContext &) = delete;
  ~NngContext() {
    if (Id_.id != 0)
      nng_ctx_close(Id_);
  }

  /// Returns an nng error number, 0 on success.
  int open(nng_socket Socket) { return nng_ctx_open(&Id_, Socket); }
  nng_ctx get() const { return Id_; }

private:
  nng_ctx Id_ = {};
};

struct NngAioDeleter {
  void operator()(nng_aio *Aio) const { nng_aio_free(Aio); }
};
using NngAio = std::unique_ptr<nng_aio, NngAioDeleter>;

struct NngMessageDeleter {
  void operator()(nng_msg *Content) const { nng_msg_free(Content); }
};
using NngMessage = std::unique_ptr<nng_msg, NngMessageDeleter>;

/// Returns nothing if memory is exhausted.
inline NngMessage makeNngMessage(std::string_view Bytes) {
  nng_msg *Content = nullptr;
  if (nng_msg_alloc(&Content, 0) != 0)
    return nullptr;
  NngMessage Result(Content);
  if (nng_msg_append(Content, Bytes.data(), Bytes.size()) != 0)
    return nullptr;
  return Result;
}

inline std::string_view bytesOf(const NngMessage &Content) {
  return {static_cast<const char *>(nng_msg_body(Content.get())),
          nng_msg_len(Content.get())};
}

} // namespace cassiashed
