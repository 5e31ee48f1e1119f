#pragma once
// Judgement whether a second run of a task is worthwhile.

#include "daisydrift/base.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace daisydrift::dispatch {

/// What is known of one run of a task.
struct RunObservation
{
  /// Time since the worker confirmed the start.
  Duration elapsed{ 0 };
  /// Time since the reported progress last changed.
  Duration sinceProgress{ 0 };
  /// Reported progress, in percent; 0 also for a task that reports none.
  int percent = 0;
  /// Expected run time of such a task; zero when nothing is known.
  Duration expected{ 0 };
  /// The other run would continue from where this one is.
  bool canCheckpoint = false;
  /// The worker does not answer, for as long as `silentFor`.
  bool isSilent = false;
  Duration silentFor{ 0 };
  /// The worker goes away after `remaining`.
  bool isDraining = false;
  Duration remaining{ 0 };
};

/// Why a run is expected to end later than a second one that starts now.
enum class StragglerCause : std::uint8_t
{
  None,
  Slow,
  Stalled,
  Draining,
  Silent
};

std::string_view NameOf(StragglerCause aCause);

/// Finds the runs that hold up their step. Addresses tasks of which a few take many times as long
/// as their siblings, on workers that are slow, stalled, leaving or cut off, while the declared
/// run times are far off. Reported progress shows such a run before its expected time has passed.
class StragglerRule
{
public:
  static StragglerCause Judge(const RunObservation& aRun);
  /// Typical run time of a step's tasks by those of its siblings that have ended or have progressed
  /// far enough to tell: the median, which a few slow ones don't move. Zero when they are too few.
  static Duration TypicalOf(std::vector<Duration> aRunTimes);
  /// Run time that a task is heading for by its progress; zero when it is too early to tell.
  static Duration Project(Duration aElapsed, int aPercent);

private:
  static Duration TimeLeft(const RunObservation& aRun);
};

} // namespace daisydrift::dispatch
