#pragma once

#include "cassiashed/control/operator_client.h"
#include "cassiashed/text/json.h"
#include <ostream>
#include <string>

namespace cassiashed::admin {

/// Formats the reply to `GET /status` as text. Missing fields are shown as
/// `-`. The expected form is:
/// ```
/// {"node","version":N,"current":bool,"draining":bool,
///  "versions":[{"version":N,"nodes":N}],
///  "zones":[{"name","region","state","pending":bool}],
///  "nodes":[{"name","zone","address","state","version":N}],
///  "endpoints":[{"name","zone","kind","owner","share","state",
///                "held_tokens":N,"capacity_tokens":N,"running":N,"waiting":N}]}
/// ```
std::string formatStatus(const Json &Status);

/// Prints the state of the deployment as one node sees it, as text or as the
/// node's JSON. Returns an `ExitCode`.
int showStatus(const OperatorClientOptions &Node, bool AsJson,
               std::ostream &Out, std::ostream &Errors);

} // namespace cassiashed::admin
