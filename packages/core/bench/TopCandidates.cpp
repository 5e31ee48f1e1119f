#include "TopCandidates.h"

namespace daisydrift::bench {

void TopCandidates::Add(List& aList, std::uint32_t aWorker)
{
  if (!aList.need.FitsIn(this->free[aWorker])) {
    return;
  }
  std::pair key(this->free[aWorker].milliCores, aWorker);
  // Workers that were left out may be better than this one, if it sorts after the last one kept.
  if (aList.isTruncated && (aList.best.empty() || key > *aList.best.rbegin())) {
    return;
  }
  aList.best.insert(key);
  if (aList.best.size() > kMaxKept) {
    aList.best.erase(std::prev(aList.best.end()));
    aList.isTruncated = true;
  }
}

void TopCandidates::Put(std::uint32_t aWorker, const Resources& aFree)
{
  if (aWorker >= this->free.size()) {
    this->free.resize(aWorker + 1, { -1, -1, -1 });
  }
  Resources before = this->free[aWorker];
  this->free[aWorker] = aFree;
  for (List& list : this->lists) {
    if (list.need.FitsIn(before)) {
      list.best.erase({ before.milliCores, aWorker });
    }
    this->Add(list, aWorker);
  }
}

void TopCandidates::Rebuild(List& aList)
{
  ++this->rebuilds;
  aList.isTruncated = false;
  aList.best.clear();
  for (std::uint32_t i = 0; i < this->free.size(); ++i) {
    this->Add(aList, i);
  }
}

std::int64_t TopCandidates::Find(const Resources& aNeed)
{
  List* list = nullptr;
  for (List& known : this->lists) {
    if (known.need == aNeed) {
      list = &known;
    }
  }
  if (list == nullptr) {
    list = &this->lists.emplace_back();
    list->need = aNeed;
    this->Rebuild(*list);
  }
  if (list->best.empty() && list->isTruncated) {
    this->Rebuild(*list);
  }
  return list->best.empty() ? -1 : static_cast<std::int64_t>(list->best.begin()->second);
}

} // namespace daisydrift::bench
