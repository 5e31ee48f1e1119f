#pragma once
// Collects checks, violations and contradictions. Internal to the package.

#include "daisydrift/checker/HistoryChecker.h"

namespace daisydrift {

/// Result under construction, shared by all checks.
struct Verdicts
{
  HistoryReport& report;
  CheckTolerances tolerances;
  std::string source;

  /// Counts one test of an invariant and records a violation when it failed.
  void Check(unsigned aInvariant,
             bool aHolds,
             std::vector<unsigned> aLines,
             const std::string& aMessage)
  {
    ++this->report.checks[aInvariant - 1];
    if (!aHolds) {
      this->report.violations.push_back({ aInvariant, std::move(aLines), aMessage });
    }
  }

  /// Records that an event contradicts the history before it.
  void Contradiction(const HistoryEvent& aEvent, const char* aCode, const std::string& aMessage)
  {
    this->report.findings.Add({ this->source, aEvent.line, 1 }, aCode, aMessage);
  }
};

} // namespace daisydrift
