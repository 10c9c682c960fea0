#include "node/call_table.h"

#include "cassiashed/base/clock.h"
#include "node/one_shot.h"
#include <mutex>
#include <unordered_map>

namespace cassiashed {
namespace {

using http::Task;

// Adds at most this to the batching delay of 25 ms.
constexpr Duration PumpInterval = std::chrono::milliseconds(5);

class CallTableImpl final : public CallTable,
                            public std::enable_shared_from_this<CallTableImpl> {
public:
  CallTableImpl(http::asio::io_context &Context,
                http::asio::thread_pool &Blocking, TableService &Table)
      : Context_(Context), Blocking_(Blocking), Table_(Table) {}

  void start() override {
    http::asio::co_spawn(http::asio::make_strand(Context_),
                         pump(shared_from_this()), http::asio::detached);
  }

  void write(TableWrite Write, RowCallback Done) override {
    const std::lock_guard Lock(Mutex_);
    const std::uint64_t Ticket =
        Batcher_.addWrite(std::move(Write), Clock_.now());
    Callbacks_.emplace(Ticket, std::move(Done));
  }

  void read(std::string Key, RowCallback Done) override {
    const std::lock_guard Lock(Mutex_);
    const std::uint64_t Ticket = Batcher_.addRead(std::move(Key), Clock_.now());
    Callbacks_.emplace(Ticket, std::move(Done));
  }

private:
  static Task<void> pump(std::shared_ptr<CallTableImpl> Self) {
    while (true) {
      co_await http::sleepFor(PumpInterval);
      while (auto Batch = Self->takeCommit())
        http::asio::post(Self->Blocking_, [Self, Work = std::move(*Batch)] {
          Self->performCommit(Work);
        });
      while (auto Batch = Self->takeRead())
        http::asio::post(Self->Blocking_, [Self, Work = std::move(*Batch)] {
          Self->performRead(Work);
        });
    }
  }

  std::optional<CommitBatch> takeCommit() {
    const std::lock_guard Lock(Mutex_);
    return Batcher_.takeCommit(Clock_.now());
  }

  std::optional<ReadBatch> takeRead() {
    const std::lock_guard Lock(Mutex_);
    return Batcher_.takeRead(Clock_.now());
  }

  void performCommit(const CommitBatch &Work) {
    std::string Reason;
    const auto Result = Table_.commit(Work.Writes, CommitMode::Each, Reason);
    std::vector<RowResult> Rows;
    {
      const std::lock_guard Lock(Mutex_);
      Rows = Batcher_.onCommit(Work.Id, Result, Clock_.now());
    }
    deliver(Rows);
  }

  void performRead(const ReadBatch &Work) {
    std::string Reason;
    const auto Found = Table_.read(Work.Keys, Reason);
    std::vector<RowResult> Rows;
    {
      const std::lock_guard Lock(Mutex_);
      Rows = Batcher_.onRead(Work.Id, Found, Clock_.now());
    }
    deliver(Rows);
  }

  void deliver(const std::vector<RowResult> &Rows) {
    for (const RowResult &Row : Rows) {
      RowCallback Done;
      {
        const std::lock_guard Lock(Mutex_);
        const auto Found = Callbacks_.find(Row.Ticket);
        if (Found == Callbacks_.end())
          continue;
        Done = std::move(Found->second);
        Callbacks_.erase(Found);
      }
      Done(Row);
    }
  }

  SteadyClock Clock_;
  http::asio::io_context &Context_;
  http::asio::thread_pool &Blocking_;
  TableService &Table_;
  std::mutex Mutex_; ///< guards what follows; not held during table calls
  CallBatcher Batcher_;
  std::unordered_map<std::uint64_t, RowCallback> Callbacks_;
};

} // namespace

std::shared_ptr<CallTable> makeCallTable(http::asio::io_context &Context,
                                         http::asio::thread_pool &Blocking,
                                         TableService &Table) {
  return std::make_shared<CallTableImpl>(Context, Blocking, Table);
}

} // namespace cassiashed
