#pragma once

#include <iostream>
#include <rapidcheck.h>
#include <string>

namespace cassiashed {

/// Checks a property like `rc::check`, with a seed that is the same in every
/// run, so that CI gives the same verdict each time.
template <typename Testable>
bool checkSeeded(std::uint64_t Seed, int Runs, Testable &&Property) {
  rc::detail::TestParams Params;
  Params.seed = Seed;
  Params.maxSuccess = Runs;
  const auto Result = rc::detail::checkTestable(
      std::forward<Testable>(Property), rc::detail::TestMetadata{}, Params);
  const bool IsSuccess = Result.template is<rc::detail::SuccessResult>();
  if (!IsSuccess)
    rc::detail::printResultMessage(Result, std::cerr);
  return IsSuccess;
}

} // namespace cassiashed
