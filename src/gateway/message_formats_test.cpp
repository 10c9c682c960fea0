#include "gateway/event_assembler.h"
#include "gateway/http_wire.h"
#include "gateway/node_messages.h"
#include "gateway/row_messages.h"
#include "gateway/stream_continuity.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cassiashed;
using namespace cassiashed::gateway;

// Guards against passing on a part of an event when the stream breaks.
TEST_CASE("only whole events are passed on, however the stream is cut") {
  const std::string Stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
                             "data: no id\n\nid:3\ndata: c\n\nid: 4\ndat";
  CHECK(rc::check([&] {
    EventAssembler Events;
    StreamContinuity Continuity;
    std::string Output;
    std::size_t At = 0;
    while (At < Stream.size()) {
      const auto Size = static_cast<std::size_t>(*rc::gen::inRange(1, 9));
      const std::string Complete =
          Events.append(std::string_view(Stream).substr(At, Size));
      Output += Continuity.accept(Complete);
      At += Size;
    }
    RC_ASSERT(Output + Events.incompleteEvent() == Stream);
    RC_ASSERT(Events.incompleteEvent() == "id: 4\ndat");
    RC_ASSERT(Continuity.lastId() == "3");
  }));
}

// Guards against a server that sends an event that never ends: memory and time
// per piece stay bounded.
TEST_CASE("an oversized event is detected") {
  EventAssembler Events;
  CHECK(Events.append("id: 1\ndata: a\n\n") == "id: 1\ndata: a\n\n");
  const std::string Piece(1000, 'x');
  int Pieces = 0;
  while (!Events.isOversized()) {
    CHECK(Events.append(Piece).empty());
    ++Pieces;
  }
  CHECK(Pieces == EventAssembler::MaxEventBytes / Piece.size() + 1);
  Events.discardIncompleteEvent();
  CHECK_FALSE(Events.isOversized());
  CHECK(Events.append("id: 2\n").empty());
  CHECK(Events.append("\nrest") == "id: 2\n\n");
}

TEST_CASE("hop-by-hop fields are not passed on") {
  bhttp::request<bhttp::empty_body> Request;
  Request.set(bhttp::field::connection, "close, X-Hop");
  Request.set("X-Hop", "1");
  Request.set("Keep-Alive", "timeout=5");
  Request.set(bhttp::field::transfer_encoding, "chunked");
  Request.set("X-Kept", "2");
  const http::Headers Fields = endToEndFields(Request);
  REQUIRE(Fields.size() == 1);
  CHECK(Fields.front().first == "X-Kept");
}

TEST_CASE("answer heads state the framing of the body") {
  AnswerHead Head;
  Head.Status = 200;
  Head.Body = Framing::Chunked;
  CHECK(formatAnswerHead(Head) ==
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  Head.Body = Framing::Length;
  Head.Length = 3;
  Head.KeepAlive = false;
  CHECK(formatAnswerHead(Head) == "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
                                  "Connection: close\r\n\r\n");
  CHECK(formatChunk("abc") == "3\r\nabc\r\n");
}

TEST_CASE("node messages are unchanged by packing; other bytes are refused") {
  NodeMessage Message;
  Message.Node = "n1";
  Message.Incarnation = 5;
  Message.Following = true;
  Message.Started.push_back({1, 2, 3, 4, 5, 6, 7, false, {{"i-1", 8, 9}}});
  Message.EndpointRows.push_back({"i-1", "{}", 4, false});
  Message.StatedLoads.push_back({"i-1", 4, 2, 6, 30});
  std::string Reason;
  const auto Read = unpackMessage(packMessage(Message), Reason);
  REQUIRE(Read);
  CHECK(Read->Node == "n1");
  CHECK(Read->Started.front().Parts.front().EndpointId == "i-1");
  CHECK_FALSE(Read->Started.front().Urgent);
  REQUIRE(Read->StatedLoads.size() == 1);
  CHECK(Read->StatedLoads.front().Slots == 6);
  CHECK(Read->StatedLoads.front().AgeMs == 30);
  CHECK(toAssignment(Read->Started.front(), 3).Origin == 3);
  CHECK_FALSE(unpackMessage("nonsense", Reason));
  CHECK_FALSE(Reason.empty());
  Message.Format = 99;
  CHECK_FALSE(unpackMessage(packMessage(Message), Reason));
  const auto Rows = unpackRows(packRows({2, 3, {{"k", "v", 3, true}}}), Reason);
  REQUIRE(Rows);
  CHECK(Rows->UpTo == 3);
  CHECK(Rows->Rows.front().Removed);
}

// Guards against a part of a batch that is taken for a whole table, which would
// remove the rows that it lacks.
TEST_CASE("no part of a batch of rows is a batch") {
  const std::string Whole =
      packRows({0, 3, {{"a", "v", 2, false}, {"b", "w", 3, false}}, true});
  for (std::size_t Size = 0; Size < Whole.size(); ++Size) {
    std::string Reason;
    CAPTURE(Size);
    CHECK_FALSE(unpackRows(std::string_view(Whole).substr(0, Size), Reason));
  }
}

// Guards against an out-of-range failure code in a forged answer: nameOf()
// would read past the table of names.
TEST_CASE("answers of placers with values out of range are refused") {
  std::string Reason;
  NodeMessage Message;
  Message.PlacementReplies.resize(1);
  PlacementReply &Reply = Message.PlacementReplies.front();
  CHECK(unpackMessage(packMessage(Message), Reason));
  Reply.Failure = 77;
  CHECK_FALSE(unpackMessage(packMessage(Message), Reason));
  CHECK_FALSE(Reason.empty());
  Reply = {};
  Reply.Next = 3;
  CHECK_FALSE(unpackMessage(packMessage(Message), Reason));
  Reply = {};
  Reply.RetryAfterMs = -1;
  CHECK_FALSE(unpackMessage(packMessage(Message), Reason));
  Reply = {};
  Reply.RetryPlacementAfterMs = 1e300;
  CHECK_FALSE(unpackMessage(packMessage(Message), Reason));
}

TEST_CASE("arbitrary bytes do not crash the decoders of node messages") {
  std::string Reason;
  // Five bytes that declare a map of 1.6 billion entries; allocating them ended
  // the process.
  CHECK_FALSE(unpackMessage("\xDF"
                            "aaaa",
                            Reason));
  CHECK(rc::check([](const std::string &Bytes) {
    std::string Reason;
    (void)unpackMessage(Bytes, Reason);
    (void)unpackRows(Bytes, Reason);
  }));
}
