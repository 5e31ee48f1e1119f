// Simulates generated workloads under the scheduler and the baseline policies. Usage: WorkloadBench
// [SCALE] [SEED]

#include "Report.h"
#include "Simulation.h"

#include <cstdlib>

int main(int aCount, char** aArguments)
{
  using namespace daisydrift::bench;
  std::string only = aCount > 1 ? aArguments[1] : "";
  std::uint64_t seed = aCount > 2 ? std::strtoull(aArguments[2], nullptr, 10) : 20261204;
  for (const Scale& scale : AllScales()) {
    if (!only.empty() && only != scale.name) {
      continue;
    }
    Workload workload = GenerateWorkload(scale, seed);
    for (const char* name :
         { "fifo", "first_fit", "random_two", "daisydrift_waiting", "daisydrift_packing" }) {
      auto policy = MakePolicy(name, seed);
      Simulation simulation(scale, workload, *policy);
      for (const Measurement& measurement : simulation.Run()) {
        PrintMeasurement(scale.name,
                         scale.workers,
                         scale.teams,
                         name,
                         seed,
                         measurement.metric,
                         measurement.value,
                         measurement.unit);
      }
    }
  }
  return 0;
}
