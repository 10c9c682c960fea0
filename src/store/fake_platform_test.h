#pragma once

#include "cassiashed/store/object_store.h"
#include "cassiashed/store/table_service.h"
#include <functional>
#include <map>
#include <mutex>
#include <utility>

namespace cassiashed {

/// A table service and an object store in memory, for tests. Commits have one
/// write.
class FakePlatform : public TableService, public ObjectStore {
public:
  enum class Fault { None, LoseReply, LoseRequest };

  std::optional<CommitResult> commit(const std::vector<TableWrite> &Writes,
                                     CommitMode /*Mode*/,
                                     std::string &Reason) override {
    if (BeforeCommit)
      std::exchange(BeforeCommit, {})();
    const std::lock_guard Guard(Lock_);
    const Fault Current = Faults_.empty() ? Fault::None : Faults_.front();
    if (!Faults_.empty())
      Faults_.erase(Faults_.begin());
    Reason = "no reply";
    if (Current == Fault::LoseRequest)
      return std::nullopt;
    const TableWrite &Write = Writes.front();
    TableRow &Row = Rows_[Write.Key];
    CommitResult Result;
    Result.Committed = !Write.IfVersion || *Write.IfVersion == Row.Version;
    if (Result.Committed)
      Row = {Write.Key, *Write.Value, NextVersion_++};
    Result.Versions = {Result.Committed ? std::optional(Row.Version)
                                        : std::nullopt};
    if (Result.Committed && AfterCommit)
      std::exchange(AfterCommit, {})(Row);
    return Current == Fault::LoseReply ? std::nullopt : std::optional(Result);
  }
  std::optional<std::vector<TableRow>>
  read(const std::vector<std::string> &Keys, std::string &Reason) override {
    const std::lock_guard Guard(Lock_);
    Reason = "table service down";
    if (TableDown)
      return std::nullopt;
    return std::vector<TableRow>{Rows_[Keys.front()]};
  }
  std::optional<std::vector<TableRow>> scan(const std::string & /*Prefix*/,
                                            std::string & /*Reason*/) override {
    return std::nullopt;
  }
  bool put(const std::string &Name, const std::string &Bytes,
           std::string &Reason) override {
    const std::lock_guard Guard(Lock_);
    Reason = "object store down";
    if (ObjectsDown)
      return false;
    Objects_[Name] = Bytes;
    return true;
  }
  std::optional<std::string> get(const std::string &Name,
                                 std::string & /*Reason*/) override {
    const std::lock_guard Guard(Lock_);
    return Objects_[Name];
  }

  void setFaults(std::vector<Fault> Faults) { Faults_ = std::move(Faults); }
  std::uint64_t countRowWrites() const { return NextVersion_ - FirstVersion; }
  void corrupt(const std::string &Name) { Objects_[Name] += "x"; }

  bool TableDown = false; ///< reads fail
  bool ObjectsDown = false;
  std::function<void()> BeforeCommit;          ///< called once
  std::function<void(TableRow &)> AfterCommit; ///< called once

private:
  static constexpr std::uint64_t FirstVersion = 100;
  std::mutex Lock_;
  std::map<std::string, TableRow> Rows_;
  std::map<std::string, std::string> Objects_;
  std::vector<Fault> Faults_;
  std::uint64_t NextVersion_ = FirstVersion;
};

} // namespace cassiashed
