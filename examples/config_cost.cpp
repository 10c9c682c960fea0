#include "cassiashed/config/deployment.h"

#include <chrono>
#include <cstdlib>
#include <fmt/format.h>
#include <malloc.h>

/// Measures text, parsing time and memory of a configuration with 820
/// endpoints, 15 models and 6 zones.
///
///   config_cost [workspaces]
namespace {

using namespace cassiashed;

Deployment makeDeployment(int Workspaces) {
  Deployment Config;
  for (int Index = 0; Index < 6; ++Index)
    Config.Zones.push_back({fmt::format("zone-{}", Index), "north"});
  for (int Index = 0; Index < 15; ++Index)
    Config.Models.push_back({fmt::format("model-{}", Index)});
  for (int Index = 0; Index < 820; ++Index) {
    EndpointConfig Endpoint;
    Endpoint.Name = fmt::format("engine-replica-{:04}", Index);
    Endpoint.Address = {fmt::format("10.1.{}.{}", Index / 250, Index % 250 + 1),
                        9000};
    Endpoint.Zone = fmt::format("zone-{}", Index % 6);
    Endpoint.Models = {fmt::format("model-{}", Index % 15)};
    Endpoint.CapacityTokens = 600'000;
    Endpoint.PrefillTokensPerSecond = 40'000;
    Config.Endpoints.push_back(std::move(Endpoint));
  }
  for (int Index = 0; Index < Workspaces; ++Index)
    Config.Workspaces.push_back({fmt::format("workspace-{:06}", Index),
                                 fmt::format("key-{:028}", Index)});
  return Config;
}

/// Memory in use, without what the allocator keeps for later.
std::size_t allocatedBytes() {
  const auto Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  const int Count = ArgumentCount > 1 ? std::atoi(Arguments[1]) : 39'000;
  const std::string Text = formatDeployment(makeDeployment(Count));
  Problems Errors;
  const std::size_t Before = allocatedBytes();
  const auto Start = std::chrono::steady_clock::now();
  const auto Parsed = parseDeployment(Text, "generated", Errors);
  const std::chrono::duration<double, std::milli> Taken =
      std::chrono::steady_clock::now() - Start;
  const std::size_t Held = Parsed ? allocatedBytes() - Before : 0;
  fmt::print("workspaces={} text_bytes={} parse_ms={:.0f} parsed_bytes={}\n",
             Count, Text.size(), Taken.count(), Held);
}
