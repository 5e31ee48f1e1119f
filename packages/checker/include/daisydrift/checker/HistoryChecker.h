#pragma once
// Verdicts on a recorded history.

#include "daisydrift/base.h"
#include "daisydrift/checker/HistoryEvent.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace daisydrift {

/// Number of invariants, I1 to I11.
inline constexpr unsigned kInvariants = 11;

/// "A few seconds" of I3, I5 and I9.
inline constexpr Duration kReactionTolerance = std::chrono::seconds(5);
/// Time in which a configuration must be in force everywhere (I11, design section 1.6), and after
/// which a lowered ceiling counts (I4).
inline constexpr Duration kConvergenceTolerance = std::chrono::seconds(13);

/// Times allowed by the invariants that name no exact one.
struct CheckTolerances
{
  Duration revokedKey = kReactionTolerance;
  Duration drainedDomain = kReactionTolerance;
  Duration leavingUpstream = kReactionTolerance;
  Duration configuration = kConvergenceTolerance;
};

/// A place where the history contradicts an invariant.
struct Violation
{
  /// 1 to kInvariants.
  unsigned invariant = 0;
  /// Lines that together show it, the offending one last.
  std::vector<unsigned> lines;
  std::string message;
};

/// Verdicts on one history.
struct HistoryReport
{
  /// Malformed or contradictory input. Verdicts are not reliable when there are any.
  Findings findings;
  std::vector<Violation> violations;
  /// How often each invariant was put to the test; 0 means that the history says nothing about it.
  /// Index 0 is I1.
  std::array<std::size_t, kInvariants> checks{};
  std::size_t events = 0;

  /// True when the history allows the invariant, 1 to kInvariants.
  bool IsAllowed(unsigned aInvariant) const;
  /// Table of all invariants followed by violations and findings.
  std::string ToText() const;
};

/// Checks a history in text form.
HistoryReport CheckHistory(std::string_view aText,
                           const std::string& aSource,
                           const CheckTolerances& aTolerances = {});

} // namespace daisydrift
