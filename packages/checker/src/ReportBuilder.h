#pragma once
// Collects the results of all checks in one report. Internal to the package.

#include "daisydrift/checker/HistoryChecker.h"

namespace daisydrift {

/// Report under construction, shared by all checks.
struct ReportBuilder
{
  HistoryReport& report;
  CheckTolerances tolerances;
  std::string source;

  /// Counts one check of an invariant. Records a violation with aLines and aMessage if it does not
  /// hold.
  void RecordCheck(unsigned aInvariant,
                   bool aHolds,
                   std::vector<unsigned> aLines,
                   const std::string& aMessage)
  {
    ++this->report.checks[aInvariant - 1];
    if (!aHolds) {
      this->report.violations.push_back({ aInvariant, std::move(aLines), aMessage });
    }
  }

  /// Adds a finding for an event that contradicts earlier events.
  void AddContradiction(const HistoryEvent& aEvent, const char* aCode, const std::string& aMessage)
  {
    this->report.findings.Add({ this->source, aEvent.line, 1 }, aCode, aMessage);
  }
};

} // namespace daisydrift
