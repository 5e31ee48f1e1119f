#pragma once
// Problems as replies to calls between instances, and the problems that several parts of the daemon
// answer with.

#include "HttpServer.h"

#include "daisydrift/rpc.h"

namespace daisydrift {

/// The reply that carries a problem.
CallReply MakeProblemReply(const Problem& aProblem);

/// Nothing was done because no leader took the call.
Problem NoLeaderProblem(const std::string& aDetail);

/// The call may or may not have been carried out.
Problem OutcomeUnknownProblem();

} // namespace daisydrift
