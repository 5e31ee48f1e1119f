#pragma once
// What to do after a try, and what may truthfully be said about the request.

#include "daisydrift/base.h"
#include "daisydrift/external.h"
#include "daisydrift/routing/RoutingSettings.h"

#include <string>

namespace daisydrift {

/// What is known about whether the work of a request was run.
enum class RequestOutcome
{
  Ran,
  /// Proven: no upstream started it.
  NotRun,
  /// It may have been run.
  Unknown
};

/// `ran`, `not_run` or `unknown`, as in the callers' interface.
const char* ToString(RequestOutcome aOutcome);

/// What became of one try.
enum class SendOutcome
{
  /// No byte reached an upstream.
  NotSent,
  /// The upstream answered 503 with kNotStartedHeader: proof that it did not start the request.
  NotStarted,
  /// Sent, but no whole answer came.
  NoResponse,
  /// Whole answer with status 502, 503 or 504: the work may or may not have been run.
  Unavailable,
  /// Whole answer with another status of 500 and above.
  ServerError,
  /// Whole answer with any other status.
  Responded
};

/// Classifies the result of a send.
SendOutcome ClassifyResult(const UpstreamResult& aResult);

/// True when a try with this outcome may have run at the upstream.
bool MayHaveStarted(SendOutcome aOutcome);

/// What is known of a request when a try has ended.
struct RetryContext
{
  /// Outcome of the try that ended.
  SendOutcome outcome = SendOutcome::NotSent;
  /// An earlier or concurrent try may have started.
  bool mayOtherAttemptHaveStarted = false;
  bool isRepeatable = false;
  /// Tries made so far, including this one.
  unsigned attempts = 1;
  /// Time left until the deadline.
  Duration remaining{ 0 };
};

/// Decision after a try.
struct RetryDecision
{
  /// Sending again is allowed; the caller still has to get a token of the budget.
  bool mayRetry = false;
  /// The answer of this try is the answer of the request when it isn't sent again.
  bool isResponseFinal = false;
  /// What may be said when the request isn't sent again.
  RequestOutcome outcome = RequestOutcome::Unknown;
  /// HTTP status and code when there is no answer to pass on.
  int status = 0;
  std::string code;
};

/// Decides after each try. A request that isn't repeatable is sent again only when every try so far
/// is proven not started.
class RetryPolicy
{
public:
  explicit RetryPolicy(unsigned aMaxAttempts);

  RetryDecision Decide(const RetryContext& aContext) const;

private:
  unsigned maxAttempts;
};

} // namespace daisydrift
