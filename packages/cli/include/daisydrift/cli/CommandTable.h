#pragma once
// Table of all commands, from which parsing, help, the page and the completion are made.

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
  /// Name of its value; empty for a flag.
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
  /// It talks to a server, so the options of ServerOptions apply.
  bool isRemote = true;
  ExitCode (*run)(CommandContext&) = nullptr;
};

/// All commands in the order of the page.
const std::vector<CommandSpec>& CommandTable();

/// Options of every command that talks to a server.
const std::vector<OptionSpec>& ServerOptions();

/// Options of every command.
const std::vector<OptionSpec>& CommonOptions();

/// A command with its options and arguments.
struct ParsedCommand
{
  const CommandSpec* spec = nullptr;
  /// By name of the option. A flag that is set has one empty value.
  std::map<std::string, std::vector<std::string>> options;
  std::vector<std::string> arguments;
};

/// Parses a command; after a mistake nothing is returned and aError says what is wrong.
std::optional<ParsedCommand> ParseCommand(const std::vector<std::string>& aArguments,
                                          std::string& aError);

/// Usage line of a command, such as "daisydrift teams apply FILE [OPTIONS]".
std::string UsageOf(const CommandSpec& aSpec);

/// Help of one command, or the list of commands.
std::string HelpText(const CommandSpec* aSpec);

/// Markdown page of all commands.
std::string DescribeCommands();

/// Script that completes commands and options in bash.
std::string CompletionScript();

} // namespace daisydrift
