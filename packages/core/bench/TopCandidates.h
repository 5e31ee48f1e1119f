#pragma once
// A worker index made of lists of the best workers for each task size, to compare with the ordered
// index (core::FreeCapacityIndex).

#include "daisydrift/core.h"

#include <map>
#include <set>
#include <vector>

namespace daisydrift::bench {

/// For each size asked for, keeps up to kMaxKept of the workers with enough free resources, those
/// with the least free cores. Every change of a worker updates all lists; an empty list is rebuilt
/// from all workers.
class TopCandidates
{
public:
  static constexpr std::size_t kMaxKept = 16;

  /// Sets the free resources of a worker.
  void Put(std::uint32_t aWorker, const Resources& aFree);
  /// Returns, of the workers on which aNeed fits, the one with the least free cores, or -1.
  std::int64_t Find(const Resources& aNeed);
  /// Number of lists built by a scan of all workers so far.
  std::size_t Rebuilds() const { return this->rebuilds; }

private:
  struct List
  {
    Resources need;
    /// Free cores (in thousandths) and worker.
    std::set<std::pair<std::int64_t, std::uint32_t>> best;
    /// True when workers with enough free resources were left out.
    bool isTruncated = false;
  };

  void Rebuild(List& aList);
  void Add(List& aList, std::uint32_t aWorker);

  std::vector<Resources> free;
  std::vector<List> lists;
  std::size_t rebuilds = 0;
};

} // namespace daisydrift::bench
