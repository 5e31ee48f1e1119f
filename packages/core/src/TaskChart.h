#pragma once
// Life cycle of a task as a transition table, built once from the embedded state chart.

#include "daisydrift/base.h"

#include <array>
#include <cstdint>

namespace daisydrift::core {

/// States of charts/Task.chart, in the order of TaskChart::kStateNames.
enum class TaskState : std::uint8_t
{
  Waiting,
  Delayed,
  Assigned,
  Running,
  Stopping,
  Succeeded,
  Failed,
  Cancelled,
  Unknown
};

/// Events of charts/Task.chart, in the order of TaskChart::kEventNames.
enum class TaskEvent : std::uint8_t
{
  Assign,
  Start,
  Stop,
  Succeed,
  Exhaust,
  Retry,
  Delay,
  Ready,
  Lose,
  Cancel
};

/// Transition table of the task life cycle.
class TaskChart
{
public:
  static constexpr std::size_t kStateCount = 9;
  static constexpr std::size_t kEventCount = 10;
  static const std::array<const char*, kStateCount> kStateNames;
  static const std::array<const char*, kEventCount> kEventNames;

  /// Table of the embedded chart. Aborts the process if the chart is malformed or names a state or
  /// event that the code does not know.
  static const TaskChart& Instance();

  /// True if the chart has a transition for aEvent in aState.
  bool Allows(TaskState aState, TaskEvent aEvent) const
  {
    return this->next[Index(aState, aEvent)] != kNoState;
  }
  /// State after aEvent, which must be allowed in aState.
  TaskState Next(TaskState aState, TaskEvent aEvent) const;
  /// True if aState is a final state.
  bool IsFinal(TaskState aState) const { return this->isFinal[static_cast<std::size_t>(aState)]; }
  /// State of a new task.
  TaskState Initial() const { return this->initial; }

  /// Builds the table from a parsed chart. Adds a finding for each state or event unknown to the
  /// code.
  static TaskChart Translate(const StateChart& aChart, Findings& aFindings);

private:
  static constexpr std::uint8_t kNoState = 0xff;
  static std::size_t Index(TaskState aState, TaskEvent aEvent)
  {
    return static_cast<std::size_t>(aState) * kEventCount + static_cast<std::size_t>(aEvent);
  }

  std::array<std::uint8_t, kStateCount * kEventCount> next{};
  std::array<bool, kStateCount> isFinal{};
  TaskState initial = TaskState::Waiting;
};

} // namespace daisydrift::core
