#pragma once
// Parses and runs one command.

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
  /// The server rejected the command, or it failed.
  Failed = 1,
  /// Invalid usage or input.
  BadInput = 2,
  /// Differences were found.
  Differences = 3,
  /// Another operator changed the same rows.
  Conflict = 4,
  /// The command may or may not have been carried out.
  OutcomeUnknown = 5,
  /// No server could be reached; nothing was carried out.
  Unreachable = 6
};

/// Streams, environment variables and time that a command uses; tests replace them.
struct CommandEnvironment
{
  std::istream& in;
  std::ostream& out;
  std::ostream& err;
  /// Standard output is a terminal, so colour may be used.
  bool isTerminal = false;
  /// Returns the value of an environment variable, or "" when it is not set.
  std::function<std::string(const std::string&)> variable;
  const Clock& clock;
  /// Blocks for the given time between two polls.
  std::function<void(std::chrono::milliseconds)> sleepFor;
};

/// Parses and runs the command in aArguments (without the program's name). Reports errors on the
/// error stream and by the exit code; never throws.
ExitCode RunCommandLine(const std::vector<std::string>& aArguments,
                        const CommandEnvironment& aEnvironment);

} // namespace daisydrift
