#pragma once
// Amounts of CPU, memory and accelerators.

#include <compare>
#include <cstdint>

namespace daisydrift {

/// Capacity of a worker, demand of a task, or a limit: one amount for each resource type.
struct Resources
{
  /// Thousandths of a CPU core.
  std::int64_t milliCores = 0;
  std::int64_t memoryMiB = 0;
  /// Whole accelerators.
  std::int64_t accelerators = 0;

  bool operator==(const Resources&) const = default;

  Resources& operator+=(const Resources& aOther)
  {
    this->milliCores += aOther.milliCores;
    this->memoryMiB += aOther.memoryMiB;
    this->accelerators += aOther.accelerators;
    return *this;
  }
  Resources& operator-=(const Resources& aOther)
  {
    this->milliCores -= aOther.milliCores;
    this->memoryMiB -= aOther.memoryMiB;
    this->accelerators -= aOther.accelerators;
    return *this;
  }
  friend Resources operator+(Resources aLeft, const Resources& aRight) { return aLeft += aRight; }
  friend Resources operator-(Resources aLeft, const Resources& aRight) { return aLeft -= aRight; }

  /// True when no amount exceeds that of aLimit.
  bool FitsIn(const Resources& aLimit) const
  {
    return this->milliCores <= aLimit.milliCores && this->memoryMiB <= aLimit.memoryMiB &&
           this->accelerators <= aLimit.accelerators;
  }
};

} // namespace daisydrift
