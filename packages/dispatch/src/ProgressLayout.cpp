#include "ProgressLayout.h"

#include <algorithm>

namespace daisydrift::dispatch {

ProgressLayout::ProgressLayout(const JobDefinition& aDefinition)
{
  std::uint64_t tasks = 0;
  for (const StepSpec& step : aDefinition.steps) {
    this->tasksBefore.push_back(tasks);
    tasks += step.taskCount;
  }
  this->tasksBefore.push_back(tasks);
  std::uint32_t occurrences = std::max<std::uint32_t>(aDefinition.occurrences, 1);
  this->isLarge = tasks * occurrences > kTasksPerPart;
  if (tasks > kTasksPerPart) {
    this->partsPerOccurrence = (tasks + kTasksPerPart - 1) / kTasksPerPart;
  } else {
    this->occurrencesPerPart =
      static_cast<std::uint32_t>(kTasksPerPart / std::max<std::uint64_t>(tasks, 1));
  }
}

std::uint64_t ProgressLayout::PartOf(std::uint32_t aOccurrence,
                                     std::uint32_t aStep,
                                     std::uint32_t aIndex) const
{
  std::uint64_t within = (this->tasksBefore[aStep] + aIndex) / kTasksPerPart;
  return this->FirstPartOf(aOccurrence) + (this->partsPerOccurrence > 1 ? within : 0);
}

std::pair<std::uint32_t, std::uint32_t> ProgressLayout::IndicesOf(std::uint64_t aPart,
                                                                  std::uint32_t aStep) const
{
  std::uint64_t before = this->tasksBefore[aStep];
  std::uint64_t count = this->tasksBefore[aStep + 1] - before;
  if (this->partsPerOccurrence == 1) {
    return { 0, static_cast<std::uint32_t>(count) };
  }
  std::uint64_t begin = aPart % this->partsPerOccurrence * kTasksPerPart;
  auto indexOf = [before, count](std::uint64_t aPosition) {
    std::uint64_t index = aPosition - std::min(aPosition, before);
    return static_cast<std::uint32_t>(std::min(index, count));
  };
  return { indexOf(begin), indexOf(begin + kTasksPerPart) };
}

std::uint64_t ProgressLayout::FirstPartOf(std::uint32_t aOccurrence) const
{
  return aOccurrence / this->occurrencesPerPart * this->partsPerOccurrence;
}

std::uint32_t ProgressLayout::FirstOccurrenceOf(std::uint64_t aPart) const
{
  return static_cast<std::uint32_t>(aPart / this->partsPerOccurrence * this->occurrencesPerPart);
}

} // namespace daisydrift::dispatch
