#pragma once
// Index of the workers that may get new tasks, ordered by free capacity.

#include "Entities.h"

#include <functional>

namespace daisydrift::core {

/// Finds workers with enough free capacity in less than linear time. Each failure domain has an
/// ordered set of the workers without accelerators (by free cores) and one of the workers with
/// accelerators (by free accelerators, then free cores). A segment tree of maxima over all workers
/// gives an exact answer to whether any worker has enough.
class FreeCapacityIndex
{
public:
  /// Accepts or rejects a worker for reasons other than its free capacity.
  using Filter = std::function<bool(EntityIndex)>;

  /// Adds a worker or updates its failure domain and free capacity.
  void Put(EntityIndex aWorker, EntityIndex aDomain, bool aHasAccelerators, const Resources& aFree);
  /// Removes a worker; does nothing if it is not in the index.
  void Remove(EntityIndex aWorker);
  /// True if the worker is in the index.
  bool Contains(EntityIndex aWorker) const
  {
    return aWorker < this->entries.size() && this->entries[aWorker].isIndexed;
  }

  /// Appends up to aLimit workers of the domain with aNeed free, best fit first (fewest free
  /// accelerators, then cores). Examines a bounded number of workers, so it may miss some.
  void CollectBestFit(EntityIndex aDomain,
                      const Resources& aNeed,
                      const Filter& aFilter,
                      std::size_t aLimit,
                      std::vector<EntityIndex>& aOut) const;
  /// The same, worst fit first (most free accelerators, then cores).
  void CollectWorstFit(EntityIndex aDomain,
                       const Resources& aNeed,
                       const Filter& aFilter,
                       std::size_t aLimit,
                       std::vector<EntityIndex>& aOut) const;
  /// Appends up to aLimit workers of any domain with aNeed free. The search is exact: it finds a
  /// worker if there is one.
  void CollectAny(const Resources& aNeed,
                  const Filter& aFilter,
                  std::size_t aLimit,
                  std::vector<EntityIndex>& aOut) const;
  /// True if aNeed fits the largest free amount of each resource type, possibly of different
  /// workers.
  bool FitsLargestFree(const Resources& aNeed) const
  {
    return !this->tree.empty() && aNeed.FitsIn(this->tree[1]);
  }
  /// Sum of the free capacity of the workers in the index.
  const Resources& TotalFree() const { return this->totalFree; }

private:
  struct Entry
  {
    bool isIndexed = false;
    bool hasAccelerators = false;
    EntityIndex domain = kNoEntity;
    Resources free;
  };
  /// Free accelerators, free cores, worker.
  using Key = std::tuple<std::int64_t, std::int64_t, EntityIndex>;
  using OrderedSet = std::set<Key>;
  struct DomainSets
  {
    OrderedSet plain;
    OrderedSet accelerated;
  };

  static Key KeyOf(const Entry& aEntry, EntityIndex aWorker);
  OrderedSet& SetFor(const Entry& aEntry);
  void SetLeaf(EntityIndex aWorker, const Resources& aFree);
  void GrowTree();
  void CollectFromSet(const OrderedSet& aSet,
                      const Resources& aNeed,
                      const Filter& aFilter,
                      std::size_t aLimit,
                      std::vector<EntityIndex>& aOut) const;
  bool CollectFromTree(std::size_t aNode,
                       const Resources& aNeed,
                       const Filter& aFilter,
                       std::size_t aLimit,
                       std::vector<EntityIndex>& aOut) const;

  std::vector<Entry> entries;
  std::vector<DomainSets> domains;
  /// Segment tree of component-wise maxima: node 1 is the root, the leaves start at leafCount.
  std::vector<Resources> tree;
  std::size_t leafCount = 0;
  Resources totalFree;
};

} // namespace daisydrift::core
