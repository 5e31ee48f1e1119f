#pragma once
// Times and weights of the dispatcher.

#include "daisydrift/dispatch/DispatchTypes.h"

namespace daisydrift {

/// Order in which waiting steps are served; the first two are kept as baselines.
enum class OrderOfWork
{
  /// First come, first served.
  Arrival,
  /// By priority, then by when the job's objective ends.
  EarliestDue,
  /// By priority, then by when a step must start for its job to meet the objective; jobs that can't
  /// meet it any more wait for those that can.
  LatestStart
};

/// All have defaults; the adapter sets those that the platform states.
struct DispatchSettings
{
  /// Lease that is asked for; long enough for a change of leader.
  Duration lease = std::chrono::milliseconds(5000);
  /// Longest lease that a worker grants. Source: the platform's bound.
  Duration longestLease = std::chrono::milliseconds(6000);
  /// A worker's clock may be this much slower than ours. Source: the platform's contract.
  double clockSlowness = 0.02;
  /// Added to every bound on a lease for the resolution of the worker's clock.
  Duration leaseMargin = std::chrono::milliseconds(50);
  /// A worker that has not answered for this long gets no starts: one look and its time-out.
  Duration silence = std::chrono::milliseconds(2500);
  /// Run time on another rack than the data's, as a multiple. Source: the platform's bound.
  double remotePenalty = 2;
  /// Part of a worker's cores that queues below the first priority leave free.
  double headroom = 0.12;
  /// Different jobs that must fail in a row on a worker before it is set aside: at one failure in
  /// twenty, two in a row set a worker aside every few seconds.
  std::uint32_t failuresToQuarantine = 3;
  /// Time for which a worker is set aside at first; doubles each time, up to the longest.
  Duration quarantine = std::chrono::milliseconds(3000);
  Duration longestQuarantine = std::chrono::seconds(12);
  /// Time for which a worker that refused a start gets no other.
  Duration refusalPause = std::chrono::milliseconds(300);
  /// A ticket is not used when it ends within this time: the order needs its way.
  Duration ticketMargin = std::chrono::milliseconds(150);
  /// A running task without progress for this long is started elsewhere.
  Duration stallLimit = std::chrono::milliseconds(2500);
  /// A stop that was not confirmed is sent again after this time.
  Duration stopRetry = std::chrono::milliseconds(400);
  /// Time after which a service over its tail target gets relief from tasks beside it.
  Duration tailPatience = std::chrono::milliseconds(800);
  /// Time for which tasks beside a relieved service stay paced down.
  Duration paceHold = std::chrono::milliseconds(3000);
  /// Share of the advice service's answers that say yes before anything was learnt of a queue.
  double expectedGrants = 0.5;
  /// Questions that take longer than this leave two lanes to quicker ones.
  Duration slowAdvice = std::chrono::milliseconds(150);
  /// Most workers in one question. Source: the platform's contract.
  std::size_t longestQuestion = 100;
  OrderOfWork order = OrderOfWork::LatestStart;
  /// Starts in one round.
  std::size_t startsPerRound = 200;
  /// The run numbers of a leader begin above those of all before it.
  RunNumber firstRun = 1;
};

} // namespace daisydrift
