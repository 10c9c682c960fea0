#include "cassiashed/text/ini.h"

#include <algorithm>
#include <cxxtools/iniparser.h>
#include <cxxtools/utf8.h>
#include <optional>

namespace cassiashed {
namespace {

bool isControl(char Character) {
  return static_cast<unsigned char>(Character) < 0x20 || Character == 0x7f;
}

bool isBlank(std::string_view Line) {
  return Line.find_first_not_of(" \t\r") == std::string_view::npos;
}

std::string trim(std::string Text) {
  const auto End = Text.find_last_not_of(" \t");
  if (End == std::string::npos)
    return {};
  Text.erase(End + 1);
  return Text.erase(0, Text.find_first_not_of(" \t"));
}

std::string toBytes(const cxxtools::String &Text) {
  return cxxtools::Utf8Codec::encode(Text);
}

/// Collects the events of one line.
class LineEvents : public cxxtools::IniParser::Event {
public:
  using Event::onKey;
  using Event::onSection;
  using Event::onValue;

  bool onSection(const cxxtools::String &Name) override {
    Section = trim(toBytes(Name));
    return false;
  }
  bool onKey(const cxxtools::String &Name) override {
    Key = toBytes(Name);
    return false;
  }
  bool onValue(const cxxtools::String &Content) override {
    Value = toBytes(Content);
    return false;
  }
  bool onError() override {
    Failed = true;
    return true;
  }

  std::optional<std::string> Section;
  std::optional<std::string> Key;
  std::optional<std::string> Value;
  bool Failed = false;
};

void feed(cxxtools::IniParser &Parser, LineEvents &Events,
          std::string_view Line) {
  const auto IsAscii = [](char Character) {
    return static_cast<unsigned char>(Character) < 0x80;
  };
  if (std::all_of(Line.begin(), Line.end(), IsAscii)) {
    for (const char Character : Line)
      if (!Events.Failed)
        Parser.parse(cxxtools::Char(Character));
  } else {
    for (const cxxtools::Char Character :
         cxxtools::Utf8Codec::decode(Line.data(), Line.size()))
      if (!Events.Failed)
        Parser.parse(Character);
  }
  if (!Events.Failed)
    Parser.parse(cxxtools::Char('\n'));
  if (!Events.Failed)
    Parser.end();
}

/// Parses one line. Each line has a parser of its own, so that an error does
/// not affect the lines after it.
LineEvents parseLine(std::string_view Line) {
  LineEvents Events;
  cxxtools::IniParser Parser(Events);
  try {
    feed(Parser, Events, Line);
  } catch (const std::exception &) {
    Events.Failed = true; // invalid UTF-8
  }
  if (Events.Section && Events.Key)
    Events.Failed = true;
  return Events;
}

class Reading {
public:
  explicit Reading(const IniReader &Reader) : Reader_(Reader) {}

  void addLine(std::string_view Text, int Line) {
    if (isBlank(Text))
      return;
    LineEvents Events = parseLine(Text);
    if (Events.Section)
      startSection(std::move(*Events.Section), Line);
    if (Events.Failed)
      Reader_.OnProblem(Line, "expected [section], key = value or a comment");
    else if (Events.Key && Events.Value)
      addKey(std::move(*Events.Key), std::move(*Events.Value), Line);
  }

  void finishSection() {
    if (Current_.Line != 0)
      Reader_.OnSection(Current_);
    Current_ = IniSection();
  }

private:
  void startSection(std::string Name, int Line) {
    finishSection();
    Current_.Name = std::move(Name);
    Current_.Line = Line;
  }

  void addKey(std::string Name, std::string Value, int Line) {
    if (std::any_of(Value.begin(), Value.end(), isControl))
      Reader_.OnProblem(Line, "the value of " + Name +
                                  " contains a control character");
    else if (Current_.Line == 0)
      Reader_.OnProblem(Line, "key " + Name + " stands before any [section]");
    else
      Current_.Keys.push_back({std::move(Name), std::move(Value), Line});
  }

  const IniReader &Reader_;
  IniSection Current_; ///< line 0: no section yet
};

} // namespace

void readIni(std::string_view Text, const IniReader &Reader) {
  Reading State(Reader);
  int Line = 0;
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find('\n'), Text.size());
    std::string_view Current = Text.substr(0, End);
    if (!Current.empty() && Current.back() == '\r')
      Current.remove_suffix(1);
    State.addLine(Current, ++Line);
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  State.finishSection();
}

std::string quoteIniValue(std::string_view Value) {
  std::string Quoted = "\"";
  for (const char Character : Value) {
    if (Character == '"' || Character == '\\')
      Quoted += '\\';
    Quoted += isControl(Character) ? ' ' : Character;
  }
  return Quoted + '"';
}

} // namespace cassiashed
