#pragma once
// The platform's machines, each of which runs one worker, and their maintenance.

#include "daisydrift/dispatch.h"

#include <functional>
#include <string>
#include <vector>

namespace daisydrift {

enum class MachineState
{
  Up,
  /// Being moved to another service.
  Moving,
  /// Down for maintenance.
  Maintenance,
  Down
};

struct MachineListing
{
  std::string machine;
  MachineState state = MachineState::Down;
  /// Worker on this machine; empty for none.
  WorkerId worker;
};

/// An operator's request for the maintenance of a set of machines.
struct MaintenanceWave
{
  std::uint64_t number = 0;
  std::vector<std::string> machines;
  /// Time from the request until the last machine must be done.
  Duration duration{ 0 };
  /// Most machines of the wave that may be down at once.
  std::size_t maxMachinesDown = 1;
};

enum class MaintenanceResult
{
  /// The machine is down for maintenance, or has been before.
  Started,
  /// The machine is not up, or about to be removed.
  Busy,
  /// No such machine, or not part of the wave.
  UnknownMachine,
  /// The platform has seen a higher fencing token, from a newer leader.
  Fenced,
  /// The outcome is unknown: the command may have been carried out.
  NoResponse
};

/// Commands to the platform about machines. aHolder and aFencingToken are the name and the term of
/// the leader; the term is the fencing token.
class MachineGateway
{
public:
  virtual ~MachineGateway() = default;
  /// Lists all machines. Errors: Unreachable, OutcomeUnknown, Overloaded.
  virtual void List(std::function<void(const Result<std::vector<MachineListing>>&)> aDone) = 0;
  virtual void StartMaintenance(const std::string& aMachine,
                                std::uint64_t aWave,
                                const std::string& aHolder,
                                Epoch aFencingToken,
                                std::function<void(MaintenanceResult)> aDone) = 0;
};

} // namespace daisydrift
