#pragma once
// Table of all commands. The parser, the help, docs/cli.md and the bash completion use it.

#include "daisydrift/cli/CommandLine.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisydrift {

/// An option `--name` or `--name ARGUMENT`.
struct OptionSpec
{
  std::string name;
  /// Placeholder of the value in help texts; empty for a flag.
  std::string argument;
  std::string help;
  bool isRepeatable = false;
};

/// A positional argument.
struct ArgumentSpec
{
  std::string name;
  std::string help;
  bool isOptional = false;
};

class CommandContext;

/// One command.
struct CommandSpec
{
  /// One or two words, such as "teams apply".
  std::string name;
  std::vector<ArgumentSpec> arguments;
  std::vector<OptionSpec> options;
  std::string help;
  /// The command calls a server and takes the options of ServerOptions().
  bool isRemote = true;
  ExitCode (*run)(CommandContext&) = nullptr;
};

/// All commands in the order of docs/cli.md.
const std::vector<CommandSpec>& CommandTable();

/// Options of every command that calls a server.
const std::vector<OptionSpec>& ServerOptions();

/// Options of every command.
const std::vector<OptionSpec>& CommonOptions();

/// A command with its options and arguments.
struct ParsedCommand
{
  const CommandSpec* spec = nullptr;
  /// Values by option name. A flag that is set has one empty value.
  std::map<std::string, std::vector<std::string>> options;
  std::vector<std::string> arguments;
};

/// Parses a command. Returns nothing and sets aError when the usage is invalid; otherwise aError is
/// empty.
std::optional<ParsedCommand> ParseCommand(const std::vector<std::string>& aArguments,
                                          std::string& aError);

/// Usage line of a command, such as "daisydrift teams apply FILE [OPTIONS]".
std::string UsageLine(const CommandSpec& aSpec);

/// Help of one command; the list of all commands when aSpec is null.
std::string HelpText(const CommandSpec* aSpec);

/// Markdown page of all commands (docs/cli.md).
std::string DescribeCommands();

/// Bash completion script for commands and options.
std::string CompletionScript();

} // namespace daisydrift
