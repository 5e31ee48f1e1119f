#pragma once
// An index that keeps the best workers of each size up to date, to compare with the ordered index.

#include "daisydrift/core.h"

#include <map>
#include <set>
#include <vector>

namespace daisydrift::bench {

/// For each size asked for, keeps up to kKept workers with the least free cores that have room.
/// Every change of a worker updates all lists; an empty list is rebuilt from all workers.
class TopCandidates
{
public:
  static constexpr std::size_t kKept = 16;

  /// Changes the free amount of a worker.
  void Put(std::uint32_t aWorker, const Resources& aFree);
  /// The tightest worker with room for aNeed, or -1.
  std::int64_t Find(const Resources& aNeed);
  /// Full scans so far.
  std::size_t Rebuilds() const { return this->rebuilds; }

private:
  struct List
  {
    Resources need;
    /// Free cores and worker.
    std::set<std::pair<std::int64_t, std::uint32_t>> best;
    /// True when workers with room were left out.
    bool isCut = false;
  };

  void Rebuild(List& aList);
  void Add(List& aList, std::uint32_t aWorker);

  std::vector<Resources> free;
  std::vector<List> lists;
  std::size_t rebuilds = 0;
};

} // namespace daisydrift::bench
