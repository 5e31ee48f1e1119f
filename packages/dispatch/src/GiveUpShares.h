#pragma once
// Shares of a queue's jobs that are given up, by width and team.

#include "daisydrift/base.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace daisydrift::dispatch {

/// Place of a job's width among the jobs of its queue.
enum class WidthClass : std::uint8_t
{
  Common,
  /// The fifth below the widest tenth.
  Wide,
  /// The widest tenth.
  Widest
};

/// Jobs of one kind, and those of them that were or are given up.
struct ShareCount
{
  /// For jobs that are late, and for those that end without value.
  static constexpr std::size_t kLevels = 2;

  double jobs = 0;
  /// Completed too late.
  std::array<double, kLevels> ended{};
  /// Given up in the present selection.
  std::array<double, kLevels> selected{};

  double GivenUp(std::size_t aLevel) const { return this->ended[aLevel] + this->selected[aLevel]; }
};

class GiveUpShares;

/// What a selection needs to know of a job beside its work.
struct JobShare
{
  /// Null for a job that was not counted.
  GiveUpShares* queue = nullptr;
  ShareCount* team = nullptr;
  WidthClass width = WidthClass::Common;
  /// Value relative to the mean of the queue, as defined by the platform.
  double value = 1;
  /// A log line has said that the job was given up.
  bool isReported = false;
};

/// Guarantees wide jobs and small teams a minimum under overload. Giving up the jobs with the least
/// value for their work gives up nearly all wide jobs, and the jobs of a team whose jobs are all
/// wide. The widest tenth of a queue's jobs, the fifth below it and each team with fewer jobs than
/// the mean are given up at most kMaxRatio times as often as the queue as a whole. Counts of the
/// past are halved regularly, and are lost with a change of leader.
class GiveUpShares
{
public:
  static constexpr double kMaxRatio = 1.5;

  /// Counts a job that arrives, with its number of tasks and its work in core seconds.
  JobShare Add(std::uint64_t aTasks, double aWork, const TeamName& aTeam, TimePoint aNow);
  /// Counts the end of a job that was too late, or that ended without value.
  void CountEnd(const JobShare& aJob, bool aIsWithoutValue);
  /// Forgets what the previous selection has given up.
  void BeginSelection();
  /// True when one more job like this one may be given up. aLevel: 0 for jobs that become late, 1
  /// for those that end without value.
  bool MayGiveUp(const JobShare& aJob, std::size_t aLevel) const;
  /// Counts a job that the present selection gives up.
  void CountGivenUp(const JobShare& aJob, std::size_t aLevel);
  /// True for a team with fewer jobs than the mean of all teams.
  bool IsSmall(const ShareCount& aTeam) const;

private:
  struct Recent
  {
    std::uint64_t tasks;
    double work;
  };

  void Observe(const Recent& aJob);
  void Halve(TimePoint aNow);

  ShareCount all;
  std::array<ShareCount, 3> byWidth;
  std::map<TeamName, ShareCount> teams;
  /// The most recent jobs, in a ring.
  std::vector<Recent> recent;
  std::size_t nextRecent = 0;
  std::uint64_t arrivals = 0;
  double meanWork = 0;
  std::uint64_t wideTasks = 0;
  std::uint64_t widestTasks = 0;
  TimePoint halvedAt;
};

} // namespace daisydrift::dispatch
