#include "daisydrift/cli/CommandLine.h"

#include "CommandContext.h"

#include <ostream>

namespace daisydrift {

ExitCode RunCommandLine(const std::vector<std::string>& aArguments,
                        const CommandEnvironment& aEnvironment)
{
  if (!aArguments.empty() && (aArguments[0] == "--help" || aArguments[0] == "-h")) {
    aEnvironment.out << HelpText(nullptr);
    return ExitCode::Ok;
  }
  std::string error;
  std::optional<ParsedCommand> command = ParseCommand(aArguments, error);
  if (!command) {
    aEnvironment.err << "daisydrift: " << PrintableText(error)
                     << "\n\"daisydrift help\" lists the commands.\n";
    return ExitCode::BadInput;
  }
  if (command->options.count("help") > 0) {
    aEnvironment.out << HelpText(command->spec);
    return ExitCode::Ok;
  }
  CommandContext context(*command, aEnvironment);
  ExitCode code = context.ReadCommonOptions();
  return code == ExitCode::Ok ? command->spec->run(context) : code;
}

} // namespace daisydrift
