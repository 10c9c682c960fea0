#include "gateway/row_broadcast.h"

#include <doctest/doctest.h>

using namespace cassiashed;
using namespace cassiashed::gateway;

namespace {

/// Rows with the versions `From` to `To`, of 200 bytes each.
RowBatch makeBatch(std::uint64_t From, std::uint64_t To) {
  RowBatch Batch{From - 1, To, {}};
  for (std::uint64_t Version = From; Version <= To; ++Version)
    Batch.Rows.push_back({"row-" + std::to_string(Version),
                          std::string(200, 'x'), Version, false});
  return Batch;
}

/// Broadcasts to `Nodes` nodes and records what one of them receives. `Later`
/// is returned when the broadcast asks for rows.
class TestNetwork {
public:
  TestNetwork(int Nodes, RowBatch Later)
      : Later_(std::move(Later)),
        Broadcast(Context, 20,
                  {[] { return NodeMessage(); },
                   [Nodes] { return targets(Nodes); },
                   [this](const std::string &Bytes, const auto &Target) {
                     receive(Bytes, Target.port());
                   },
                   [this](std::uint64_t After) {
                     RequestedAfter = After;
                     return Later_;
                   }}) {}

  boost::asio::io_context Context;
  std::vector<NodeMessage> Received;
  std::size_t LargestBytes = 0;
  std::uint64_t RequestedAfter = 0;

private:
  static std::vector<boost::asio::ip::udp::endpoint> targets(int Nodes) {
    std::vector<boost::asio::ip::udp::endpoint> Result;
    for (int Node = 1; Node <= Nodes; ++Node)
      Result.emplace_back(boost::asio::ip::address_v4::loopback(),
                          static_cast<unsigned short>(Node));
    return Result;
  }

  void receive(const std::string &Bytes, unsigned short Node) {
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
  RowBroadcast Broadcast; ///< last: it uses the members before it
};

} // namespace

// Guards against a node that takes the rows of one message for the whole batch.
TEST_CASE("the messages of a batch are contiguous and fit a frame") {
  TestNetwork Network(3, {});
  Network.Broadcast.announce(makeBatch(184, 195));
  Network.Context.run();
  REQUIRE(Network.Received.size() > 1);
  std::uint64_t Last = 183;
  std::size_t Count = 0;
  for (const NodeMessage &Message : Network.Received) {
    CHECK(Message.RowsAfter == Last);
    Last = Message.RowsUpTo;
    Count += Message.EndpointRows.size();
  }
  CHECK(Last == 195);
  CHECK(Count == 12);
  CHECK(Network.LargestBytes <= 1472);
}

// A row that arrived early is newer than the end of the batch. It is forwarded,
// but does not show that the rows between are known.
TEST_CASE("no message covers more versions than its batch") {
  TestNetwork Network(1, {});
  RowBatch Batch = makeBatch(10, 20);
  Batch.UpTo = 12;
  Network.Broadcast.announce(Batch);
  Network.Context.run();
  for (const NodeMessage &Message : Network.Received)
    CHECK(Message.RowsUpTo <= 12);
}

TEST_CASE("changes that arrive while others are sent are combined and sent "
          "after them") {
  TestNetwork Network(400, makeBatch(8, 11));
  Network.Broadcast.announce(makeBatch(1, 7));
  Network.Broadcast.announce(makeBatch(9, 9));
  Network.Broadcast.announce(makeBatch(8, 8));
  Network.Context.run();
  CHECK(Network.RequestedAfter == 7);
  REQUIRE(Network.Received.size() >= 2);
  CHECK(Network.Received.back().RowsUpTo == 11);
}
