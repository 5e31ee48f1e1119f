#pragma once
// Retries of store reads.

#include "daisydrift/external.h"

namespace daisydrift {

/// True for errors after which a retry of the same call may succeed.
inline bool IsTransient(std::error_code aError)
{
  return aError == Errc::Unreachable || aError == Errc::OutcomeUnknown ||
         aError == Errc::Overloaded;
}

/// Calls aRead up to aMaxAttempts times while its error is transient. A read has no side effect, so
/// OutcomeUnknown (a lost response) becomes Unreachable.
template<typename Read>
auto RetryRead(unsigned aMaxAttempts, Read aRead) -> decltype(aRead())
{
  auto result = aRead();
  for (unsigned i = 1; i < aMaxAttempts && IsTransient(result.Error()); ++i) {
    result = aRead();
  }
  if (result.Error() == Errc::OutcomeUnknown) {
    return make_error_code(Errc::Unreachable);
  }
  return result;
}

} // namespace daisydrift
