#include "cassiashed/wire/membership_messages.h"
#include "membership/fake_cluster.h"
#include <cstdio>
#include <fmt/format.h>

/// Prints gossip bytes per second and node, how fast a new configuration
/// version reaches all nodes, and how often a node is not current although
/// nothing is wrong and while the table service is down, for several cluster
/// sizes.
using namespace cassiashed;

namespace {

using Real = FakeCluster::Real;

// Framing of nng, and TCP and IP headers of a data segment and its
// acknowledgement.
constexpr std::size_t FramingBytes = 12;
constexpr std::size_t HeaderBytes = 2 * 52;

std::size_t encodedBytes(const GossipMessage &Message) {
  static const EnvelopeCodec Codec("cluster key");
  std::string Reason;
  const Envelope Sealed{MessageKind::Gossip, Message.Sender.Name,
                        Message.Sender.Incarnation, 100000, packBody(Message)};
  const auto Bytes = Codec.encode(Sealed, Reason);
  return (Bytes ? Bytes->size() : MaxMessageBytes) + FramingBytes;
}

/// Share of samples, one per node and 50 ms, in which the node was not current.
double shareNotCurrent(FakeCluster &Cluster, int Seconds) {
  int NotCurrent = 0, Samples = 0;
  Cluster.run(std::chrono::seconds(Seconds), [&] {
    for (const auto &Node : Cluster.Nodes) {
      ++Samples;
      NotCurrent += !Cluster.isCurrent(Node);
    }
  });
  return static_cast<double>(NotCurrent) / Samples;
}

void measure(int NodeCount) {
  FakeCluster Cluster(1, NodeCount, std::min(NodeCount, 9));
  Cluster.Measure = encodedBytes;
  Cluster.run(std::chrono::seconds(40));
  for (auto &Node : Cluster.Nodes)
    Node.SentBytes = Node.ReceivedBytes = Node.SentMessages = 0;

  constexpr int QuietSeconds = 30;
  const double NotCurrent = shareNotCurrent(Cluster, QuietSeconds);
  std::uint64_t Bytes = 0, Messages = 0, Most = 0;
  for (const auto &Node : Cluster.Nodes) {
    const std::uint64_t Both = Node.SentBytes + Node.ReceivedBytes;
    Bytes += Both;
    Messages += Node.SentMessages;
    Most = std::max(Most, Both);
  }

  // The row changes at a random moment between polls, ten times.
  Real Slowest{0}, Sum{0};
  constexpr int Changes = 10;
  for (int Change = 0; Change < Changes; ++Change) {
    Cluster.run(Real(5000 + Cluster.pick(1000)));
    const Real Start = Cluster.Now;
    ++Cluster.RowVersion;
    Real Reached{0};
    Cluster.run(std::chrono::seconds(6), [&] {
      const bool All = std::all_of(
          Cluster.Nodes.begin(), Cluster.Nodes.end(), [&](const auto &Node) {
            return Node.Sync->inForce() == Cluster.RowVersion;
          });
      if (All && Reached == Real(0))
        Reached = Cluster.Now - Start;
    });
    Slowest = std::max(Slowest, Reached == Real(0) ? Real(6000) : Reached);
    Sum += Reached;
  }
  Cluster.IsTableDown = true;
  const double AtOutage = shareNotCurrent(Cluster, 10);
  const double InOutage = shareNotCurrent(Cluster, QuietSeconds);
  const double PerNode = static_cast<double>(Bytes) / NodeCount / QuietSeconds;
  fmt::print("nodes={} bytes_per_s={:.0f} worst_node_bytes_per_s={} "
             "mean_message_bytes={:.0f} with_tcp_ip_bytes_per_s={:.0f} "
             "not_current={:.5f} not_current_first_10_s_of_outage={:.5f} "
             "not_current_in_outage={:.5f} version_everywhere_ms_mean={} "
             "version_everywhere_ms_worst={}\n",
             NodeCount, PerNode, Most / QuietSeconds,
             static_cast<double>(Bytes) / 2 / static_cast<double>(Messages),
             PerNode + 2.0 * static_cast<double>(Messages) / NodeCount /
                           QuietSeconds * HeaderBytes / 2,
             NotCurrent, AtOutage, InOutage, Sum.count() / Changes,
             Slowest.count());
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  for (const int NodeCount : {6, 24, 90, 360}) {
    if (ArgumentCount > 1 && std::to_string(NodeCount) != Arguments[1])
      continue;
    measure(NodeCount);
    std::fflush(stdout);
  }
  return 0;
}
