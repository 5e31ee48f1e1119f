#include "daisydrift/routing/RetryPolicy.h"

#include <strings.h>

namespace daisydrift {

namespace {

/// With less time than this left, a retry can't succeed: a round trip between failure domains and
/// the shortest useful work take about this long.
constexpr Duration kMinAttemptTime = std::chrono::milliseconds(5);

bool HasNotStartedProof(const UpstreamResponse& aResponse)
{
  if (aResponse.status != 503) {
    return false;
  }
  for (const auto& [name, value] : aResponse.headers) {
    if (strcasecmp(name.c_str(), kNotStartedHeader) == 0 && value == "1") {
      return true;
    }
  }
  return false;
}

} // namespace

const char* ToString(RequestOutcome aOutcome)
{
  switch (aOutcome) {
    case RequestOutcome::Ran:
      return "ran";
    case RequestOutcome::NotRun:
      return "not_run";
    case RequestOutcome::Unknown:
      return "unknown";
  }
  return "unknown";
}

SendOutcome ClassifyResult(const UpstreamResult& aResult)
{
  if (aResult.error) {
    return aResult.progress == SendProgress::NotSent ? SendOutcome::NotSent
                                                     : SendOutcome::NoResponse;
  }
  if (HasNotStartedProof(aResult.response)) {
    return SendOutcome::NotStarted;
  }
  int status = aResult.response.status;
  if (status >= 502 && status <= 504) {
    return SendOutcome::Unavailable;
  }
  return status >= 500 ? SendOutcome::ServerError : SendOutcome::Responded;
}

bool MayHaveStarted(SendOutcome aOutcome)
{
  return aOutcome != SendOutcome::NotSent && aOutcome != SendOutcome::NotStarted;
}

RetryPolicy::RetryPolicy(unsigned aMaxAttempts)
  : maxAttempts(aMaxAttempts)
{
}

RetryDecision RetryPolicy::Decide(const RetryContext& aContext) const
{
  RetryDecision decision;
  bool mayHaveRun = aContext.mayOtherAttemptHaveStarted || MayHaveStarted(aContext.outcome);
  bool isRetryable =
    aContext.outcome != SendOutcome::Responded && aContext.outcome != SendOutcome::ServerError;
  decision.canRetry = isRetryable && aContext.attempts < this->maxAttempts &&
                      aContext.remaining >= kMinAttemptTime &&
                      (aContext.isRepeatable || !mayHaveRun);
  decision.outcome = mayHaveRun ? RequestOutcome::Unknown : RequestOutcome::NotRun;
  switch (aContext.outcome) {
    case SendOutcome::Responded:
    case SendOutcome::ServerError:
      decision.isResponseFinal = true;
      decision.outcome = RequestOutcome::Ran;
      break;
    case SendOutcome::Unavailable:
      decision.isResponseFinal = true;
      decision.code = "upstream_unavailable";
      break;
    case SendOutcome::NotSent:
      decision.status = 503;
      decision.code = "upstream_unreachable";
      break;
    case SendOutcome::NotStarted:
      decision.status = 503;
      decision.code = "upstream_refused";
      break;
    case SendOutcome::NoResponse:
      decision.status = 504;
      decision.code = "upstream_no_answer";
      break;
  }
  return decision;
}

} // namespace daisydrift
