#pragma once
// State of the leader's exchanges with one worker.

#include "daisydrift/core.h"
#include "daisydrift/external.h"

#include <optional>
#include <string>
#include <vector>

namespace daisydrift {

/// Duration for which a renewal extends the leases of all attempts of a worker.
constexpr std::chrono::seconds kTaskLeaseDuration{ 15 };
/// Maximum time between two renewals.
constexpr std::chrono::seconds kLeaseRenewalInterval{ 5 };
/// Maximum age of a start command, since its commit, when it is sent; prevents a late start from
/// reaching a worker that has restarted.
constexpr std::chrono::seconds kMaxStartAge{ 5 };
/// Number of consecutive failed exchanges after which a worker counts as unresponsive and gets no
/// renewals.
constexpr unsigned kUnresponsiveAfterFailures = 2;
/// Time after the last renewal was sent when no attempt of the worker can still be running: the
/// lease, the maximum age of the report that a renewal refers to, and a margin for the difference
/// of two clocks' rates.
constexpr std::chrono::seconds kLeaseExpiryBound =
  kTaskLeaseDuration + kMaxObservedReportAge + std::chrono::seconds(2);

/// New information in a worker's report.
struct SessionUpdate
{
  /// The worker has restarted: all attempts of the earlier incarnation have ended.
  bool hasRestarted = false;
  /// This is the worker's first report to this leader.
  bool isFirstReport = false;
  /// After a restart: attempts whose start was never sent to the earlier incarnation, so they never
  /// ran.
  std::vector<AttemptId> unsentStarts;
  /// Events that were not in earlier reports, in order.
  std::vector<WorkerEvent> events;
  /// The report itself.
  SyncReport report;
};

/// Tracks the commands, acknowledgements and lease renewals of one worker. Not thread-safe.
class WorkerSession
{
public:
  /// aNow counts as the time of the last renewal, since an earlier leader may have renewed leases
  /// until now.
  WorkerSession(WorkerId aId, Endpoint aEndpoint, TimePoint aNow);

  const WorkerId& Id() const { return this->id; }
  const Endpoint& Address() const { return this->endpoint; }
  const std::string& Incarnation() const { return this->incarnation; }
  /// Returns true after kUnresponsiveAfterFailures consecutive failed exchanges.
  bool IsUnresponsive() const { return this->failedExchanges >= kUnresponsiveAfterFailures; }
  /// Returns true once the worker has reported to this leader.
  bool HasReported() const { return !this->incarnation.empty(); }
  /// Returns true when the last renewal was sent so long ago that all leases have expired.
  bool HaveLeasesExpired(TimePoint aNow) const
  {
    return aNow - this->lastRenewal >= kLeaseExpiryBound;
  }
  /// Returns true while an exchange is in progress.
  bool IsBusy() const { return this->isBusy; }

  /// Changes the address of the worker.
  void SetEndpoint(const Endpoint& aEndpoint) { this->endpoint = aEndpoint; }
  /// Adds a command to the queue; aCommittedAt is when its decision became durable.
  void Enqueue(WorkerCommand aCommand, TimePoint aCommittedAt);
  /// Removes the starts that have become too old to be sent and returns their attempts, which have
  /// never run. Removes none while an exchange is in progress.
  std::vector<AttemptId> TakeExpiredStarts(TimePoint aNow);
  /// Starts an exchange and returns its request; returns nothing while one is in progress or none
  /// is due. An exchange is due when there are commands or aInterval has passed since the last one.
  /// aCanRenew: this leader may renew leases.
  std::optional<SyncRequest> BeginExchange(Epoch aEpoch,
                                           TimePoint aNow,
                                           Duration aInterval,
                                           bool aCanRenew);
  /// The exchange ended with a report. Returns the new information in it.
  SessionUpdate OnReport(const SyncReport& aReport, TimePoint aNow);
  /// The exchange ended without a report. Its commands stay queued and are sent again, since
  /// commands are idempotent.
  void OnFailure(TimePoint aNow);
  /// Events of aIncarnation up to aNumber are durable and may be acknowledged to the worker.
  /// Ignored when it is not the current incarnation.
  void AcknowledgeEvents(const std::string& aIncarnation, std::uint64_t aNumber);

private:
  struct QueuedCommand
  {
    WorkerCommand command;
    TimePoint committedAt;
    /// The command was part of an exchange, so the worker may have executed it.
    bool wasSent = false;
  };

  WorkerId id;
  Endpoint endpoint;
  std::string incarnation;
  std::uint64_t lastReportNumber = 0;
  std::uint64_t lastEventNumber = 0;
  std::uint64_t durableEventNumber = 0;
  std::vector<QueuedCommand> queue;
  /// Number of commands at the front of the queue that belong to the exchange in progress.
  std::size_t inFlightCount = 0;
  bool isBusy = false;
  unsigned failedExchanges = 0;
  TimePoint lastRenewal;
  TimePoint lastExchange;
};

} // namespace daisydrift
