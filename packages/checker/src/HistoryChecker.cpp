#include "daisydrift/checker/HistoryChecker.h"

#include "ConfigChecks.h"
#include "RequestChecks.h"
#include "WorkChecks.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace daisydrift {

namespace {

/// Short form of the invariants in docs/design.md, section 1.2.
constexpr std::array<const char*, kInvariants> kTitles = {
  "no instance beyond its capacity",
  "no task in two places",
  "work only with a valid key of its team",
  "no team beyond its ceiling",
  "no start in a drained failure domain",
  "complete and own response",
  "not run is true",
  "not repeatable runs at most once",
  "no new work for a leaving upstream",
  "planned stops interrupt nothing",
  "configuration in force and never reverts",
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
  for (unsigned invariant = 1; invariant <= kInvariants; ++invariant) {
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
  Verdicts verdicts{ report, aTolerances, aSource };
  WorkChecks work(verdicts);
  RequestChecks requests(verdicts);
  ConfigChecks config(verdicts);
  for (const HistoryEvent& event : events) {
    work.AdvanceTo(event.at);
    config.AdvanceTo(event.at);
    work.Take(event);
    requests.Take(event);
    config.Take(event);
  }
  work.Finish();
  requests.Finish();
  for (Violation& violation : report.violations) {
    // 0 stands for "no such line".
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
