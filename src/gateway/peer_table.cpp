#include "gateway/peer_table.h"

#include "cassiashed/base/event_log.h"
#include <algorithm>

namespace cassiashed::gateway {
namespace {

/// A node that was not heard for this long gets heartbeats only.
constexpr Duration SilentAfter{5000};
/// A node with a role that is not heard this long is replaced, well within the
/// bounds on leaving endpoints. It says so each 400 ms.
constexpr Duration RoleSilence{1100};
/// From this size on, telling every node of every request costs a host more
/// than the requests themselves: 3 datagrams for each one.
constexpr int RolesFrom = 24;

} // namespace

Peer *PeerTable::at(const std::string &Host, unsigned short Port) {
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
  Peer Entry;
  Entry.Host = Host;
  Entry.Where = Udp::endpoint(Ip, Port);
  Entry.Origin = NextOrigin_++;
  return &Peers_.emplace(Host, Entry).first->second;
}

Peer *PeerTable::find(const std::string &Host) {
  const auto Found = Peers_.find(Host);
  return Found == Peers_.end() ? nullptr : &Found->second;
}

void PeerTable::remove(const std::string &Name) {
  std::erase_if(Peers_,
                [&](const auto &Entry) { return Entry.second.Name == Name; });
}

int PeerTable::liveCount(TimePoint Now) const {
  return 1 + static_cast<int>(std::count_if(
                 Peers_.begin(), Peers_.end(),
                 [&](const auto &Entry) { return isLive(Entry.second, Now); }));
}

bool PeerTable::isLive(const Peer &Entry, TimePoint Now) {
  return Entry.WasHeard && Now - Entry.LastHeard < SilentAfter;
}

bool PeerTable::hasRoles() const { return possibleCount() >= RolesFrom; }

int PeerTable::betterRankedFollowers(TimePoint Now) const {
  return static_cast<int>(
      std::count_if(Peers_.begin(), Peers_.end(), [&](const auto &Entry) {
        const Peer &Each = Entry.second;
        return Each.Following && ranksBefore(Each.Rank, OwnRank_) &&
               Now - Each.LastHeard < RoleSilence;
      }));
}

bool PeerTable::isAmongBest(std::size_t Count) const {
  return static_cast<std::size_t>(std::count_if(
             Peers_.begin(), Peers_.end(), [this](const auto &Entry) {
               return ranksBefore(Entry.second.Rank, OwnRank_);
             })) < Count;
}

std::vector<const Peer *> PeerTable::best(std::size_t Count) const {
  std::vector<const Peer *> Result;
  Result.reserve(Peers_.size());
  for (const auto &[Host, Entry] : Peers_)
    Result.push_back(&Entry);
  const std::size_t Kept = std::min(Count, Result.size());
  std::partial_sort(Result.begin(),
                    Result.begin() + static_cast<std::ptrdiff_t>(Kept),
                    Result.end(), [](const Peer *Left, const Peer *Right) {
                      return ranksBefore(Left->Rank, Right->Rank);
                    });
  Result.resize(Kept);
  return Result;
}

std::vector<std::string>
PeerTable::placers(std::size_t Count, bool OwnKnowsWork, TimePoint Now) const {
  std::vector<balancing::PlacerCandidate> Candidates;
  Candidates.push_back({OwnHost_, OwnRank_, OwnKnowsWork, false});
  for (const auto &[Host, Entry] : Peers_)
    if (Entry.WasHeard && Now - Entry.LastHeard < RoleSilence)
      Candidates.push_back(
          {Host, Entry.Rank, Entry.KnowsFleetLoad, Entry.SuspectUntil > Now});
  std::vector<std::string> Result;
  for (balancing::PlacerCandidate &Each :
       balancing::choosePlacers(std::move(Candidates), Count))
    Result.push_back(std::move(Each.Host));
  return Result;
}

} // namespace cassiashed::gateway
