#include "daisydrift/checker/HistoryChecker.h"

#include "ConfigChecks.h"
#include "RequestChecks.h"
#include "WorkChecks.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace daisydrift {

namespace {

/// Short descriptions of the invariants in docs/design.md, section 1.2.
constexpr std::array<const char*, kInvariantCount> kTitles = {
  "no instance beyond its capacity",          // I1
  "no task runs in two places",               // I2
  "work only with a valid key of its team",   // I3
  "no team beyond its ceiling",               // I4
  "no start in a drained failure domain",     // I5
  "own, complete response to each request",   // I6
  "work reported as not run never ran",       // I7
  "non-repeatable work runs at most once",    // I8
  "no new work for a leaving upstream",       // I9
  "planned stops interrupt no request",       // I10
  "configuration in force and never reverts", // I11
};

} // namespace

bool HistoryReport::IsAllowed(unsigned aInvariant) const
{
  return std::none_of(
    this->violations.begin(), this->violations.end(), [&](const Violation& aViolation) {
      return aViolation.invariant == aInvariant;
    });
}

std::string HistoryReport::ToText() const
{
  std::ostringstream out;
  out << std::left << std::setw(11) << "invariant" << std::setw(44) << "meaning" << std::right
      << std::setw(9) << "checks" << std::setw(12) << "violations"
      << "  verdict\n";
  for (unsigned invariant = 1; invariant <= kInvariantCount; ++invariant) {
    auto count =
      std::count_if(this->violations.begin(),
                    this->violations.end(),
                    [&](const Violation& aViolation) { return aViolation.invariant == invariant; });
    std::size_t checked = this->checks[invariant - 1];
    const char* verdict = count > 0 ? "violated" : checked == 0 ? "not exercised" : "allowed";
    out << std::left << std::setw(11) << ("I" + std::to_string(invariant)) << std::setw(44)
        << kTitles[invariant - 1] << std::right << std::setw(9) << checked << std::setw(12) << count
        << "  " << verdict << "\n";
  }
  for (const Violation& violation : this->violations) {
    out << "I" << violation.invariant << " line";
    for (unsigned line : violation.lines) {
      out << ' ' << line;
    }
    out << ": " << violation.message << "\n";
  }
  out << this->findings.ToText();
  return out.str();
}

HistoryReport CheckHistory(std::string_view aText,
                           const std::string& aSource,
                           const CheckTolerances& aTolerances)
{
  HistoryReport report;
  std::vector<HistoryEvent> events = ParseHistory(aText, aSource, report.findings);
  report.events = events.size();
  ReportBuilder builder{ report, aTolerances, aSource };
  WorkChecks work(builder);
  RequestChecks requests(builder);
  ConfigChecks config(builder);
  for (const HistoryEvent& event : events) {
    work.AdvanceTo(event.at);
    config.AdvanceTo(event.at);
    work.ProcessEvent(event);
    requests.ProcessEvent(event);
    config.ProcessEvent(event);
  }
  work.Finish();
  requests.Finish();
  for (Violation& violation : report.violations) {
    // Checks use 0 when there is no such line.
    auto& lines = violation.lines;
    lines.erase(std::remove(lines.begin(), lines.end(), 0u), lines.end());
  }
  std::stable_sort(report.violations.begin(),
                   report.violations.end(),
                   [](const Violation& aLeft, const Violation& aRight) {
                     return aLeft.invariant < aRight.invariant;
                   });
  return report;
}

} // namespace daisydrift
