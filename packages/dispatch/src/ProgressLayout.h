#pragma once
// How the progress of a job is divided into records of bounded size.

#include "daisydrift/dispatch/DispatchTypes.h"

#include <utility>

namespace daisydrift::dispatch {

/// Divides the tasks of a job among parts, each of which is stored as one record. Without it the
/// record of a job grows with its tasks and occurrences, until the store refuses it.
///
/// A part holds several whole occurrences, or some tasks of one occurrence, so that the parts of
/// occurrences that have succeeded are never written again. The division follows from the
/// definition alone, so that all leaders agree on it.
class ProgressLayout
{
public:
  /// Most tasks in one part, and in the only record of a job that is not divided.
  static constexpr std::uint64_t kTasksPerPart = 512;

  ProgressLayout() = default;
  explicit ProgressLayout(const JobDefinition& aDefinition);

  /// True when the job has more tasks than one part holds.
  bool IsLarge() const { return this->isLarge; }
  /// Part of a task.
  std::uint64_t PartOf(std::uint32_t aOccurrence, std::uint32_t aStep, std::uint32_t aIndex) const;
  /// First and last index, exclusive, of the tasks of a step of one occurrence that a part holds,
  /// which holds tasks of that occurrence.
  std::pair<std::uint32_t, std::uint32_t> IndicesOf(std::uint64_t aPart, std::uint32_t aStep) const;
  /// First part of an occurrence. Several occurrences may share it.
  std::uint64_t FirstPartOf(std::uint32_t aOccurrence) const;
  /// Number of occurrences that share each part; 1 when an occurrence has a part or more.
  std::uint32_t OccurrencesPerPart() const { return this->occurrencesPerPart; }
  /// First occurrence in a part.
  std::uint32_t FirstOccurrenceOf(std::uint64_t aPart) const;

private:
  bool isLarge = false;
  std::uint32_t occurrencesPerPart = 1;
  std::uint64_t partsPerOccurrence = 1;
  /// Number of tasks in the steps before each step, and in all steps.
  std::vector<std::uint64_t> tasksBefore;
};

} // namespace daisydrift::dispatch
