#pragma once
// Checks a recorded history against the invariants.

#include "daisydrift/base.h"
#include "daisydrift/checker/HistoryEvent.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace daisydrift {

/// Number of invariants, I1 to I11.
inline constexpr unsigned kInvariantCount = 11;

/// Time within which I3, I5 and I9 must hold after a change; the design says "a few seconds".
inline constexpr Duration kReactionTolerance = std::chrono::seconds(5);
/// Time within which a configuration must be in force at every instance (I11, design section 1.6),
/// and after which a lowered ceiling must be respected (I4).
inline constexpr Duration kConvergenceTolerance = std::chrono::seconds(13);

/// Times that the invariants allow for a change to take effect.
struct CheckTolerances
{
  /// I3: a revoked key may still be accepted for this time.
  Duration revokedKey = kReactionTolerance;
  /// I5: tasks may still start in a drained failure domain for this time.
  Duration drainedDomain = kReactionTolerance;
  /// I9: a leaving upstream may still get requests for this time.
  Duration leavingUpstream = kReactionTolerance;
  /// I11 and I4: see kConvergenceTolerance.
  Duration configuration = kConvergenceTolerance;
};

/// Events that violate an invariant.
struct Violation
{
  /// Number of the invariant, 1 to kInvariantCount.
  unsigned invariant = 0;
  /// Lines of the history that together show the violation; the last one violates the invariant.
  std::vector<unsigned> lines;
  std::string message;
};

/// Result of checking one history.
struct HistoryReport
{
  /// Malformed or contradictory input. If there is any, the other results are unreliable.
  Findings findings;
  std::vector<Violation> violations;
  /// Number of checks of each invariant; 0 means that the history does not exercise it. Index 0 is
  /// I1.
  std::array<std::size_t, kInvariantCount> checks{};
  /// Number of well-formed events.
  std::size_t events = 0;

  /// True when the history does not violate invariant aInvariant (1 to kInvariantCount).
  bool IsAllowed(unsigned aInvariant) const;
  /// Table of all invariants, followed by the violations and the findings.
  std::string ToText() const;
};

/// Parses and checks a history. aSource names the input in the findings; malformed input is
/// reported in the findings of the result.
HistoryReport CheckHistory(std::string_view aText,
                           const std::string& aSource,
                           const CheckTolerances& aTolerances = {});

} // namespace daisydrift
