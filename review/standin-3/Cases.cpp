#include "Cases.h"

#include <map>

namespace review {

bool RunCase(Deployment& aDeployment, const std::string& aName, bool aIsTrouble)
{
  static const std::map<std::string, void (*)(Deployment&, bool)> kCases{
    { "large-jobs", &RunLargeJobs },
    { "checkpoints", &RunCheckpoints },
    { "frozen-leader", &RunFrozenLeader },
    { "late-order", &RunLateOrder },
  };
  auto found = kCases.find(aName);
  if (found == kCases.end()) {
    return false;
  }
  found->second(aDeployment, aIsTrouble);
  return true;
}

} // namespace review
