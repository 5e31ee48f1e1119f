#pragma once
// Detects, for the successor in a role, that the predecessors have stopped.

#include "daisydrift/membership/OutageEvidence.h"

#include <map>
#include <optional>

namespace daisydrift {

/// Margin in waits for differing clock rates and for delays between a check and the action after
/// it.
constexpr std::chrono::seconds kClockMargin{ 2 };
/// Time for which the acknowledging seats must be known to respond after their acknowledgements.
/// The predecessor's evidence has expired by then (docs/design.md, section 2.6).
constexpr std::chrono::seconds kSuccessionWait = kMaxEvidenceAge + kClockMargin;

/// Determines when the predecessors of a new holder are known to have stopped, from proof or from a
/// quorum of acknowledgements by other seats. Not thread-safe.
class PredecessorStopDetector
{
public:
  /// aOthers: number of other seats in the predecessor's seat table; when it is not known, any
  /// number from 2 up is safe, since SuccessionQuorum has its highest value, 2, for all of them.
  /// aClaimedAt: when the successor claimed the key.
  PredecessorStopDetector(std::size_t aOthers, TimePoint aClaimedAt);

  /// aPeer acknowledged this successor in response to a request sent at aSentAt, and the response
  /// arrived at aReceivedAt. Responses to repeated requests show that the peer is still running.
  void OnAcknowledgement(const InstanceId& aPeer, TimePoint aSentAt, TimePoint aReceivedAt);
  /// The predecessors are proved to have stopped: they released the role, their processes refuse
  /// connections, or the platform lists them as gone.
  void OnStopProved(TimePoint aNow);

  /// When it became known that the predecessors have stopped; nothing while it is not.
  std::optional<TimePoint> StoppedAt(TimePoint aNow) const;

private:
  struct Acknowledgement
  {
    /// Arrival of the first acknowledgement; the peer does not support the predecessor after it.
    TimePoint firstAcknowledgedAt;
    /// Sending time of the last acknowledged request; the peer was running until then.
    TimePoint aliveUntil;
  };

  /// Number of acknowledgements needed.
  std::size_t quorum;
  TimePoint claimedAt;
  std::map<InstanceId, Acknowledgement> acknowledgements;
  std::optional<TimePoint> stoppedAt;
};

} // namespace daisydrift
