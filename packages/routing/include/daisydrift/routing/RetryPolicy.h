#pragma once
// Decides after each attempt whether a request is retried and which outcome is reported for it.

#include "daisydrift/base.h"
#include "daisydrift/external.h"
#include "daisydrift/routing/RoutingSettings.h"

#include <string>

namespace daisydrift {

/// What is known about whether an upstream executed a request.
enum class RequestOutcome
{
  Ran,
  /// Proven: no upstream started to execute it.
  NotRun,
  /// An upstream may have executed it.
  Unknown
};

/// `ran`, `not_run` or `unknown`, as in the HTTP API.
const char* ToString(RequestOutcome aOutcome);

/// How one attempt to send a request ended.
enum class SendOutcome
{
  /// No byte reached an upstream.
  NotSent,
  /// The upstream responded with 503 and kNotStartedHeader, which proves that it did not start the
  /// request.
  NotStarted,
  /// At least a part was sent, but no complete response was received.
  NoResponse,
  /// Complete response with status 502, 503 or 504: the request may or may not have been executed.
  Unavailable,
  /// Complete response with another status of 500 or above.
  ServerError,
  /// Complete response with any other status.
  Responded
};

/// Maps the result of a send to its outcome.
SendOutcome ClassifyResult(const UpstreamResult& aResult);

/// True when the upstream may have started the request in an attempt with this outcome.
bool MayHaveStarted(SendOutcome aOutcome);

/// What is known about a request when one of its attempts has ended.
struct RetryContext
{
  /// Outcome of the attempt that ended.
  SendOutcome outcome = SendOutcome::NotSent;
  /// The request may have been started by an earlier or a concurrent attempt.
  bool mayOtherAttemptHaveStarted = false;
  bool isRepeatable = false;
  /// Attempts made so far, including this one.
  unsigned attempts = 1;
  /// Time until the deadline; negative after it.
  Duration remaining{ 0 };
};

/// Decision after an attempt.
struct RetryDecision
{
  /// A retry is allowed. It still needs a token of the retry budget.
  bool canRetry = false;
  /// Without a retry, the response of this attempt becomes the response to the request.
  bool isResponseFinal = false;
  /// Outcome to report when there is no retry.
  RequestOutcome outcome = RequestOutcome::Unknown;
  /// HTTP status and error code when there is no response to pass on.
  int status = 0;
  std::string code;
};

/// Decides after each attempt. A request that isn't repeatable is retried only when every attempt
/// so far is proven not to have started it.
class RetryPolicy
{
public:
  explicit RetryPolicy(unsigned aMaxAttempts);

  RetryDecision Decide(const RetryContext& aContext) const;

private:
  unsigned maxAttempts;
};

} // namespace daisydrift
