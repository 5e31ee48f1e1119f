#include "ProblemReply.h"

namespace daisydrift {

CallReply MakeProblemReply(const Problem& aProblem)
{
  CallReply reply;
  reply.status = static_cast<std::uint16_t>(aProblem.status);
  reply.contentType = "application/problem+json";
  reply.body = EncodeProblem(aProblem);
  if (aProblem.retryAfter > std::chrono::seconds::zero()) {
    reply.headers.emplace_back("Retry-After", std::to_string(aProblem.retryAfter.count()));
  }
  return reply;
}

Problem NoLeaderProblem(const std::string& aDetail)
{
  return { 503, "no_leader", aDetail, "not_run", std::chrono::seconds(1), {} };
}

Problem OutcomeUnknownProblem()
{
  return { 504,
           "outcome_unknown",
           "the call may or may not have been carried out; repeat it with the same Idempotency-Key",
           "unknown",
           std::chrono::seconds(1),
           {} };
}

} // namespace daisydrift
