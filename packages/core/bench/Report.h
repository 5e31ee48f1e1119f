#pragma once
// Output of the benchmarks: one line of key=value pairs for each measurement.

#include <cstdint>
#include <cstdio>
#include <string>

namespace daisydrift::bench {

/// Prints one measurement and flushes the output.
inline void PrintMeasurement(const std::string& aBench,
                             std::size_t aWorkers,
                             std::size_t aTeams,
                             const std::string& aPolicy,
                             std::uint64_t aSeed,
                             const std::string& aMetric,
                             double aValue,
                             const std::string& aUnit)
{
  std::printf("bench=%s workers=%zu teams=%zu policy=%s seed=%llu metric=%s value=%.6g unit=%s\n",
              aBench.c_str(),
              aWorkers,
              aTeams,
              aPolicy.c_str(),
              static_cast<unsigned long long>(aSeed),
              aMetric.c_str(),
              aValue,
              aUnit.c_str());
  std::fflush(stdout);
}

} // namespace daisydrift::bench
