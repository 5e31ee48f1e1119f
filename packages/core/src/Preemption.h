#pragma once
// Room for urgent work, and for teams kept below their fair share, by stopping other work.

#include "Commands.h"
#include "TeamShares.h"

#include <functional>

namespace daisydrift::core {

/// Stops the attempts whose lost work is least, and holds the room for the job it was made for.
class Preemption
{
public:
  /// Tells whether an attempt may be stopped.
  using VictimFilter = std::function<bool(const Attempt&)>;

  Preemption(ClusterState& aState, Commands& aCommands);

  /// Work lost by stopping the attempt now, in core-seconds of its dominant kind.
  double LostWork(const Attempt& aAttempt, TimePoint aNow) const;
  /// Stops attempts so that a task of the job will fit on some worker, and holds the room there
  /// until aNow + aPatience. Returns false when no worker can be freed.
  bool MakeRoom(Job& aJob,
                const Resources& aSize,
                const VictimFilter& aMayStop,
                Duration aPatience,
                TimePoint aNow);
  /// Attempts to stop on one worker and the work lost by it.
  struct Plan
  {
    double lost = 0;
    std::vector<Attempt*> victims;
  };

  /// The least work to stop on a worker so that aSize fits there, or nothing when not possible.
  std::optional<Plan> PlanFor(Position aWorker,
                              const Resources& aSize,
                              const VictimFilter& aMayStop,
                              TimePoint aNow) const;

  /// Room that has become free.
  struct Room
  {
    Job* job = nullptr;
    Position worker = kNoPosition;
    Resources size;
  };
  /// Takes the next room that has become free for a job that can use it now; ends its hold.
  std::optional<Room> TakeFreedRoom();
  /// Number of rooms held for the job.
  std::size_t HeldFor(const Job& aJob) const;
  /// Drops holds that are overdue, or whose job or worker no longer needs them.
  void Expire(TimePoint aNow);

private:
  struct Hold
  {
    JobNumber job = 0;
    Position worker = kNoPosition;
    Resources size;
    TimePoint until;
  };
  ClusterState& state;
  Commands& commands;
  std::vector<Hold> holds;
  /// Where the next search for victims begins.
  Position cursor = 0;
};

} // namespace daisydrift::core
