#include "daisydrift/routing/RetryPolicy.h"

#include <strings.h>

namespace daisydrift {

namespace {

/// With less time than this left another try can't succeed: a round trip between failure domains
/// and the shortest useful work take about this long.
constexpr Duration kMinTryTime = std::chrono::milliseconds(5);

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

TryOutcome Classify(const UpstreamResult& aResult)
{
  if (aResult.error) {
    return aResult.progress == SendProgress::NotSent ? TryOutcome::NotSent : TryOutcome::NoAnswer;
  }
  if (HasNotStartedProof(aResult.response)) {
    return TryOutcome::NotStarted;
  }
  int status = aResult.response.status;
  if (status >= 502 && status <= 504) {
    return TryOutcome::Unavailable;
  }
  return status >= 500 ? TryOutcome::ServerError : TryOutcome::Answered;
}

bool MayHaveStarted(TryOutcome aOutcome)
{
  return aOutcome != TryOutcome::NotSent && aOutcome != TryOutcome::NotStarted;
}

RetryPolicy::RetryPolicy(unsigned aMaxTries)
  : maxTries(aMaxTries)
{
}

TryDecision RetryPolicy::Decide(const TryFacts& aFacts) const
{
  TryDecision decision;
  bool mayHaveRun = aFacts.mayOtherTryHaveStarted || MayHaveStarted(aFacts.outcome);
  bool isWorthRepeating =
    aFacts.outcome != TryOutcome::Answered && aFacts.outcome != TryOutcome::ServerError;
  decision.maySendAgain = isWorthRepeating && aFacts.tries < this->maxTries &&
                          aFacts.remaining >= kMinTryTime && (aFacts.isRepeatable || !mayHaveRun);
  decision.outcome = mayHaveRun ? RequestOutcome::Unknown : RequestOutcome::NotRun;
  switch (aFacts.outcome) {
    case TryOutcome::Answered:
    case TryOutcome::ServerError:
      decision.isAnswerFinal = true;
      decision.outcome = RequestOutcome::Ran;
      break;
    case TryOutcome::Unavailable:
      decision.isAnswerFinal = true;
      decision.code = "upstream_unavailable";
      break;
    case TryOutcome::NotSent:
      decision.status = 503;
      decision.code = "upstream_unreachable";
      break;
    case TryOutcome::NotStarted:
      decision.status = 503;
      decision.code = "upstream_refused";
      break;
    case TryOutcome::NoAnswer:
      decision.status = 504;
      decision.code = "upstream_no_answer";
      break;
  }
  return decision;
}

} // namespace daisydrift
