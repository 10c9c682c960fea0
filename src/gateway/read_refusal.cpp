#include "gateway/read_refusal.h"

namespace cassiashed::gateway {

int statusOfReadFailure(const Code &Failure, bool TimedOut) {
  if (TimedOut)
    return 408;
  if (Failure == bhttp::error::header_limit)
    return 431;
  if (Failure == bhttp::error::body_limit)
    return 413;
  if (Failure.category() ==
          make_error_code(bhttp::error::bad_method).category() &&
      Failure != bhttp::error::end_of_stream &&
      Failure != bhttp::error::partial_message)
    return 400;
  return 0;
}

} // namespace cassiashed::gateway
