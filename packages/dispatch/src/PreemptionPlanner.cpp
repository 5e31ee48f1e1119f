#include "PreemptionPlanner.h"

#include <algorithm>
#include <limits>

namespace daisydrift::dispatch {

namespace {
/// The newest stop counts for one part in so many of the expected stop time.
constexpr std::int64_t kAveragedStops = 5;

/// Number of tasks of aSize that fit into aFree.
std::uint32_t CountFitting(const Resources& aSize, const Resources& aFree)
{
  std::int64_t tasks = std::numeric_limits<std::uint32_t>::max();
  auto limit = [&tasks](std::int64_t aNeeded, std::int64_t aAvailable) {
    if (aNeeded > 0) {
      tasks = std::min(tasks, std::max<std::int64_t>(aAvailable, 0) / aNeeded);
    }
  };
  limit(aSize.milliCores, aFree.milliCores);
  limit(aSize.memoryMiB, aFree.memoryMiB);
  limit(aSize.accelerators, aFree.accelerators);
  return static_cast<std::uint32_t>(tasks);
}

/// Takes the capacity of some tasks from a worker, for the needs that follow.
void Take(PreemptionWorker& aWorker, const Resources& aSize, std::uint32_t aTasks)
{
  aWorker.free.milliCores -= aSize.milliCores * aTasks;
  aWorker.free.memoryMiB -= aSize.memoryMiB * aTasks;
  aWorker.free.accelerators -= aSize.accelerators * aTasks;
}

Resources FreeBy(const PreemptionWorker& aWorker, Duration aTime)
{
  Resources free = aWorker.free;
  for (const PreemptibleRun& run : aWorker.runs) {
    if (run.left <= aTime) {
      free += run.size;
    }
  }
  return free;
}

bool IsUsable(const PreemptionNeed& aNeed, const PreemptionWorker& aWorker)
{
  return aWorker.number < aNeed.usable.size() && aNeed.usable[aWorker.number];
}
} // namespace

void PreemptionPlanner::OnStopped(Duration aTime)
{
  this->stopTime += (aTime - this->stopTime) / kAveragedStops;
}

std::uint32_t PreemptionPlanner::TasksBy(const PreemptionNeed& aNeed,
                                         const PreemptionWorker& aWorker,
                                         Duration aTime)
{
  return IsUsable(aNeed, aWorker) ? CountFitting(aNeed.size, FreeBy(aWorker, aTime)) : 0;
}

PreemptionPlanner::Option PreemptionPlanner::CheapestOption(const PreemptionNeed& aNeed,
                                                            PreemptionWorker& aWorker) const
{
  Duration neededAfter = std::max<Duration>(aNeed.slack, this->stopTime) + kMinLateness;
  Option option;
  option.worker = &aWorker;
  std::vector<PreemptibleRun*> runs;
  for (PreemptibleRun& run : aWorker.runs) {
    if (run.canStop && run.priority > aNeed.priority && run.left > neededAfter) {
      runs.push_back(&run);
    }
  }
  // By lost work for each freed core.
  std::stable_sort(
    runs.begin(), runs.end(), [](const PreemptibleRun* aLeft, const PreemptibleRun* aRight) {
      if (aLeft->canCheckpoint != aRight->canCheckpoint) {
        return aLeft->canCheckpoint;
      }
      return aLeft->lostWork * static_cast<double>(aRight->size.milliCores) <
             aRight->lostWork * static_cast<double>(aLeft->size.milliCores);
    });
  Resources free = FreeBy(aWorker, neededAfter);
  std::uint32_t before = CountFitting(aNeed.size, free);
  for (PreemptibleRun* run : runs) {
    option.runs.push_back(run);
    option.stoppedMilliCores += run->stoppedMilliCores;
    option.allCheckpoint = option.allCheckpoint && run->canCheckpoint;
    option.cost += run->lostWork;
    free += run->size;
    option.tasks = CountFitting(aNeed.size, free) - before;
    if (option.tasks > 0) {
      option.cost /= option.tasks;
      break;
    }
  }
  return option;
}

void PreemptionPlanner::MarkStopped(const PreemptibleRun& aRun,
                                    std::vector<PreemptionWorker>& aWorkers) const
{
  std::uint64_t key = aRun.key;
  std::uint64_t gang = aRun.gang;
  for (PreemptionWorker& worker : aWorkers) {
    for (PreemptibleRun& run : worker.runs) {
      if (run.key == key || (gang != 0 && run.gang == gang)) {
        run.canStop = false;
        run.left = this->stopTime;
      }
    }
  }
}

std::vector<std::uint64_t> PreemptionPlanner::Plan(const PreemptionNeed& aNeed,
                                                   std::vector<PreemptionWorker>& aWorkers,
                                                   std::int64_t& aBudget) const
{
  std::vector<std::uint64_t> stops;
  std::uint32_t missing = aNeed.tasks;
  for (PreemptionWorker& worker : aWorkers) {
    std::uint32_t tasks = std::min(missing, TasksBy(aNeed, worker, aNeed.slack + kMinLateness));
    Take(worker, aNeed.size, tasks);
    missing -= tasks;
  }
  if (missing == 0 || aNeed.slack < this->stopTime) {
    return stops;
  }
  while (missing > 0) {
    Option best;
    for (PreemptionWorker& worker : aWorkers) {
      if (!IsUsable(aNeed, worker)) {
        continue;
      }
      Option option = this->CheapestOption(aNeed, worker);
      bool isBetter = option.tasks > 0 && option.stoppedMilliCores <= aBudget &&
                      (best.tasks == 0 || (option.allCheckpoint && !best.allCheckpoint) ||
                       (option.allCheckpoint == best.allCheckpoint && option.cost < best.cost));
      if (isBetter) {
        best = std::move(option);
      }
    }
    if (best.tasks == 0) {
      break;
    }
    aBudget -= best.stoppedMilliCores;
    for (PreemptibleRun* run : best.runs) {
      stops.push_back(run->key);
      this->MarkStopped(*run, aWorkers);
    }
    std::uint32_t tasks = std::min(missing, best.tasks);
    Take(*best.worker, aNeed.size, tasks);
    missing -= tasks;
  }
  return stops;
}

} // namespace daisydrift::dispatch
