#pragma once
// Client of the advice service.

#include "daisydrift/dispatch.h"

#include <functional>

namespace daisydrift {

struct AdviceResponse
{
  std::vector<AdviceGrant> grants;
  /// Time for which the tickets are valid, counted from the response.
  Duration validity{ 0 };
};

/// Asks the advice service which workers may run a step. The service handles one request per
/// instance at a time. Errors: Unreachable, OutcomeUnknown, Overloaded.
class AdviceClient
{
public:
  virtual ~AdviceClient() = default;
  virtual void Ask(const AdviceRequest& aRequest,
                   std::function<void(const Result<AdviceResponse>&)> aDone) = 0;
};

} // namespace daisydrift
