#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// INI files with line numbers. A line is empty, a comment (`;` or `#` as its
/// first character), a section `[name]` or `key = value`. A value that starts
/// with a quotation mark ends at the next one; a backslash escapes the
/// character after it. Comments after a value are not supported.
namespace cassiashed {

struct IniKey {
  std::string Name;
  std::string Value;
  int Line = 0; ///< counted from 1
};

/// One section with its keys in the order of the file. Keys may occur twice.
struct IniSection {
  std::string Name;
  int Line = 0; ///< line of the header, counted from 1
  std::vector<IniKey> Keys;
};

/// Receives what `readIni` finds.
struct IniReader {
  /// Called with every section once it is complete. The section may be moved
  /// from.
  std::function<void(IniSection &Section)> OnSection;
  /// Called for every line that cannot be read; reading continues with the
  /// next line.
  std::function<void(int Line, std::string Text)> OnProblem;
};

/// Reads INI text section by section, so that only one section at a time is in
/// memory.
///
/// ```cpp
/// readIni(Text, {[](IniSection &Section) { use(Section); },
///                [](int Line, std::string Text) { report(Line, Text); }});
/// ```
void readIni(std::string_view Text, const IniReader &Reader);

/// Quotes a value so that `readIni` returns it unchanged. Control characters
/// are replaced by blanks, since a value is one line.
std::string quoteIniValue(std::string_view Value);

} // namespace cassiashed
