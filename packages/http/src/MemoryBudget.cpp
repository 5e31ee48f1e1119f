#include "daisydrift/http/MemoryBudget.h"

#include <algorithm>

namespace daisydrift {

MemoryBudget::MemoryBudget(std::size_t aLimit, Ref<MemoryBudget> aParent)
  : limit(aLimit)
  , parent(std::move(aParent))
{
}

std::size_t MemoryBudget::TakePeak()
{
  std::size_t taken = this->peak;
  this->peak = this->used;
  return taken;
}

bool MemoryBudget::Replace(std::size_t aFrom, std::size_t aTo)
{
  if (aTo > aFrom) {
    std::size_t more = aTo - aFrom;
    bool hasRoom = this->used <= this->limit && more <= this->limit - this->used;
    if (!hasRoom || (this->parent && !this->parent->Replace(aFrom, aTo))) {
      return false;
    }
    this->used += more;
    this->peak = std::max(this->peak, this->used);
    return true;
  }
  std::size_t less = aFrom - aTo;
  // A count that is wrong must refuse requests and never admit too many.
  this->used = less <= this->used ? this->used - less : this->limit;
  if (this->parent) {
    this->parent->Replace(aFrom, aTo);
  }
  return true;
}

} // namespace daisydrift
