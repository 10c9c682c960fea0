#include "gateway/peer_table.h"

#include "cassiashed/base/event_log.h"
#include <algorithm>

namespace cassiashed::gateway {
namespace {

/// A node that has sent no message for this long gets heartbeats only.
constexpr Duration LiveTimeout{5000};
/// A node that was silent for this long is taken as stopped, not as cut off.
constexpr Duration GoneAfter{60000};
/// Of the nodes heard lately. The work of the rest is small against the
/// headroom of the engines.
constexpr double MinHeardShare = 0.9;
/// A node with a role is replaced if it has sent no message for this long. Such
/// nodes send a heartbeat every 400 ms. Replacement must take much less than
/// the bounds on how fast all nodes learn of removed endpoints.
constexpr Duration RoleTimeout{1100};
/// In larger fleets, reporting every request to every node, with 3 datagrams
/// each, would cost a host more than the requests themselves.
constexpr int MinNodesForRoles = 24;

} // namespace

Peer *PeerTable::findOrAdd(const std::string &Host, unsigned short Port) {
  if (Host == OwnHost_)
    return nullptr;
  if (Peer *Known = find(Host))
    return Known;
  boost::system::error_code Failure;
  const auto Ip = boost::asio::ip::make_address(Host, Failure);
  if (Failure) {
    logWarning("node_address_invalid").field("address", Host);
    return nullptr;
  }
  Peer Node;
  Node.Host = Host;
  Node.UdpAddress = Udp::endpoint(Ip, Port);
  Node.Origin = NextOrigin_++;
  return &Peers_.emplace(Host, Node).first->second;
}

Peer *PeerTable::find(const std::string &Host) {
  const auto Found = Peers_.find(Host);
  return Found == Peers_.end() ? nullptr : &Found->second;
}

void PeerTable::remove(const std::string &Name) {
  std::erase_if(Peers_, [&](const auto &HostAndPeer) {
    return HostAndPeer.second.Name == Name;
  });
}

int PeerTable::liveCount(TimePoint Now) const {
  return 1 + static_cast<int>(std::count_if(
                 Peers_.begin(), Peers_.end(), [&](const auto &HostAndPeer) {
                   return isLive(HostAndPeer.second, Now);
                 }));
}

bool PeerTable::isLive(const Peer &Node, TimePoint Now) {
  return Node.HasSentMessage && Now - Node.LastMessageAt < LiveTimeout;
}

bool PeerTable::hearsNearlyAll(TimePoint Now) const {
  const auto Known =
      1 +
      std::count_if(Peers_.begin(), Peers_.end(), [&](const auto &HostAndPeer) {
        const Peer &Node = HostAndPeer.second;
        return Node.HasSentMessage && Now - Node.LastMessageAt < GoneAfter;
      });
  return static_cast<double>(liveCount(Now)) >=
         MinHeardShare * static_cast<double>(Known);
}

bool PeerTable::hasRoles() const { return possibleCount() >= MinNodesForRoles; }

int PeerTable::betterRankedFollowers(TimePoint Now) const {
  return static_cast<int>(
      std::count_if(Peers_.begin(), Peers_.end(), [&](const auto &HostAndPeer) {
        const Peer &Node = HostAndPeer.second;
        return Node.Following && ranksBefore(Node.Rank, OwnRank_) &&
               Now - Node.LastMessageAt < RoleTimeout;
      }));
}

bool PeerTable::isAmongBestRanked(std::size_t Count) const {
  return static_cast<std::size_t>(std::count_if(
             Peers_.begin(), Peers_.end(), [this](const auto &HostAndPeer) {
               return ranksBefore(HostAndPeer.second.Rank, OwnRank_);
             })) < Count;
}

std::vector<const Peer *> PeerTable::bestRanked(std::size_t Count) const {
  std::vector<const Peer *> Result;
  Result.reserve(Peers_.size());
  for (const auto &[Host, Node] : Peers_)
    Result.push_back(&Node);
  const std::size_t Kept = std::min(Count, Result.size());
  std::partial_sort(Result.begin(),
                    Result.begin() + static_cast<std::ptrdiff_t>(Kept),
                    Result.end(), [](const Peer *Left, const Peer *Right) {
                      return ranksBefore(Left->Rank, Right->Rank);
                    });
  Result.resize(Kept);
  return Result;
}

std::vector<std::string> PeerTable::placers(std::size_t Count,
                                            bool OwnKnowsFleetLoad,
                                            TimePoint Now) const {
  std::vector<balancing::PlacerCandidate> Candidates;
  Candidates.push_back({OwnHost_, OwnRank_, OwnKnowsFleetLoad, false});
  for (const auto &[Host, Node] : Peers_)
    if (Node.HasSentMessage && Now - Node.LastMessageAt < RoleTimeout)
      Candidates.push_back(
          {Host, Node.Rank, Node.KnowsFleetLoad, Node.SuspectUntil > Now});
  std::vector<std::string> Result;
  for (balancing::PlacerCandidate &Placer :
       balancing::choosePlacers(std::move(Candidates), Count))
    Result.push_back(std::move(Placer.Host));
  return Result;
}

} // namespace cassiashed::gateway
