#include "daisydrift/routing/AdmissionQueue.h"

#include <algorithm>
#include <cassert>

namespace daisydrift {

namespace {

/// Weight of the newest interval in the moving average: it follows a change within about 16
/// dequeues.
constexpr double kRateSmoothing = 1.0 / 16;
/// A rate measured longer ago than this isn't applied to a new backlog: the upstreams that were
/// slow then may have been replaced.
constexpr Duration kRateExpiry = std::chrono::seconds(10);
/// Idle teams are erased when more than this many teams are in the map.
constexpr std::size_t kMaxTrackedTeams = 256;

} // namespace

AdmissionQueue::AdmissionQueue(std::size_t aCapacity, std::size_t aTeamCapacity)
  : capacity(aCapacity)
  , teamCapacity(aTeamCapacity)
{
}

AdmissionQueue::~AdmissionQueue()
{
  for (auto& [name, team] : this->teams) {
    team.requests.clear();
  }
}

AdmissionQueue::Team& AdmissionQueue::Activate(const TeamName& aName, double aWeight)
{
  if (this->teams.size() > kMaxTrackedTeams) {
    this->EraseIdleTeams();
  }
  Team& team = this->teams[aName];
  team.weight = std::max(aWeight, kMinTeamWeight);
  if (team.requests.empty()) {
    // An idle team accumulates no credit.
    team.startTag = std::max(team.startTag, this->virtualTime);
  }
  return team;
}

void AdmissionQueue::EraseIdleTeams()
{
  for (auto team = this->teams.begin(); team != this->teams.end();) {
    bool isIdle = team->second.requests.empty() && team->second.startTag <= this->virtualTime;
    team = isIdle ? this->teams.erase(team) : std::next(team);
  }
}

void AdmissionQueue::Append(const QueueEntry& aEntry, Team& aTeam, bool aIsFront)
{
  auto [found, isNew] = this->waiting.try_emplace(aEntry.request);
  assert(isNew);
  WaitingRequest& item = found->second;
  item.request = aEntry.request;
  item.team = &aTeam;
  if (aIsFront) {
    aTeam.requests.push_front(item);
  } else {
    aTeam.requests.push_back(item);
  }
}

AdmissionQueue::Team* AdmissionQueue::FindMostLoadedTeam(double& aLoad)
{
  Team* mostLoaded = nullptr;
  aLoad = 0;
  for (auto& [name, team] : this->teams) {
    double load = static_cast<double>(team.requests.size()) / team.weight;
    if (load > aLoad) {
      mostLoaded = &team;
      aLoad = load;
    }
  }
  return mostLoaded;
}

PushResult AdmissionQueue::Push(const QueueEntry& aEntry, TimePoint aNow)
{
  PushResult result;
  result.expectedWait = this->ExpectedWait(aEntry.team, aEntry.weight, aNow);
  if (aNow + result.expectedWait > aEntry.deadline) {
    result.status = PushStatus::DeadlineUnreachable;
    return result;
  }
  Team& team = this->Activate(aEntry.team, aEntry.weight);
  if (team.requests.size() >= this->teamCapacity) {
    result.status = PushStatus::TeamQueueFull;
    return result;
  }
  if (this->waiting.size() >= this->capacity) {
    double load = 0;
    Team* mostLoaded = this->FindMostLoadedTeam(load);
    double ownLoad = static_cast<double>(team.requests.size() + 1) / team.weight;
    if (!mostLoaded || mostLoaded == &team || load <= ownLoad) {
      result.status = PushStatus::QueueFull;
      return result;
    }
    result.evicted = mostLoaded->requests.back().request;
    this->Cancel(result.evicted);
  }
  if (this->waiting.empty()) {
    this->OnBacklogStart(aNow);
  }
  this->Append(aEntry, team, false);
  return result;
}

void AdmissionQueue::OnBacklogStart(TimePoint aNow)
{
  if (aNow - this->lastDequeue > kRateExpiry) {
    this->dequeueInterval = 0;
  }
  this->lastDequeue = aNow;
}

void AdmissionQueue::PushFront(const QueueEntry& aEntry, TimePoint aNow)
{
  if (this->waiting.empty()) {
    this->OnBacklogStart(aNow);
  }
  this->Append(aEntry, this->Activate(aEntry.team, aEntry.weight), true);
}

const AdmissionQueue::Team* AdmissionQueue::NextTeam() const
{
  const Team* next = nullptr;
  for (const auto& [name, team] : this->teams) {
    if (!team.requests.empty() && (!next || team.startTag < next->startTag)) {
      next = &team;
    }
  }
  return next;
}

RequestId AdmissionQueue::Front() const
{
  const Team* team = this->NextTeam();
  return team ? team->requests.front().request : 0;
}

RequestId AdmissionQueue::Pop(TimePoint aNow)
{
  RequestId request = this->Front();
  assert(request != 0);
  Team& team = *this->waiting.at(request).team;
  this->virtualTime = team.startTag;
  team.startTag += 1.0 / team.weight;
  double interval = static_cast<double>((aNow - this->lastDequeue).count());
  this->dequeueInterval =
    this->dequeueInterval == 0
      ? interval
      : this->dequeueInterval + (interval - this->dequeueInterval) * kRateSmoothing;
  this->lastDequeue = aNow;
  this->Cancel(request);
  return request;
}

bool AdmissionQueue::Cancel(RequestId aRequest)
{
  auto found = this->waiting.find(aRequest);
  if (found == this->waiting.end()) {
    return false;
  }
  auto& requests = found->second.team->requests;
  requests.erase(requests.iterator_to(found->second));
  this->waiting.erase(found);
  return true;
}

std::size_t AdmissionQueue::Cancel(const std::vector<RequestId>& aRequests)
{
  std::size_t cancelled = 0;
  for (RequestId request : aRequests) {
    cancelled += this->Cancel(request) ? 1 : 0;
  }
  return cancelled;
}

std::vector<RequestId> AdmissionQueue::RequestsOf(const TeamName& aTeam) const
{
  std::vector<RequestId> requests;
  auto found = this->teams.find(aTeam);
  if (found != this->teams.end()) {
    for (const WaitingRequest& item : found->second.requests) {
      requests.push_back(item.request);
    }
  }
  return requests;
}

Duration AdmissionQueue::ExpectedWait(const TeamName& aTeam, double aWeight, TimePoint aNow) const
{
  if (this->waiting.empty() || this->dequeueInterval == 0) {
    return Duration(0);
  }
  double weight = std::max(aWeight, kMinTeamWeight);
  double activeWeight = weight;
  double ownRequests = 1;
  for (const auto& [name, team] : this->teams) {
    if (name == aTeam) {
      ownRequests += static_cast<double>(team.requests.size());
    } else if (!team.requests.empty()) {
      activeWeight += team.weight;
    }
  }
  // The team is served at its share of the rate, but waits at most for all requests that are queued
  // now.
  double dequeues =
    std::min(static_cast<double>(this->waiting.size()) + 1, ownRequests * activeWeight / weight);
  // Reacts to a stall before the next dequeue does.
  double interval =
    std::max(this->dequeueInterval, static_cast<double>((aNow - this->lastDequeue).count()));
  return Duration(static_cast<std::int64_t>(dequeues * interval));
}

} // namespace daisydrift
