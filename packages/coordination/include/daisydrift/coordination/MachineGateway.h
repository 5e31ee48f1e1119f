#pragma once
// The platform's machines, on each of which a worker runs, and their upkeep.

#include "daisydrift/dispatch.h"

#include <functional>
#include <string>
#include <vector>

namespace daisydrift {

enum class MachineState
{
  Up,
  /// On its way to another service.
  Moving,
  /// Down for its upkeep.
  Upkeep,
  Down
};

struct MachineListing
{
  std::string machine;
  MachineState state = MachineState::Down;
  /// Worker that runs there; empty when none does.
  WorkerId worker;
};

/// Request of the operators to give machines their upkeep.
struct UpkeepWave
{
  std::uint64_t number = 0;
  std::vector<std::string> machines;
  /// From the request until all must have had it.
  Duration duration{ 0 };
  /// Machines of the wave that may be down for it at once.
  std::size_t maximum = 1;
};

enum class UpkeepAnswer
{
  /// The machine is down for its upkeep now, or had it before.
  Begun,
  /// Not up, or about to leave.
  Busy,
  /// No such machine, or none of that wave.
  Unknown,
  /// Another instance has given orders with a higher fencing number.
  Fenced,
  /// It may have been carried out.
  NoAnswer
};

/// Orders to the platform about machines. aHolder and aFence are the leader's name and term.
class MachineGateway
{
public:
  virtual ~MachineGateway() = default;
  /// Errors: Unreachable, OutcomeUnknown, Overloaded.
  virtual void List(std::function<void(const Result<std::vector<MachineListing>>&)> aDone) = 0;
  virtual void BeginUpkeep(const std::string& aMachine,
                           std::uint64_t aWave,
                           const std::string& aHolder,
                           Epoch aFence,
                           std::function<void(UpkeepAnswer)> aDone) = 0;
};

} // namespace daisydrift
