#include "cassiashed/calls/call_record.h"

#include "cassiashed/base/hash.h"
#include "cassiashed/text/json.h"

#include <array>
#include <fmt/format.h>

namespace cassiashed {
namespace {

constexpr std::array<std::string_view, 3> StateNames = {"started", "done",
                                                        "not-run"};

/// JSON holds only UTF-8, but an answer may be any bytes.
bool isUtf8(const std::string &Text) {
  try {
    return !Json(Text).dump().empty();
  } catch (const Json::type_error &) {
    return false;
  }
}

std::string encodeHex(std::string_view Bytes) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Text;
  Text.reserve(Bytes.size() * 2);
  for (const char Byte : Bytes) {
    const auto Value = static_cast<unsigned char>(Byte);
    Text += Digits[Value >> 4];
    Text += Digits[Value & 15];
  }
  return Text;
}

std::optional<std::string> decodeHex(std::string_view Text) {
  const auto Digit = [](char Letter) {
    if (Letter >= '0' && Letter <= '9')
      return Letter - '0';
    return Letter >= 'a' && Letter <= 'f' ? Letter - 'a' + 10 : -1;
  };
  if (Text.size() % 2 != 0)
    return std::nullopt;
  std::string Bytes;
  Bytes.reserve(Text.size() / 2);
  for (std::size_t Index = 0; Index < Text.size(); Index += 2) {
    const int High = Digit(Text[Index]);
    const int Low = Digit(Text[Index + 1]);
    if (High < 0 || Low < 0)
      return std::nullopt;
    Bytes += static_cast<char>(High * 16 + Low);
  }
  return Bytes;
}

} // namespace

std::string_view nameOf(CallState State) {
  return StateNames[static_cast<std::size_t>(State)];
}

std::string formatCallRecord(const CallRecord &Record) {
  Json Object = {
      {"state", nameOf(Record.State)}, {"attempt", Record.Attempt},
      {"node", Record.Node},           {"incarnation", Record.Incarnation},
      {"request", Record.RequestHash}, {"started_ms", Record.StartedMs}};
  if (Record.Closed)
    Object["closed"] = true;
  if (Record.State == CallState::Done) {
    Object["status"] = Record.Outcome.Status;
    Object["content_type"] = Record.Outcome.ContentType;
    if (!Record.Outcome.ObjectName.empty())
      Object["object"] = Record.Outcome.ObjectName;
    else if (isUtf8(Record.Outcome.Body))
      Object["answer"] = Record.Outcome.Body;
    else
      Object["answer_hex"] = encodeHex(Record.Outcome.Body);
  }
  return Object.dump();
}

std::optional<CallRecord> parseCallRecord(std::string_view Text,
                                          std::string &Reason) {
  const auto Object = parseJsonObject(Text, Reason);
  if (!Object)
    return std::nullopt;
  CallRecord Record;
  const std::string State = readString(*Object, "state");
  bool IsKnown = false;
  for (std::size_t Index = 0; Index < StateNames.size(); ++Index)
    if (State == StateNames[Index]) {
      Record.State = static_cast<CallState>(Index);
      IsKnown = true;
    }
  if (!IsKnown) {
    Reason = fmt::format("call record has unknown state \"{}\"", State);
    return std::nullopt;
  }
  Record.Attempt = readString(*Object, "attempt");
  Record.Node = readString(*Object, "node");
  Record.Incarnation =
      static_cast<std::uint64_t>(readInteger(*Object, "incarnation"));
  Record.RequestHash = readString(*Object, "request");
  Record.StartedMs = readInteger(*Object, "started_ms");
  Record.Closed = readBool(*Object, "closed");
  if (Record.Attempt.empty() || Record.RequestHash.empty()) {
    Reason = "call record lacks the attempt or the request hash";
    return std::nullopt;
  }
  if (Record.State != CallState::Done)
    return Record;
  Record.Outcome.Status = static_cast<int>(readInteger(*Object, "status"));
  Record.Outcome.ContentType = readString(*Object, "content_type");
  Record.Outcome.ObjectName = readString(*Object, "object");
  if (Object->contains("answer_hex")) {
    auto Body = decodeHex(readString(*Object, "answer_hex"));
    if (!Body) {
      Reason = "call record has a malformed answer_hex";
      return std::nullopt;
    }
    Record.Outcome.Body = std::move(*Body);
  } else {
    Record.Outcome.Body = readString(*Object, "answer");
  }
  return Record;
}

std::string callRowKey(std::string_view Workspace,
                       std::string_view IdempotencyKey) {
  return fmt::format("call/{}/{}", Workspace, hashHex(IdempotencyKey));
}

bool isSameWrite(std::string_view Written, std::string_view Found) {
  std::string Reason;
  const auto Left = parseCallRecord(Written, Reason);
  const auto Right = parseCallRecord(Found, Reason);
  return Left && Right && Left->Attempt == Right->Attempt &&
         Left->State == Right->State && Left->Closed == Right->Closed;
}

bool isExpired(const CallRecord &Record, std::int64_t NowMs) {
  return NowMs - Record.StartedMs >
         std::chrono::milliseconds(CallExpiry).count();
}

RowFinding decideOnRow(const TableRow &Row, const std::string &Attempt,
                       const std::string &RequestHash,
                       const WriterLives &IsAlive) {
  RowFinding Finding;
  if (Row.Version == 0) {
    Finding.Decision = CallDecision::Claim;
    return Finding;
  }
  std::string Reason;
  auto Record = parseCallRecord(Row.Value, Reason);
  if (!Record)
    return Finding;
  Finding.Record = std::move(*Record);
  const CallRecord &Found = Finding.Record;
  if (Found.RequestHash != RequestHash)
    Finding.Decision = CallDecision::Conflict;
  else if (Found.State == CallState::Done)
    Finding.Decision = CallDecision::Replay;
  else if (Found.State == CallState::NotRun)
    Finding.Decision = CallDecision::Claim;
  else if (Found.Attempt == Attempt)
    Finding.Decision = CallDecision::Claimed;
  else if (!Found.Closed && IsAlive(Found.Node, Found.Incarnation))
    Finding.Decision = CallDecision::Wait;
  return Finding;
}

} // namespace cassiashed
