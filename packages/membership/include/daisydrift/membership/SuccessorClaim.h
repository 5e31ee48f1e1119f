#pragma once
// Succession after the end of a store lease: the successor's side.

#include "daisydrift/membership/OutageEvidence.h"

#include <map>
#include <optional>

namespace daisydrift {

/// Difference of clock rates and delays between check and action that the waits allow for.
constexpr std::chrono::seconds kClockMargin{ 2 };
/// Time for which the acknowledging seats must be known to answer after their acknowledgements: the
/// old holder's evidence has run out by then (design page, section 2.6).
constexpr std::chrono::seconds kSuccessionWait = kEvidenceAge + kClockMargin;

/// Whether the old holder is known to have stopped, by proof or by acknowledgements.
class SuccessorClaim
{
public:
  /// aOthers: number of other seats that the old holder's table had. When it is not known, 2 or
  /// more must be given, which is always safe. aClaimedAt: when the successor took the key.
  SuccessorClaim(std::size_t aOthers, TimePoint aClaimedAt);

  /// aPeer acknowledged this successor in answer to a request sent at aSentAt, and the answer
  /// arrived at aReceivedAt. Repeated requests show that the peer still answers.
  void OnAcknowledgement(const InstanceId& aPeer, TimePoint aSentAt, TimePoint aReceivedAt);
  /// The old holder has stopped: it left cleanly, its process refuses connections, or the platform
  /// lists it as gone.
  void OnProof(TimePoint aNow);

  /// When it became known that the old holder has stopped; nothing while it is not.
  std::optional<TimePoint> StoppedAt(TimePoint aNow) const;

private:
  struct Acknowledgement
  {
    /// Arrival of the first acknowledgement: from then on the peer does not support the old holder.
    TimePoint first;
    /// Sending time of the last request answered: the peer was alive until then.
    TimePoint lastAlive;
  };

  std::size_t needed;
  TimePoint claimedAt;
  std::map<InstanceId, Acknowledgement> acknowledgements;
  std::optional<TimePoint> stoppedAt;
};

} // namespace daisydrift
