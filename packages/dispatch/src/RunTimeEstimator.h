#pragma once
// Expected run times of tasks, learned from those that have succeeded.

#include "daisydrift/base.h"

#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace daisydrift::dispatch {

/// Expected run time of a task.
struct RunTime
{
  /// Half of such tasks take less. A few that take many times as long hardly move it, so this is
  /// what a single run is compared with.
  Duration typical{ 0 };
  /// Mean, to which those few contribute in full; for sums over many tasks.
  Duration mean{ 0 };
  /// Standard deviation of the natural logarithm of run time over `typical`: about a sixth of the
  /// tasks take more than `typical` times e to the power of this.
  double spread = 0;
};

/// Learns run times by queue, team, image and worker as ratios to the declared time. Addresses
/// declared times that are off by up to 90%, and workers that are faster or slower than others.
/// Each level refines the one above it in proportion to its number of runs, and the highest one
/// refines the declared time, so with few data the estimate is close to what was declared.
class RunTimeEstimator
{
public:
  /// Learns from a run that has succeeded, from its beginning, on its own cores. Ignores it without
  /// a declared time.
  void Add(std::string_view aQueue,
           std::string_view aTeam,
           std::string_view aImage,
           std::string_view aWorker,
           Duration aDeclared,
           Duration aActual);
  /// On any worker.
  RunTime Expected(std::string_view aQueue,
                   std::string_view aTeam,
                   std::string_view aImage,
                   Duration aDeclared) const;
  /// Run times on the worker relative to those on any worker; 1 when nothing is known.
  double SlownessOf(std::string_view aWorker) const;
  /// Forgets what is known of a worker that has restarted.
  void ForgetWorker(std::string_view aWorker);
  /// Number of groups of tasks, and workers, of which something is known; bounded.
  std::size_t Size() const { return this->recent.size() + this->older.size(); }

private:
  /// Depth, then the names of queue, team and image as far as they matter at that depth. Workers
  /// have a depth of their own.
  using Key = std::tuple<int, std::string, std::string, std::string>;
  using KeyView = std::tuple<int, std::string_view, std::string_view, std::string_view>;

  /// Compares stored keys with views, so that a look-up copies no names.
  struct KeyOrder
  {
    using is_transparent = void;

    static KeyView ViewOf(const KeyView& aKey) { return aKey; }
    static KeyView ViewOf(const Key& aKey)
    {
      const auto& [level, queue, team, image] = aKey;
      return KeyView(level, queue, team, image);
    }
    template<class Left, class Right>
    bool operator()(const Left& aLeft, const Right& aRight) const
    {
      return ViewOf(aLeft) < ViewOf(aRight);
    }
  };

  /// Moving averages over the newest runs.
  struct Statistics
  {
    double runs = 0;
    double logMean = 0;
    double logVariance = 0;
    double ratioMean = 1;

    void Add(double aRatio);
  };

  Statistics& Ensure(const KeyView& aKey);
  const Statistics* Find(const KeyView& aKey) const;

  /// When `recent` is full it replaces `older`, from which entries that are used come back: callers
  /// choose names of images, so their number has no other bound.
  std::map<Key, Statistics, KeyOrder> recent;
  std::map<Key, Statistics, KeyOrder> older;
};

} // namespace daisydrift::dispatch
