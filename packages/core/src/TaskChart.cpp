#include "TaskChart.h"

#include <cassert>
#include <cstdlib>

namespace daisydrift::core {

extern const char* const kTaskChartText;

const std::array<const char*, TaskChart::kStateCount> TaskChart::kStateNames{
  "waiting",   "delayed", "assigned",  "running", "stopping",
  "succeeded", "failed",  "cancelled", "unknown"
};

const std::array<const char*, TaskChart::kEventCount> TaskChart::kEventNames{
  "assign", "start", "stop", "succeed", "exhaust", "retry", "delay", "ready", "lose", "cancel"
};

namespace {

template<std::size_t kSize>
std::size_t FindName(const std::array<const char*, kSize>& aNames,
                     const std::string& aName,
                     Findings& aFindings)
{
  for (std::size_t i = 0; i < kSize; ++i) {
    if (aName == aNames[i]) {
      return i;
    }
  }
  aFindings.Add(
    { "Task.chart", 1, 1 }, "unknown_name", "'" + aName + "' is not a known state or event");
  return 0;
}

TaskChart LoadEmbeddedChart()
{
  Findings findings;
  auto chart = StateChart::Parse(kTaskChartText, "Task.chart", findings);
  TaskChart table;
  if (chart) {
    table = TaskChart::Translate(*chart, findings);
  }
  if (!findings.Empty()) {
    LogLine(LogLevel::Error, "task_chart_invalid").Add("findings", findings.ToText());
    std::abort();
  }
  return table;
}

} // namespace

const TaskChart& TaskChart::Instance()
{
  static const TaskChart sChart = LoadEmbeddedChart();
  return sChart;
}

TaskState TaskChart::Next(TaskState aState, TaskEvent aEvent) const
{
  assert(this->Allows(aState, aEvent));
  return static_cast<TaskState>(this->next[Index(aState, aEvent)]);
}

TaskChart TaskChart::Translate(const StateChart& aChart, Findings& aFindings)
{
  TaskChart table;
  table.next.fill(kNoState);
  for (const std::string& state : aChart.States()) {
    FindName(kStateNames, state, aFindings);
  }
  for (const std::string& event : aChart.Events()) {
    FindName(kEventNames, event, aFindings);
  }
  for (std::size_t state = 0; state < kStateCount; ++state) {
    table.isFinal[state] = aChart.IsFinal(kStateNames[state]);
    for (std::size_t event = 0; event < kEventCount; ++event) {
      auto next = aChart.Next(kStateNames[state], kEventNames[event]);
      if (next) {
        table.next[state * kEventCount + event] =
          static_cast<std::uint8_t>(FindName(kStateNames, *next, aFindings));
      }
    }
  }
  table.initial = static_cast<TaskState>(FindName(kStateNames, aChart.Initial(), aFindings));
  return table;
}

} // namespace daisydrift::core
