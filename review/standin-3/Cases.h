#pragma once
// The scripts of the third review.

#include "Deployment.h"

namespace review {

/// Runs a case until it ends; false if there is none with that name.
bool RunCase(Deployment& aDeployment, const std::string& aName, bool aIsTrouble);

void RunLargeJobs(Deployment& aDeployment, bool aIsTrouble);
void RunCheckpoints(Deployment& aDeployment, bool aIsTrouble);
void RunFrozenLeader(Deployment& aDeployment, bool aIsTrouble);
void RunLateOrder(Deployment& aDeployment, bool aIsTrouble);

} // namespace review
