#pragma once
// Ordered index of the workers that may get starts, by free capacity.

#include "Entities.h"

#include <functional>

namespace daisydrift::core {

/// Finds workers with room in less than linear time. Each failure domain has an ordered set of
/// workers without accelerators (by free cores) and one of workers with them (by free accelerators,
/// then free cores). A tree of maxima over all workers answers exactly whether any has room.
class WorkerIndex
{
public:
  /// Accepts or rejects a worker for reasons other than room.
  using Filter = std::function<bool(Position)>;

  /// Adds a worker or changes its free capacity.
  void Put(Position aWorker, Position aDomain, bool aHasAccelerators, const Resources& aFree);
  /// Removes a worker; does nothing when it is not in.
  void Remove(Position aWorker);
  /// True when the worker is in.
  bool Contains(Position aWorker) const
  {
    return aWorker < this->entries.size() && this->entries[aWorker].isIn;
  }

  /// Appends up to aLimit workers of the domain with room for aNeed, tightest first. Looks at a
  /// bounded number of workers, so it may miss one.
  void CollectTightest(Position aDomain,
                       const Resources& aNeed,
                       const Filter& aFilter,
                       std::size_t aLimit,
                       std::vector<Position>& aOut) const;
  /// The same, from the workers with most free cores.
  void CollectLoosest(Position aDomain,
                      const Resources& aNeed,
                      const Filter& aFilter,
                      std::size_t aLimit,
                      std::vector<Position>& aOut) const;
  /// Appends up to aLimit workers of any domain with room for aNeed; finds one if there is one.
  void CollectAny(const Resources& aNeed,
                  const Filter& aFilter,
                  std::size_t aLimit,
                  std::vector<Position>& aOut) const;
  /// True when the largest free amounts of each kind, possibly of different workers, hold aNeed.
  bool MayFit(const Resources& aNeed) const
  {
    return !this->tree.empty() && aNeed.FitsIn(this->tree[1]);
  }
  /// Sum of free capacity of the workers in the index.
  const Resources& TotalFree() const { return this->totalFree; }

private:
  struct Entry
  {
    bool isIn = false;
    bool hasAccelerators = false;
    Position domain = kNoPosition;
    Resources free;
  };
  /// Free accelerators, free cores, worker.
  using Key = std::tuple<std::int64_t, std::int64_t, Position>;
  using OrderedSet = std::set<Key>;
  struct DomainSets
  {
    OrderedSet plain;
    OrderedSet accelerated;
  };

  static Key KeyOf(const Entry& aEntry, Position aWorker);
  OrderedSet& SetOf(const Entry& aEntry);
  void SetLeaf(Position aWorker, const Resources& aFree);
  void GrowTree();
  void CollectFrom(const OrderedSet& aSet,
                   const Resources& aNeed,
                   const Filter& aFilter,
                   std::size_t aLimit,
                   std::vector<Position>& aOut) const;
  bool VisitTree(std::size_t aNode,
                 const Resources& aNeed,
                 const Filter& aFilter,
                 std::size_t aLimit,
                 std::vector<Position>& aOut) const;

  std::vector<Entry> entries;
  std::vector<DomainSets> domains;
  /// Binary tree of maxima; node 1 is the root, leaves start at leafCount.
  std::vector<Resources> tree;
  std::size_t leafCount = 0;
  Resources totalFree;
};

} // namespace daisydrift::core
