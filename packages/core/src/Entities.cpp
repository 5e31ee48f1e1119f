#include "Entities.h"

#include <algorithm>

namespace daisydrift::core {

namespace {

double Fraction(std::int64_t aPart, std::int64_t aTotal)
{
  if (aPart <= 0) {
    return 0;
  }
  return aTotal > 0 ? static_cast<double>(aPart) / static_cast<double>(aTotal) : 1.0;
}

} // namespace

double DominantShare(const Resources& aPart, const Resources& aTotal)
{
  return std::max({ Fraction(aPart.milliCores, aTotal.milliCores),
                    Fraction(aPart.memoryMiB, aTotal.memoryMiB),
                    Fraction(aPart.accelerators, aTotal.accelerators) });
}

Resources Min(const Resources& aLeft, const Resources& aRight)
{
  return { std::min(aLeft.milliCores, aRight.milliCores),
           std::min(aLeft.memoryMiB, aRight.memoryMiB),
           std::min(aLeft.accelerators, aRight.accelerators) };
}

Resources Max(const Resources& aLeft, const Resources& aRight)
{
  return { std::max(aLeft.milliCores, aRight.milliCores),
           std::max(aLeft.memoryMiB, aRight.memoryMiB),
           std::max(aLeft.accelerators, aRight.accelerators) };
}

Resources Multiply(const Resources& aSize, std::int64_t aCount)
{
  return { aSize.milliCores * aCount, aSize.memoryMiB * aCount, aSize.accelerators * aCount };
}

} // namespace daisydrift::core
