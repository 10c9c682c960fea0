#include "cassiashed/base/invariant.h"

#include <cstdlib>
#include <glog/logging.h>

namespace cassiashed {

void failInvariant(const char *Condition, const char *File, int Line,
                   std::string_view Text) {
  LOG(ERROR) << "event=invariant_broken file=" << File << " line=" << Line
             << " condition=\"" << Condition << "\" text=\"" << Text << '"';
  google::FlushLogFiles(google::ERROR);
  std::abort();
}

} // namespace cassiashed
