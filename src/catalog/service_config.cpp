#include "cassiashed/catalog/service_config.h"

#include <algorithm>
#include <array>

namespace cassiashed::catalog {

std::string_view nameOf(CallKind Kind) {
  static constexpr std::array<std::string_view, 3> Names = {
      "idempotent", "non_idempotent", "stream"};
  return Names[static_cast<std::size_t>(Kind)];
}

void ServiceConfig::indexRoutes() {
  RoutesOfHost_.clear();
  for (std::size_t Index = 0; Index < Routes.size(); ++Index)
    RoutesOfHost_[Routes[Index].Host].push_back(Index);
  for (auto &[Host, Indices] : RoutesOfHost_)
    std::stable_sort(Indices.begin(), Indices.end(),
                     [this](std::size_t Left, std::size_t Right) {
                       return Routes[Left].PathPrefix.size() >
                              Routes[Right].PathPrefix.size();
                     });
}

const Route *ServiceConfig::findRoute(std::string_view Host,
                                      std::string_view Path) const {
  const auto Found = RoutesOfHost_.find(std::string(Host));
  if (Found == RoutesOfHost_.end())
    return nullptr;
  for (const std::size_t Index : Found->second)
    if (Path.starts_with(Routes[Index].PathPrefix))
      return &Routes[Index];
  return nullptr;
}

const Workspace *ServiceConfig::findWorkspace(const std::string &Key) const {
  const auto Found = WorkspaceOfKey.find(Key);
  return Found == WorkspaceOfKey.end() ? nullptr : &Workspaces[Found->second];
}

const Service *ServiceConfig::findService(const std::string &Name) const {
  const auto Found = Services.find(Name);
  return Found == Services.end() ? nullptr : &Found->second;
}

} // namespace cassiashed::catalog
