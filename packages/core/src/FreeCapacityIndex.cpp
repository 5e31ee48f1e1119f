#include "FreeCapacityIndex.h"

namespace daisydrift::core {

namespace {

/// Maximum number of workers examined in one ordered set. Bounds the cost of a placement when many
/// workers have free cores but no memory; CollectAny is exact.
constexpr std::size_t kMaxExamined = 48;

/// Below any free amount, so that a worker that is not in the index never fits.
constexpr Resources kNothingFits{ -1, -1, -1 };

} // namespace

FreeCapacityIndex::Key FreeCapacityIndex::KeyOf(const Entry& aEntry, EntityIndex aWorker)
{
  return { aEntry.free.accelerators, aEntry.free.milliCores, aWorker };
}

FreeCapacityIndex::OrderedSet& FreeCapacityIndex::SetFor(const Entry& aEntry)
{
  DomainSets& sets = this->domains[aEntry.domain];
  return aEntry.hasAccelerators ? sets.accelerated : sets.plain;
}

void FreeCapacityIndex::Put(EntityIndex aWorker,
                            EntityIndex aDomain,
                            bool aHasAccelerators,
                            const Resources& aFree)
{
  if (aWorker >= this->entries.size()) {
    this->entries.resize(aWorker + 1);
    this->GrowTree();
  }
  if (aDomain >= this->domains.size()) {
    this->domains.resize(aDomain + 1);
  }
  Entry& entry = this->entries[aWorker];
  if (entry.isIndexed && entry.domain == aDomain && entry.hasAccelerators == aHasAccelerators) {
    if (entry.free == aFree) {
      return;
    }
    // Reuses the set node to avoid an allocation.
    OrderedSet& set = this->SetFor(entry);
    auto node = set.extract(KeyOf(entry, aWorker));
    this->totalFree += aFree - entry.free;
    entry.free = aFree;
    node.value() = KeyOf(entry, aWorker);
    set.insert(std::move(node));
    this->SetLeaf(aWorker, aFree);
    return;
  }
  this->Remove(aWorker);
  entry = { true, aHasAccelerators, aDomain, aFree };
  this->SetFor(entry).insert(KeyOf(entry, aWorker));
  this->totalFree += aFree;
  this->SetLeaf(aWorker, aFree);
}

void FreeCapacityIndex::Remove(EntityIndex aWorker)
{
  if (!this->Contains(aWorker)) {
    return;
  }
  Entry& entry = this->entries[aWorker];
  this->SetFor(entry).erase(KeyOf(entry, aWorker));
  this->totalFree -= entry.free;
  entry.isIndexed = false;
  this->SetLeaf(aWorker, kNothingFits);
}

void FreeCapacityIndex::GrowTree()
{
  if (this->entries.size() <= this->leafCount) {
    return;
  }
  std::size_t leaves = this->leafCount == 0 ? 64 : this->leafCount;
  while (leaves < this->entries.size()) {
    leaves *= 2;
  }
  this->leafCount = leaves;
  this->tree.assign(2 * leaves, kNothingFits);
  for (std::size_t i = 0; i < this->entries.size(); ++i) {
    if (this->entries[i].isIndexed) {
      this->tree[leaves + i] = this->entries[i].free;
    }
  }
  for (std::size_t node = leaves - 1; node >= 1; --node) {
    this->tree[node] = Max(this->tree[2 * node], this->tree[2 * node + 1]);
  }
}

void FreeCapacityIndex::SetLeaf(EntityIndex aWorker, const Resources& aFree)
{
  std::size_t node = this->leafCount + aWorker;
  this->tree[node] = aFree;
  for (node /= 2; node >= 1; node /= 2) {
    Resources larger = Max(this->tree[2 * node], this->tree[2 * node + 1]);
    if (larger == this->tree[node]) {
      return;
    }
    this->tree[node] = larger;
  }
}

void FreeCapacityIndex::CollectBestFit(EntityIndex aDomain,
                                       const Resources& aNeed,
                                       const Filter& aFilter,
                                       std::size_t aLimit,
                                       std::vector<EntityIndex>& aOut) const
{
  if (aDomain >= this->domains.size()) {
    return;
  }
  std::size_t before = aOut.size();
  if (aNeed.accelerators == 0) {
    this->CollectFromSet(this->domains[aDomain].plain, aNeed, aFilter, aLimit, aOut);
  }
  std::size_t found = aOut.size() - before;
  if (found < aLimit) {
    this->CollectFromSet(this->domains[aDomain].accelerated, aNeed, aFilter, aLimit - found, aOut);
  }
}

void FreeCapacityIndex::CollectFromSet(const OrderedSet& aSet,
                                       const Resources& aNeed,
                                       const Filter& aFilter,
                                       std::size_t aLimit,
                                       std::vector<EntityIndex>& aOut) const
{
  std::size_t examined = 0;
  std::size_t found = 0;
  auto it = aSet.lower_bound({ aNeed.accelerators, aNeed.milliCores, 0 });
  while (it != aSet.end() && found < aLimit && ++examined <= kMaxExamined) {
    auto [accelerators, cores, worker] = *it;
    if (cores < aNeed.milliCores) {
      it = aSet.lower_bound({ accelerators, aNeed.milliCores, 0 });
      continue;
    }
    if (aNeed.FitsIn(this->entries[worker].free) && aFilter(worker)) {
      aOut.push_back(worker);
      ++found;
    }
    ++it;
  }
}

void FreeCapacityIndex::CollectWorstFit(EntityIndex aDomain,
                                        const Resources& aNeed,
                                        const Filter& aFilter,
                                        std::size_t aLimit,
                                        std::vector<EntityIndex>& aOut) const
{
  if (aDomain >= this->domains.size()) {
    return;
  }
  const DomainSets& sets = this->domains[aDomain];
  const OrderedSet& set = aNeed.accelerators == 0 ? sets.plain : sets.accelerated;
  std::size_t examined = 0;
  std::size_t found = 0;
  for (auto it = set.rbegin(); it != set.rend() && found < aLimit && ++examined <= kMaxExamined;
       ++it) {
    EntityIndex worker = std::get<2>(*it);
    if (aNeed.FitsIn(this->entries[worker].free) && aFilter(worker)) {
      aOut.push_back(worker);
      ++found;
    }
  }
}

void FreeCapacityIndex::CollectAny(const Resources& aNeed,
                                   const Filter& aFilter,
                                   std::size_t aLimit,
                                   std::vector<EntityIndex>& aOut) const
{
  if (!this->tree.empty()) {
    this->CollectFromTree(1, aNeed, aFilter, aOut.size() + aLimit, aOut);
  }
}

bool FreeCapacityIndex::CollectFromTree(std::size_t aNode,
                                        const Resources& aNeed,
                                        const Filter& aFilter,
                                        std::size_t aLimit,
                                        std::vector<EntityIndex>& aOut) const
{
  if (!aNeed.FitsIn(this->tree[aNode])) {
    return true;
  }
  if (aNode >= this->leafCount) {
    auto worker = static_cast<EntityIndex>(aNode - this->leafCount);
    if (aFilter(worker)) {
      aOut.push_back(worker);
    }
    return aOut.size() < aLimit;
  }
  return this->CollectFromTree(2 * aNode, aNeed, aFilter, aLimit, aOut) &&
         this->CollectFromTree(2 * aNode + 1, aNeed, aFilter, aLimit, aOut);
}

} // namespace daisydrift::core
