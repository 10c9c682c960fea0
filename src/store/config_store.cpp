#include "cassiashed/store/config_store.h"

#include "cassiashed/base/hash.h"
#include "cassiashed/text/json.h"
#include <thread>

namespace cassiashed {
namespace {

// A lost reply is resolved within seconds; 16 versions take far longer at 520
// changes a day.
constexpr std::size_t MaxEarlierApplyIds = 16;

std::string objectNameOf(const std::string &Hash) { return "config/" + Hash; }

/// The row with the table's version of it, which the conditional write names.
struct HeadRow {
  ConfigHead Head;
  std::uint64_t RowVersion = 0;
};

std::optional<HeadRow> readHeadRow(TableService &Table, std::string &Reason) {
  const auto Rows = Table.read({ConfigRowKey}, Reason);
  if (!Rows)
    return std::nullopt;
  if (Rows->empty() || Rows->front().Version == 0)
    return HeadRow();
  auto Head = parseConfigHead(Rows->front().Value, Reason);
  if (!Head)
    return std::nullopt;
  return HeadRow{std::move(*Head), Rows->front().Version};
}

/// One run of `publishConfig`.
class Publication {
public:
  Publication(TableService &Table, ObjectStore &Objects,
              const PublishRequest &Request, const PublishOptions &Options)
      : Table_(Table), Objects_(Objects), Request_(Request), Options_(Options) {
    New_.Version = Request.Replaces + 1;
    New_.ApplyId = Request.ApplyId;
    New_.Hash = hashHex(Request.Text);
    New_.Object = objectNameOf(New_.Hash);
    New_.Author = Request.Author;
    New_.Note = Request.Note;
    New_.Time = Request.Time;
  }

  PublishResult run() {
    std::string Reason;
    const auto Before = readHeadRow(Table_, Reason);
    if (!Before)
      return fail(PublishOutcome::Failed, Reason);
    if (Before->Head.Version != Request_.Replaces)
      return resolve(Before->Head);
    rememberApplyIds(Before->Head);
    if (!storeObject(Reason))
      return fail(PublishOutcome::Failed, Reason);
    return replaceRow(*Before);
  }

private:
  static PublishResult fail(PublishOutcome Outcome, std::string Reason) {
    return {Outcome, {}, std::move(Reason)};
  }

  void rememberApplyIds(const ConfigHead &Before) {
    if (Before.Version == 0)
      return;
    New_.EarlierApplyIds = Before.EarlierApplyIds;
    New_.EarlierApplyIds.insert(New_.EarlierApplyIds.begin(), Before.ApplyId);
    if (New_.EarlierApplyIds.size() > MaxEarlierApplyIds)
      New_.EarlierApplyIds.resize(MaxEarlierApplyIds);
  }

  bool storeObject(std::string &Reason) {
    for (int Attempt = 0; Attempt < Options_.Attempts; ++Attempt) {
      pauseBefore(Attempt);
      if (Objects_.put(New_.Object, Request_.Text, Reason))
        return true;
    }
    return false;
  }

  PublishResult replaceRow(const HeadRow &Before) {
    const std::vector<TableWrite> Writes = {
        {ConfigRowKey, formatConfigHead(New_), Before.RowVersion}};
    std::string Reason;
    for (int Attempt = 0; Attempt < Options_.Attempts; ++Attempt) {
      pauseBefore(Attempt);
      const auto Result = Table_.commit(Writes, CommitMode::All, Reason);
      if (Result && Result->Committed)
        return {PublishOutcome::Applied, New_, {}};
      MayHaveRun_ = MayHaveRun_ || !Result;
      // The condition can also fail because an earlier attempt took effect, so
      // the row decides. If it is unchanged, an attempt whose reply was lost
      // may still arrive; all attempts name the same row version, so that at
      // most one of them takes effect and repeating the write is safe.
      const auto Now = readHeadRow(Table_, Reason);
      if (Now && Now->RowVersion != Before.RowVersion)
        return resolve(Now->Head);
    }
    return fail(MayHaveRun_ ? PublishOutcome::Unknown
                            : PublishOutcome::Conflict,
                Reason);
  }

