#include "http/event_stream.h"

namespace cassiashed::http {
namespace {

std::string_view takeLine(std::string_view &Text) {
  const std::size_t End = Text.find('\n');
  std::string_view Line = Text.substr(0, End);
  Text.remove_prefix(End == std::string_view::npos ? Text.size() : End + 1);
  if (!Line.empty() && Line.back() == '\r')
    Line.remove_suffix(1);
  return Line;
}

std::string_view fieldValue(std::string_view Line, std::size_t NameLength) {
  Line.remove_prefix(NameLength);
  if (!Line.empty() && Line.front() == ' ')
    Line.remove_prefix(1);
  return Line;
}

/// Position after the blank line that ends the first event.
std::optional<std::size_t> findEventEnd(std::string_view Text) {
  const std::size_t Plain = Text.find("\n\n");
  const std::size_t WithReturns = Text.find("\n\r\n");
  if (Plain == std::string_view::npos && WithReturns == std::string_view::npos)
    return std::nullopt;
  return Plain < WithReturns ? Plain + 2 : WithReturns + 3;
}

} // namespace

std::optional<StreamEvent> EventParser::next() {
  while (const auto End = findEventEnd(Buffer_)) {
    StreamEvent Event;
    std::string_view Text = std::string_view(Buffer_).substr(0, *End);
    while (!Text.empty()) {
      const std::string_view Line = takeLine(Text);
      if (Line.rfind("data:", 0) == 0) {
        if (!Event.Data.empty())
          Event.Data += '\n';
        Event.Data += fieldValue(Line, 5);
      } else if (Line.rfind("event:", 0) == 0) {
        Event.Name = fieldValue(Line, 6);
      }
    }
    Buffer_.erase(0, *End);
    if (!Event.Data.empty())
      return Event;
  }
  return std::nullopt;
}

std::string formatEvent(std::string_view Data, std::string_view Name) {
  std::string Text;
  if (!Name.empty()) {
    Text += "event: ";
    Text += Name;
    Text += '\n';
  }
  Text += "data: ";
  Text += Data;
  Text += "\n\n";
  return Text;
}

} // namespace cassiashed::http
