#include "StoredEnds.h"

#include <algorithm>

namespace daisydrift::coordination {

void StoredEnds::OnGroupBegun(std::uint64_t aGroup,
                              TakenEnds aEnds,
                              const std::set<JobId>& aTaken,
                              const std::set<JobId>& aDeferred)
{
  this->openGroups.insert(aGroup);
  for (Snapshot& snapshot : this->snapshots) {
    for (const JobId& job : aTaken) {
      if (snapshot.missing.erase(job) != 0) {
        snapshot.lastGroup = aGroup;
      }
    }
  }
  this->snapshots.push_back({ std::move(aEnds), aDeferred, aGroup });
}

std::vector<TakenEnds> StoredEnds::OnGroupStored(std::uint64_t aGroup)
{
  this->openGroups.erase(aGroup);
  std::vector<TakenEnds> stored;
  while (!this->snapshots.empty()) {
    Snapshot& oldest = this->snapshots.front();
    bool areStored = this->openGroups.empty() || *this->openGroups.begin() > oldest.lastGroup;
    if (!oldest.missing.empty() || !areStored) {
      break;
    }
    stored.push_back(std::move(oldest.ends));
    this->snapshots.pop_front();
  }
  return stored;
}

} // namespace daisydrift::coordination
