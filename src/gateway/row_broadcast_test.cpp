#include "gateway/row_broadcast.h"

#include <doctest/doctest.h>

using namespace cassiashed;
using namespace cassiashed::gateway;

namespace {

/// Rows `From` to `To`, one a version, of 200 bytes each.
RowBatch makeBatch(std::uint64_t From, std::uint64_t To) {
  RowBatch Batch{From - 1, To, {}};
  for (std::uint64_t Version = From; Version <= To; ++Version)
    Batch.Rows.push_back({"row-" + std::to_string(Version),
                          std::string(200, 'x'), Version, false});
  return Batch;
}

/// A broadcast to some nodes that keeps what one of them receives.
class Sender {
public:
  Sender(int Nodes, RowBatch Later)
      : Later_(std::move(Later)),
        Rows(Context, 20,
             {[] { return NodeMessage(); }, [Nodes] { return targets(Nodes); },
              [this](const std::string &Bytes, const auto &Where) {
                take(Bytes, Where.port());
              },
              [this](std::uint64_t After) {
                AskedAfter = After;
                return Later_;
              }}) {}

  boost::asio::io_context Context;
  std::vector<NodeMessage> Received;
  std::size_t LargestBytes = 0;
  std::uint64_t AskedAfter = 0;

private:
  static std::vector<boost::asio::ip::udp::endpoint> targets(int Nodes) {
    std::vector<boost::asio::ip::udp::endpoint> Result;
    for (int Node = 1; Node <= Nodes; ++Node)
      Result.emplace_back(boost::asio::ip::address_v4::loopback(),
                          static_cast<unsigned short>(Node));
    return Result;
  }

  void take(const std::string &Bytes, unsigned short Node) {
    LargestBytes = std::max(LargestBytes, Bytes.size());
    if (Node != 1)
      return;
    std::string Reason;
    const std::optional<NodeMessage> Message = unpackMessage(Bytes, Reason);
    REQUIRE_MESSAGE(Message, Reason);
    Received.push_back(*Message);
  }

  RowBatch Later_;

public:
  RowBroadcast Rows; ///< last: it uses the members before it
};

} // namespace

// Guards against a node that takes the rows of one message for all of them.
TEST_CASE("the messages of a batch link to each other and fit a frame") {
  Sender From(3, {});
  From.Rows.announce(makeBatch(184, 195));
  From.Context.run();
  REQUIRE(From.Received.size() > 1);
  std::uint64_t Last = 183;
  std::size_t Count = 0;
  for (const NodeMessage &Each : From.Received) {
    CHECK(Each.RowsAfter == Last);
    Last = Each.RowsUpTo;
    Count += Each.EndpointRows.size();
  }
  CHECK(Last == 195);
  CHECK(Count == 12);
  CHECK(From.LargestBytes <= 1472);
}

// A row that came early stands behind the end of the batch: it is passed on,
// but proves nothing of the rows before it.
TEST_CASE("no message claims more than its batch") {
  Sender From(1, {});
  RowBatch Batch = makeBatch(10, 20);
  Batch.UpTo = 12;
  From.Rows.announce(Batch);
  From.Context.run();
  for (const NodeMessage &Each : From.Received)
    CHECK(Each.RowsUpTo <= 12);
}

TEST_CASE("changes that come while others are sent go together after them") {
  Sender From(400, makeBatch(8, 11));
  From.Rows.announce(makeBatch(1, 7));
  From.Rows.announce(makeBatch(9, 9));
  From.Rows.announce(makeBatch(8, 8));
  From.Context.run();
  CHECK(From.AskedAfter == 7);
  REQUIRE(From.Received.size() >= 2);
  CHECK(From.Received.back().RowsUpTo == 11);
}
