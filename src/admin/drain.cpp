#include "cassiashed/admin/drain.h"

#include "admin/operator_report.h"
#include "cassiashed/admin/exit_code.h"

namespace cassiashed::admin {

int drainNode(const OperatorClientOptions &Node, std::ostream &Out,
              std::ostream &Errors) {
  const int Code = reportOperatorCall(
      callOperator(Node, {"POST", "/drain", "", "{}"}), Errors);
  if (Code == ExitSuccess)
    Out << "the node at " << Node.Host << ":" << Node.Port
        << " is shutting down\n";
  return Code;
}

} // namespace cassiashed::admin
