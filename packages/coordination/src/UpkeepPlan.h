#pragma once
// Which machine of a wave gets its upkeep when.

#include "daisydrift/coordination/MachineGateway.h"

#include <map>
#include <set>

namespace daisydrift::coordination {

/// What is to be done about the waves at the moment.
struct UpkeepStep
{
  /// Workers that get no new work and whose services move away.
  std::set<WorkerId> reserved;
  /// Machines whose upkeep begins now, with the number of their wave.
  std::vector<std::pair<std::string, std::uint64_t>> orders;
  /// Waves that have just ended.
  std::vector<std::uint64_t> completed;
};

/// Load pattern: a wave takes a tenth of the fleet out of service, a few machines at a time. The
/// next machines are emptied while the ones before are down; what still runs when the wave's time
/// gets short ends with its machine.
class UpkeepPlan
{
public:
  /// The request is known; one that is known already is left as it is.
  void Add(const UpkeepWave& aWave, TimePoint aNow);
  void Remove(std::uint64_t aWave);
  bool IsIdle() const { return this->waves.empty(); }
  /// A list of all machines that was asked for at aAskedAt.
  void OnMachines(const std::vector<MachineListing>& aMachines, TimePoint aAskedAt);
  void OnAnswer(const std::string& aMachine,
                std::uint64_t aWave,
                UpkeepAnswer aAnswer,
                TimePoint aNow);
  /// aRunning tells how many runs a worker has.
  UpkeepStep Decide(TimePoint aNow, const std::function<std::size_t(const WorkerId&)>& aRunning);

private:
  enum class Stage
  {
    Waiting,
    Emptying,
    /// Ordered, without an answer yet.
    Ordered,
    /// Down for its upkeep, as far as is known.
    Begun,
    Done
  };
  struct Machine
  {
    Stage stage = Stage::Waiting;
    TimePoint since;
    MachineState state = MachineState::Down;
    WorkerId worker;
  };
  struct Wave
  {
    UpkeepWave request;
    TimePoint begunAt;
    std::map<std::string, Machine> machines;
    bool wasListed = false;
  };

  /// Longest time for which a machine of the wave is emptied.
  static Duration PatienceOf(const Wave& aWave);
  void DecideWave(Wave& aWave,
                  TimePoint aNow,
                  const std::function<std::size_t(const WorkerId&)>& aRunning,
                  UpkeepStep& aStep);

  std::map<std::uint64_t, Wave> waves;
  std::set<std::uint64_t> ended;
};

} // namespace daisydrift::coordination
