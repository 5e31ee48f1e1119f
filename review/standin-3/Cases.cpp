#include "Cases.h"

#include <map>

namespace review {

bool RunCase(Deployment& aDeployment, const std::string& aName, bool aIsTrouble)
{
  static const std::map<std::string, void (*)(Deployment&, bool)> kCases{
    { "large-jobs", &RunLargeJobs },
    { "long-tasks", &RunLongTasks },
    { "overlapping-waves", &RunOverlappingWaves },
    { "frozen-leader", &RunFrozenLeader },
    { "late-order", &RunLateOrder },
    { "other-kind", &RunOtherKind },
  };
  auto found = kCases.find(aName);
  if (found == kCases.end()) {
    return false;
  }
  found->second(aDeployment, aIsTrouble);
  return true;
}

} // namespace review
