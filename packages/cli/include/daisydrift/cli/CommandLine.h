#pragma once
// Running one command.

#include "daisydrift/base.h"

#include <chrono>
#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace daisydrift {

/// Exit codes of the program.
enum class ExitCode
{
  Ok = 0,
  /// Refused by the server, or failed.
  Failed = 1,
  /// Wrong usage or bad input.
  BadInput = 2,
  /// Differences were found.
  Differences = 3,
  /// Rows were changed by another operator.
  Conflict = 4,
  /// The command may or may not have been carried out.
  OutcomeUnknown = 5,
  /// No server could be reached; nothing was carried out.
  Unreachable = 6
};

/// What a command needs from its surroundings.
struct CommandEnvironment
{
  std::istream& in;
  std::ostream& out;
  std::ostream& err;
  /// Standard output is a terminal: colour may be used.
  bool isTerminal = false;
  /// Value of an environment variable, or "".
  std::function<std::string(const std::string&)> variable;
  const Clock& clock;
  /// Sleeps between two polls.
  std::function<void(std::chrono::milliseconds)> pause;
};

/// Runs the command given by aArguments (without the program's name). Never throws.
ExitCode RunCommandLine(const std::vector<std::string>& aArguments,
                        const CommandEnvironment& aEnvironment);

} // namespace daisydrift
