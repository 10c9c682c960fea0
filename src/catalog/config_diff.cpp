#include "cassiashed/catalog/config_diff.h"

#include "cassiashed/catalog/config_check.h"
#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace cassiashed::catalog {
namespace {

using Details = std::vector<std::string>;

void compareFields(const WrittenFields &Old, const WrittenFields &New,
                   Details &Result) {
  for (const auto &[Field, Value] : Old) {
    const auto Found = New.find(Field);
    if (Found == New.end())
      Result.push_back(fmt::format("{} removed (was {})", Field, Value));
    else if (Found->second != Value)
      Result.push_back(
          fmt::format("{}: {} -> {}", Field, Value, Found->second));
  }
  for (const auto &[Field, Value] : New)
    if (Old.find(Field) == Old.end())
      Result.push_back(fmt::format("{} added: {}", Field, Value));
}

bool contains(const std::vector<std::string> &List, const std::string &Text) {
  return std::find(List.begin(), List.end(), Text) != List.end();
}

template <typename Entry>
void compareEntries(const Entry &Old, const Entry &New, Details &Result) {
  compareFields(Old.Fields, New.Fields, Result);
}

void compareEntries(const WrittenWorkspace &Old, const WrittenWorkspace &New,
                    Details &Result) {
  compareFields(Old.Fields, New.Fields, Result);
  for (const std::string &Key : Old.Keys)
    if (!contains(New.Keys, Key))
      Result.push_back("key " + abbreviateKey(Key) + " removed");
  for (const std::string &Key : New.Keys)
    if (!contains(Old.Keys, Key))
      Result.push_back("key " + abbreviateKey(Key) + " added");
}

template <typename Entry>
const Entry *findEntry(const std::vector<Entry> &List,
                       const std::string &Name) {
  const auto Found =
      std::find_if(List.begin(), List.end(),
                   [&](const Entry &Each) { return Each.Name == Name; });
  return Found == List.end() ? nullptr : &*Found;
}

template <typename Entry>
void compareLists(const char *Word, const std::vector<Entry> &Old,
                  const std::vector<Entry> &New, std::vector<Change> &Result) {
  for (const Entry &Each : New) {
    const std::string Title = std::string(Word) + ' ' + Each.Name;
    const Entry *Before = findEntry(Old, Each.Name);
    Details Found;
    // An added entry is compared with an empty one, which lists its fields.
    compareEntries(Before ? *Before : Entry{}, Each, Found);
    if (!Before)
      Result.push_back({ChangeKind::Added, Title, std::move(Found)});
    else if (!Found.empty())
      Result.push_back({ChangeKind::Changed, Title, std::move(Found)});
  }
  for (const Entry &Each : Old)
    if (!findEntry(New, Each.Name))
      Result.push_back(
          {ChangeKind::Removed, std::string(Word) + ' ' + Each.Name, {}});
}

} // namespace

std::string_view nameOf(ChangeKind Kind) {
  static constexpr std::array<std::string_view, 3> Names = {"added", "removed",
                                                            "changed"};
  return Names[static_cast<std::size_t>(Kind)];
}

std::vector<Change> compareConfigs(const ConfigDraft &InForce,
                                   const ConfigDraft &Next) {
  std::vector<Change> Result;
  compareLists("route", InForce.Routes, Next.Routes, Result);
  compareLists("service", InForce.Services, Next.Services, Result);
  compareLists("workspace", InForce.Workspaces, Next.Workspaces, Result);
  Details Limits;
  compareFields(InForce.LimitFields, Next.LimitFields, Limits);
  if (!Limits.empty())
    Result.push_back({ChangeKind::Changed, "limits", std::move(Limits)});
  // Without a list of workspaces no request needs a key.
  if (InForce.Config.HasWorkspaces != Next.Config.HasWorkspaces)
    Result.push_back(
        {ChangeKind::Changed,
         "access",
         {Next.Config.HasWorkspaces ? "requests now need an API key"
                                    : "requests no longer need an API key"}});
  return Result;
}

} // namespace cassiashed::catalog
