#pragma once
// Output of the benchmarks: one line of key=value pairs for each measured value.

#include <algorithm>
#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

namespace daisydrift {

/// Prints one measured value. aParameters holds further pairs, such as "upstreams=50".
inline void PrintMeasurement(const char* aBench,
                             const std::string& aMetric,
                             double aValue,
                             const char* aUnit,
                             const std::string& aPolicy,
                             std::uint64_t aSeed,
                             const std::string& aParameters)
{
  std::cout << "bench=" << aBench << " metric=" << aMetric << " value=" << aValue
            << " unit=" << aUnit << " policy=" << aPolicy << " seed=" << aSeed << ' ' << aParameters
            << '\n';
}

/// The quantile aPerMille / 1000 of the values; 0 when there are none.
inline double Quantile(std::vector<double> aValues, std::size_t aPerMille)
{
  if (aValues.empty()) {
    return 0;
  }
  std::size_t position = std::min(aValues.size() - 1, aValues.size() * aPerMille / 1000);
  std::nth_element(
    aValues.begin(), aValues.begin() + static_cast<std::ptrdiff_t>(position), aValues.end());
  return aValues[position];
}

} // namespace daisydrift
