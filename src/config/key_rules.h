#pragma once

#include "cassiashed/config/problem.h"
#include "cassiashed/text/ini.h"
#include "config/nearest.h"
#include <algorithm>
#include <array>
#include <iterator>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Reads the keys of an INI section into a struct by a table of rules.
namespace cassiashed {

/// Adds problems of one file to a list.
class ProblemReporter {
public:
  ProblemReporter(std::string File, Problems &Errors)
      : File_(std::move(File)), Errors_(Errors) {}

  void add(int Line, std::string Key, std::string Text,
           std::string_view Allowed = {}) {
    Errors_.push_back(
        {File_, Line, std::move(Key), std::move(Text), std::string(Allowed)});
    ++Count_;
  }
  /// Number of problems added by this reporter.
  std::size_t count() const { return Count_; }

private:
  std::string File_;
  Problems &Errors_;
  std::size_t Count_ = 0;
};

/// How one key is parsed and stored.
template <typename Target> struct KeyRule {
  std::string_view Name;
  std::string_view Allowed;
  /// Returns false if the value is not allowed.
  bool (*Set)(Target &, std::string_view Value);
  bool Required;
  bool IsSecret; ///< messages do not quote the value
};

template <typename Member> struct MemberOf;
template <typename Class, typename Field> struct MemberOf<Field Class::*> {
  using Target = Class;
};

/// Rule that stores the result of `Parse` in `Member`.
///
/// ```cpp
/// makeRule<&NodeSettings::Name, parseName>("name", NameForm, true)
/// ```
template <auto Member, auto Parse>
constexpr auto makeRule(std::string_view Name, std::string_view Allowed,
                        bool Required = false, bool IsSecret = false) {
  using Target = typename MemberOf<decltype(Member)>::Target;
  return KeyRule<Target>{Name, Allowed,
                         [](Target &To, std::string_view Value) {
                           auto Parsed = Parse(Value);
                           if (!Parsed)
                             return false;
                           To.*Member = std::move(*Parsed);
                           return true;
                         },
                         Required, IsSecret};
}

/// Line of a key, or of the section if the key is absent.
inline int findLine(const IniSection &Section, std::string_view Key) {
  for (const IniKey &Entry : Section.Keys)
    if (Entry.Name == Key)
      return Entry.Line;
  return Section.Line;
}

inline const IniKey *findKey(const IniSection &Section, std::string_view Key) {
  for (const IniKey &Entry : Section.Keys)
    if (Entry.Name == Key)
      return &Entry;
  return nullptr;
}

/// Reads every key of the section; reports unknown, duplicate, missing and
/// malformed ones.
template <typename Target, std::size_t Count>
void readKeys(const IniSection &Section,
              const std::array<KeyRule<Target>, Count> &Rules, Target &To,
              ProblemReporter &Report) {
  std::array<int, Count> SeenAt{}; // line of each key, 0: absent
  for (const IniKey &Entry : Section.Keys) {
    const auto AddProblem = [&](std::string Text,
                                std::string_view Allowed = {}) {
      Report.add(Entry.Line, Section.Name + "." + Entry.Name, std::move(Text),
                 Allowed);
    };
    std::size_t Index = 0;
    while (Index < Count && Rules[Index].Name != Entry.Name)
      ++Index;
    if (Index == Count) {
      std::vector<std::string_view> Known;
      std::transform(Rules.begin(), Rules.end(), std::back_inserter(Known),
                     [](const auto &Rule) { return Rule.Name; });
      AddProblem("unknown key, did you mean " +
                 std::string(findNearest(Entry.Name, Known)) + "?");
    } else if (SeenAt[Index] != 0) {
      AddProblem("duplicate key, first set in line " +
                 std::to_string(SeenAt[Index]));
    } else {
      SeenAt[Index] = Entry.Line;
      if (!Rules[Index].Set(To, Entry.Value))
        AddProblem(Rules[Index].IsSecret
                       ? "value is invalid"
                       : "value \"" + Entry.Value + "\" is invalid",
                   Rules[Index].Allowed);
    }
  }
  for (std::size_t Index = 0; Index < Count; ++Index)
    if (Rules[Index].Required && SeenAt[Index] == 0)
      Report.add(Section.Line,
                 Section.Name + "." + std::string(Rules[Index].Name),
                 "required key is missing", Rules[Index].Allowed);
}

} // namespace cassiashed
