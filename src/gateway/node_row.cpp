#include "gateway/node_row.h"

#include "cassiashed/base/event_log.h"
#include "gateway/catalog_updater.h"
#include <algorithm>

namespace cassiashed::gateway {
namespace {

constexpr Duration RetryDelay{1000};
/// After a restore the nodes read the table spread over this time for each of
/// them, since the store's calls per second are limited for all together.
constexpr Duration RenewalSpreadPerNode{20};

class StoredNodeRow final : public NodeRow {
public:
  StoredNodeRow(GatewayState &State, StoreClient &Store, OnRows Notify)
      : State_(State), Store_(Store), Notify_(std::move(Notify)) {}

  void start() override {
    asio::co_spawn(State_.Context, join(), asio::detached);
  }

  void noteEra(std::uint64_t Era) override {
    Era_ = std::max(Era_, Era);
    if (!Joined_ || Renewing_ || Era_ <= ConfirmedEra_)
      return;
    Renewing_ = true;
    asio::co_spawn(State_.Context, renew(), asio::detached);
  }

private:
  /// The value may change with the settings.
  std::string value() const {
    return encodeNodeRow(State_.Settings.Gateway.Internal.Host,
                         State_.Settings.Limits.CpuShare);
  }

  http::Task<void> join() {
    bool Written = false;
    while (true) {
      StoreRows Result;
      if (!Written)
        Result =
            co_await Store_.writeNode(State_.Settings.Gateway.Name, value());
      else
        Result = co_await Store_.readAll(catalog::Table::Nodes);
      if (Result.Status != StoreStatus::Ok) {
        logFailure(Written ? "read" : "write", Result);
        co_await http::sleepFor(RetryDelay);
        continue;
      }
      if (Written) {
        Notify_(Result.Rows);
        Joined_ = true;
        noteEra(Result.Era);
        co_return;
      }
      Written = true;
      ConfirmedEra_ = Result.Era;
    }
  }

  /// Reads the table first: the copy may have the row, and the write is
  /// charged. After a write it reads once more, as at the start: a node that
  /// wrote its row after the first read did not find this one.
  http::Task<void> renew() {
    co_await http::sleepFor(
        Duration(std::uniform_int_distribution<std::int64_t>(
            0, RenewalSpreadPerNode.count() *
                   State_.Nodes->possibleNodes())(State_.Random)));
    std::uint64_t WrittenEra = 0;
    while (ConfirmedEra_ < Era_) {
      StoreRows Result = co_await Store_.readAll(catalog::Table::Nodes);
      if (!isCurrent(Result, "read")) {
        co_await http::sleepFor(RetryDelay);
        continue;
      }
      Notify_(Result.Rows);
      const bool IsWritten = WrittenEra == Result.Era;
      if (IsWritten || isListed(Result.Rows)) {
        ConfirmedEra_ = Result.Era;
        logEvent("node_row_kept")
            .field("era", ConfirmedEra_)
            .field("written", IsWritten);
        continue;
      }
      Result = co_await Store_.writeNode(State_.Settings.Gateway.Name, value());
      if (isCurrent(Result, "write"))
        WrittenEra = Result.Era;
      else
        co_await http::sleepFor(RetryDelay);
    }
    Renewing_ = false;
  }

  bool isListed(const std::vector<catalog::Row> &Rows) const {
    const std::string Value = value();
    return std::any_of(Rows.begin(), Rows.end(), [&](const catalog::Row &Row) {
      return Row.Key == State_.Settings.Gateway.Name && Row.Value == Value;
    });
  }

  bool isCurrent(const StoreRows &Result, std::string_view Step) const {
    if (Result.Status != StoreStatus::Ok)
      logFailure(Step, Result);
    return Result.Status == StoreStatus::Ok && Result.Era >= Era_;
  }

  static void logFailure(std::string_view Step, const StoreRows &Result) {
    logWarning("nodes_table_failed")
        .field("step", Step)
        .field("reason", Result.Reason);
  }

  GatewayState &State_;
  StoreClient &Store_;
  OnRows Notify_;
  std::uint64_t Era_ = 0;          ///< latest known of the store
  std::uint64_t ConfirmedEra_ = 0; ///< in which the row is stored
  bool Joined_ = false;
  bool Renewing_ = false;
};

} // namespace

std::unique_ptr<NodeRow> makeNodeRow(GatewayState &State, StoreClient &Store,
                                     NodeRow::OnRows Notify) {
  return std::make_unique<StoredNodeRow>(State, Store, std::move(Notify));
}

} // namespace cassiashed::gateway
