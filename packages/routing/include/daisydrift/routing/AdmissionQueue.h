#pragma once
// Queue of the requests of one service that wait for a free slot.

#include "daisydrift/base.h"
#include "daisydrift/routing/RoutingSettings.h"

#include <boost/intrusive/list.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace daisydrift {

/// Identifies a request within an engine. 0 means "none".
using RequestId = std::uint64_t;

/// A request to be queued.
struct QueueEntry
{
  RequestId request = 0;
  TeamName team;
  /// Weight of the team; values below kMinTeamWeight count as kMinTeamWeight.
  double weight = 1;
  TimePoint deadline{};
};

/// Result code of a push.
enum class PushStatus
{
  Queued,
  /// The queue is full, and no other team has more waiting requests per weight than this one would.
  QueueFull,
  /// The team already has the most waiting requests that a team may have.
  TeamQueueFull,
  /// At the current dequeue rate the request would reach the head only after its deadline.
  DeadlineUnreachable
};

/// Result of AdmissionQueue::Push.
struct PushResult
{
  PushStatus status = PushStatus::Queued;
  /// Request of another team that was removed to make room; 0 when none was.
  RequestId evicted = 0;
  /// Estimated wait of a new request of the team.
  Duration expectedWait{ 0 };
};

/// Bounded queue that shares capacity among teams by weight (start-time fair queueing) and is first
/// in, first out within a team. While two teams both keep requests queued, the numbers of requests
/// dequeued for them, divided by their weights, differ by at most one request of each team. Not
/// thread-safe; the time is passed in.
class AdmissionQueue
{
public:
  AdmissionQueue(std::size_t aCapacity, std::size_t aTeamCapacity);
  ~AdmissionQueue();
  AdmissionQueue(const AdmissionQueue&) = delete;
  AdmissionQueue& operator=(const AdmissionQueue&) = delete;

  /// Adds a request behind those of its team. When the queue is full, the newest request of the
  /// team with the most waiting requests per weight is evicted, unless that is the team of the new
  /// request.
  PushResult Push(const QueueEntry& aEntry, TimePoint aNow);
  /// Puts a request that is to be retried at the head of its team, even beyond the capacity: it was
  /// counted when it was admitted, and a retry queued behind newer requests would miss its
  /// deadline.
  void PushFront(const QueueEntry& aEntry, TimePoint aNow);
  /// The request to be dequeued next; 0 when the queue is empty. The request stays in the queue.
  RequestId Front() const;
  /// Removes the next request and charges its team for it. The queue must not be empty.
  RequestId Pop(TimePoint aNow);
  /// Removes a request without charging its team; returns false when it isn't queued.
  bool Cancel(RequestId aRequest);
  /// Removes many requests in time linear in their number. Returns how many of them were queued.
  std::size_t Cancel(const std::vector<RequestId>& aRequests);
  /// All queued requests of a team, oldest first.
  std::vector<RequestId> RequestsOf(const TeamName& aTeam) const;

  /// Estimated wait of a new request of the team at the current dequeue rate; 0 while the rate is
  /// unknown or the queue is empty.
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
    /// Virtual start time of the team's next request.
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
  /// Ordered by name, so that equal start tags are resolved the same way in every run.
  std::map<TeamName, Team> teams;
  std::unordered_map<RequestId, WaitingRequest> waiting;
  /// Start tag of the request dequeued last.
  double virtualTime = 0;
  /// Smoothed time between two dequeues of a non-empty queue in microseconds; 0 while unknown.
  double dequeueInterval = 0;
  /// Time of the last dequeue, or when the queue last became non-empty.
  TimePoint lastDequeue{};
};

/// Lowest effective weight, so that a team with weight 0 is still served.
inline constexpr double kMinTeamWeight = 0.001;

} // namespace daisydrift