  /// Decides the outcome from a row that another write than ours may have
  /// changed.
  PublishResult resolve(const ConfigHead &Current) const {
    if (Current.Version < New_.Version)
      return {PublishOutcome::Conflict, Current, {}};
    if (Current.Version == New_.Version)
      return decide(Current.ApplyId, Current);
    const std::uint64_t Index = Current.Version - New_.Version - 1;
    if (Index < Current.EarlierApplyIds.size())
      return decide(Current.EarlierApplyIds[Index], Current);
    if (!MayHaveRun_)
      return {PublishOutcome::Conflict, Current, {}};
    return fail(PublishOutcome::Unknown,
                "version " + std::to_string(Current.Version) +
                    " is in force and no longer names version " +
                    std::to_string(New_.Version));
  }

  /// `ApplyId` is the one under which our version number was published.
  PublishResult decide(const std::string &ApplyId,
                       const ConfigHead &Current) const {
    if (ApplyId == New_.ApplyId)
      return {PublishOutcome::Applied, New_, {}};
    return {PublishOutcome::Conflict, Current, {}};
  }

  void pauseBefore(int Attempt) const {
    if (Attempt > 0)
      std::this_thread::sleep_for(Options_.Pause);
  }

  TableService &Table_;
  ObjectStore &Objects_;
  const PublishRequest &Request_;
  const PublishOptions &Options_;
  ConfigHead New_;
  bool MayHaveRun_ = false; ///< whether the reply to a write was lost
};

} // namespace

std::string formatConfigHead(const ConfigHead &Head) {
  const Json Row = {
      {"version", Head.Version}, {"apply_id", Head.ApplyId},
      {"hash", Head.Hash},       {"object", Head.Object},
      {"author", Head.Author},   {"note", Head.Note},
      {"time", Head.Time},       {"earlier_apply_ids", Head.EarlierApplyIds}};
  // Author and note come from a command line, which need not be UTF-8.
  return Row.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<ConfigHead> parseConfigHead(std::string_view Text,
                                          std::string &Reason) {
  const auto Row = parseJsonObject(Text, Reason);
  if (!Row)
    return std::nullopt;
  ConfigHead Head;
  const std::int64_t Version = readInteger(*Row, "version");
  Head.Version = static_cast<std::uint64_t>(Version);
  Head.ApplyId = readString(*Row, "apply_id");
  Head.Hash = readString(*Row, "hash");
  Head.Object = readString(*Row, "object");
  Head.Author = readString(*Row, "author");
  Head.Note = readString(*Row, "note");
  Head.Time = readString(*Row, "time");
  if (const auto Earlier = Row->find("earlier_apply_ids");
      Earlier != Row->end() && Earlier->is_array())
    for (const Json &Id : *Earlier)
      Head.EarlierApplyIds.push_back(Id.is_string() ? Id.get<std::string>()
                                                    : std::string());
  if (Version <= 0 || Head.Hash.empty() || Head.Object.empty()) {
    Reason = std::string(ConfigRowKey) + " lacks version, hash or object";
    return std::nullopt;
  }
  return Head;
}

std::optional<ConfigHead> readConfigHead(TableService &Table,
                                         std::string &Reason) {
  auto Row = readHeadRow(Table, Reason);
  if (!Row)
    return std::nullopt;
  return std::move(Row->Head);
}

std::optional<std::string> readConfigText(ObjectStore &Objects,
                                          const ConfigHead &Head,
                                          std::string &Reason) {
  auto Text = Objects.get(Head.Object, Reason);
  if (Text && hashHex(*Text) != Head.Hash) {
    Reason = "object " + Head.Object + " does not have the hash " + Head.Hash;
    return std::nullopt;
  }
  return Text;
}

PublishResult publishConfig(TableService &Table, ObjectStore &Objects,
                            const PublishRequest &Request,
                            const PublishOptions &Options) {
  return Publication(Table, Objects, Request, Options).run();
}

} // namespace cassiashed
