#pragma once
// Waiting requests of one service.

#include "daisydrift/base.h"
#include "daisydrift/routing/RoutingSettings.h"

#include <boost/intrusive/list.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace daisydrift {

/// Number of a request, unique within an engine. 0 means "none".
using RequestId = std::uint64_t;

/// A request that wants to wait.
struct QueueEntry
{
  RequestId request = 0;
  TeamName team;
  /// Share of the team; at least kMinTeamWeight.
  double weight = 1;
  TimePoint deadline{};
};

/// What became of a push.
enum class PushStatus
{
  Queued,
  /// The queue is full and the team has its share of it.
  QueueFull,
  /// The team has as many waiting requests as it may have.
  TeamQueueFull,
  /// At the current rate the request would not get its turn before its deadline.
  DeadlineUnreachable
};

/// Result of AdmissionQueue::Push.
struct PushResult
{
  PushStatus status = PushStatus::Queued;
  /// Request of another team that lost its place, 0 when none did.
  RequestId evicted = 0;
  /// Estimate of the wait for a new request of the team.
  Duration expectedWait{ 0 };
};

/// Bounded queue, fair among teams by weight (start-time fair queueing), first come first served
/// within a team. Two teams that both keep requests waiting differ in requests served per weight by
/// at most one request each. Not thread-safe; the time is passed in.
class AdmissionQueue
{
public:
  AdmissionQueue(std::size_t aCapacity, std::size_t aTeamCapacity);
  ~AdmissionQueue();
  AdmissionQueue(const AdmissionQueue&) = delete;
  AdmissionQueue& operator=(const AdmissionQueue&) = delete;

  /// Adds a request behind those of its team. When the queue is full, the newest request of the
  /// team furthest above its share gives way if that isn't the new request's team.
  PushResult Push(const QueueEntry& aEntry, TimePoint aNow);
  /// Puts a request that already had its turn back at the head of its team, beyond the bounds: it
  /// was counted when it came, and a retry that waits behind newer requests would miss its
  /// deadline.
  void PushFront(const QueueEntry& aEntry, TimePoint aNow);
  /// The request whose turn it is; none when nothing waits. The request stays in the queue.
  RequestId Front() const;
  /// Removes the request whose turn it is and charges its team. Must not be empty.
  RequestId Pop(TimePoint aNow);
  /// Removes a request; returns false when it isn't waiting. Its team isn't charged.
  bool Cancel(RequestId aRequest);
  /// Removes many requests; the cost is linear in their number. Returns how many were waiting.
  std::size_t Cancel(const std::vector<RequestId>& aRequests);
  /// All waiting requests of a team, oldest first.
  std::vector<RequestId> RequestsOf(const TeamName& aTeam) const;

  /// Estimate of the wait for a new request of the team at the current rate; 0 while the rate is
  /// unknown or nothing waits.
  Duration ExpectedWait(const TeamName& aTeam, double aWeight, TimePoint aNow) const;
  std::size_t Size() const { return this->waiting.size(); }

private:
  struct Team;
  struct WaitingRequest : public boost::intrusive::list_base_hook<>
  {
    RequestId request = 0;
    Team* team = nullptr;
  };
  struct Team
  {
    double weight = 1;
    /// Start tag of the team's next request.
    double startTag = 0;
    boost::intrusive::list<WaitingRequest> requests;
  };

  Team& Activate(const TeamName& aName, double aWeight);
  void Append(const QueueEntry& aEntry, Team& aTeam, bool aIsFront);
  Team* FindMostLoadedTeam(double& aLoad);
  const Team* NextTeam() const;
  void EraseIdleTeams();
  void OnBacklogStart(TimePoint aNow);

  std::size_t capacity;
  std::size_t teamCapacity;
  /// Ordered by name, so that equal tags are resolved the same way in every run.
  std::map<TeamName, Team> teams;
  std::unordered_map<RequestId, WaitingRequest> waiting;
  /// Start tag of the request served last.
  double virtualTime = 0;
  /// Smoothed time between two turns while requests wait; 0 means "not known".
  double dequeueInterval = 0;
  /// Last turn, or when the queue last became non-empty.
  TimePoint lastDequeue{};
};

/// Lowest weight that is used, so that a team with weight 0 still advances.
inline constexpr double kMinTeamWeight = 0.001;

} // namespace daisydrift
