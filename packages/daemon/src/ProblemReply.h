#pragma once
// Problem details as replies to calls between instances, and problems used by several classes.

#include "HttpServer.h"

#include "daisydrift/rpc.h"

namespace daisydrift {

/// Returns a reply with the problem as its body.
CallReply MakeProblemReply(const Problem& aProblem);

/// The call was not executed because no leader accepted it.
Problem NoLeaderProblem(const std::string& aDetail);

/// The call may or may not have been executed.
Problem OutcomeUnknownProblem();

} // namespace daisydrift
