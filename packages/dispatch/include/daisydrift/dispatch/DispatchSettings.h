#pragma once
// Timeouts, limits and weights of the dispatcher.

#include "daisydrift/dispatch/DispatchTypes.h"

namespace daisydrift {

/// Order in which steps with waiting tasks are scheduled. All but the last are baselines for
/// comparison.
enum class SchedulingOrder
{
  /// First come, first served.
  Arrival,
  /// By priority, then by the job's due time (arrival plus latency objective).
  EarliestDue,
  /// By priority, then by the latest time at which a step can start for its job to meet the latency
  /// objective. Jobs that can no longer meet it come after those that can.
  LatestStart,
  /// The same, and of a team above its resource ceiling as many jobs as possible are in time; the
  /// others come after those.
  MostInTime
};

/// Settings of a dispatcher. The platform adapter overrides the values that the platform defines.
struct DispatchSettings
{
  /// Requested lease duration; long enough to survive a change of leader.
  Duration lease = std::chrono::milliseconds(5000);
  /// Longest lease that a worker grants; defined by the platform.
  Duration maxLease = std::chrono::milliseconds(6000);
  /// Longest lease that earlier leaders have asked for; maxLease when that is not known.
  Duration longestEarlierLease = std::chrono::milliseconds(6000);
  /// Time after its start from which a worker carries out no command that was meant for an earlier
  /// incarnation: the clock starts anew, so such a command may ask for a far longer lease than the
  /// leader meant. Covers a command that is carried out 12 s late, and the time until the leader
  /// knows of the restart.
  Duration incarnationSettleTime = std::chrono::seconds(15);
  /// Restarts of one worker in one term after which it can be fenced; after more of them it gets no
  /// starts for incarnationSettleTime.
  std::uint32_t maxFencedRestarts = 999;
  /// Greatest difference between the wall clocks of two leaders.
  Duration maxClockSkew = std::chrono::milliseconds(1000);
  /// Greatest rate by which a worker's clock runs slower than ours, as a fraction; guaranteed by
  /// the platform.
  double maxClockDrift = 0.02;
  /// Added to each computed lease expiry to cover the resolution of the worker's clock.
  Duration leaseMargin = std::chrono::milliseconds(50);
  /// A worker whose last report is older than this gets no starts. Covers one poll and its timeout.
  Duration reportTimeout = std::chrono::milliseconds(2500);
  /// Factor on the run time of a task that runs on another rack than its data; upper bound defined
  /// by the platform.
  double remotePenalty = 2;
  /// Largest fraction of a worker's cores that tasks of lower-priority queues leave free; it
  /// shrinks while they wait and the first priority does not. Does not apply to services, to tasks
  /// on spare cores and to workers without any run.
  double headroom = 0.12;
  /// Consecutive failures of different jobs on a worker that quarantine it. With two, a failure
  /// rate of one task in twenty quarantines some worker every few seconds.
  std::uint32_t failuresToQuarantine = 3;
  /// Duration of a worker's first quarantine; doubles each time, up to maxQuarantine.
  Duration initialQuarantine = std::chrono::milliseconds(3000);
  Duration maxQuarantine = std::chrono::seconds(12);
  /// Time for which a worker that refused a start gets no further starts.
  Duration refusalBackoff = std::chrono::milliseconds(300);
  /// A ticket that expires within this time is not used, since the start command takes time to
  /// reach the worker.
  Duration ticketMargin = std::chrono::milliseconds(150);
  /// A running task without progress for this long is stopped and restarted elsewhere.
  Duration stallTimeout = std::chrono::milliseconds(2500);
  /// Time after which an unconfirmed stop is sent again.
  Duration stopRetryInterval = std::chrono::milliseconds(400);
  /// Time for which a service may exceed its tail latency target before the spare-core tasks on its
  /// worker are throttled.
  Duration tailLatencyGracePeriod = std::chrono::milliseconds(800);
  /// Least time between two increases of the speed of throttled tasks.
  Duration throttleHold = std::chrono::milliseconds(3000);
  /// Initial estimate, for each queue, of the fraction of requested workers that the advice service
  /// grants.
  double initialGrantRate = 0.5;
  /// Advice requests whose base time is at least this long leave two request slots to faster ones.
  Duration slowAdviceThreshold = std::chrono::milliseconds(150);
  /// Most workers in one advice request; defined by the platform.
  std::size_t maxWorkersPerAdviceRequest = 100;
  SchedulingOrder order = SchedulingOrder::MostInTime;
  /// Most tasks of the unfinished occurrences of one job that are considered at the same time, but
  /// at least one occurrence. Bounds the memory and the time that a late schedule takes.
  std::uint64_t maxOpenTasksPerSchedule = 16384;
  /// The same for all occurrences from the first unfinished one on, whose state is kept in memory.
  std::uint64_t maxTasksPerSchedule = 1 << 18;
  /// Most starts decided in one round.
  std::size_t maxStartsPerRound = 200;
  /// Running tasks of lower priorities are stopped for tasks that would otherwise be late.
  bool preemption = false;
  /// First run number of this term; above all run numbers of earlier leaders.
  RunNumber firstRunNumber = 1;
};

} // namespace daisydrift
