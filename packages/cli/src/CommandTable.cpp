#include "daisydrift/cli/CommandTable.h"

#include "Commands.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <set>

namespace daisydrift {

namespace {

namespace options = boost::program_options;

/// Name of the hidden option that receives the positional arguments.
constexpr const char* kPositionalArguments = "arguments";

const OptionSpec kWait{ "wait", "", "Wait until every instance has the new version." };
const OptionSpec kWaitTimeout{ "wait-timeout-ms",
                               "MS",
                               "Time limit of --wait in milliseconds (default 60000)." };
const OptionSpec kAgainst{ "against",
                           "FILE",
                           "Compare with this table instead of the fleet; requires no server." };
const OptionSpec kIdempotencyKey{
  "idempotency-key",
  "ID",
  "Id of the write, needed to repeat it after an unknown outcome. Generated when absent."
};
const OptionSpec kActor{ "actor", "NAME", "Name for the audit trail (default $USER)." };

std::vector<CommandSpec> TeamCommands()
{
  const ArgumentSpec kFile{ "FILE", "CSV table of teams; - for standard input." };
  const OptionSpec kDryRun{ "dry-run", "", "Print the differences without changing anything." };
  const OptionSpec kRemove{ "remove", "", "Remove the teams that are not in the table." };
  return {
    { "teams export", {}, {}, "Print the table of teams as CSV.", true, RunTeamsExport },
    { "teams apply",
      { kFile },
      { kDryRun, kAgainst, kRemove, kActor, kIdempotencyKey, kWait, kWaitTimeout },
      "Change the teams to those of a table in one atomic edit. A change that another operator "
      "made to "
      "the same rows in the meantime is a conflict.",
      true,
      RunTeamsApply },
    { "teams diff",
      { kFile },
      { kAgainst },
      "Print the differences between a table and the fleet. Exit code 3 if there are any.",
      true,
      RunTeamsDiff },
  };
}

std::vector<CommandSpec> AdminCommands()
{
  const ArgumentSpec kTeam{ "TEAM", "Name of the team." };
  const ArgumentSpec kPrefix{ "PREFIX", "First 8 characters of the key." };
  const ArgumentSpec kDomain{ "NAME", "Name of the failure domain." };
  const ArgumentSpec kService{ "NAME", "Name of the service." };
  const OptionSpec kExpiresIn{ "expires-in",
                               "TIME",
                               "Lifetime of the key, such as 90d, 12h, 30m or 45s. Without it the "
                               "key does not expire." };
  const OptionSpec kRegion{ "region", "NAME", "Region of the failure domain." };
  const OptionSpec kSlots{ "slots",
                           "N",
                           "Maximum number of requests that one upstream runs at once." };
  const OptionSpec kConnections{ "connections",
                                 "N",
                                 "Maximum number of connections that one upstream accepts." };
  const OptionSpec kAllowedTeam{ "team", "NAME", "Team that may call the service.", true };
  const OptionSpec kAllTeams{ "all-teams", "", "Every team may call the service." };
  return {
    { "keys issue",
      { kTeam },
      { kExpiresIn, kActor },
      "Issue a key and print it. It can't be retrieved again.",
      true,
      RunKeysIssue },
    { "keys list", {}, {}, "List the keys by their prefixes.", true, RunKeysList },
    { "keys revoke",
      { kPrefix },
      { kActor, kIdempotencyKey, kWait, kWaitTimeout },
      "Revoke a key permanently.",
      true,
      RunKeysRevoke },
    { "domains put",
      { kDomain },
      { kRegion, kActor, kIdempotencyKey, kWait, kWaitTimeout },
      "Add a failure domain, or change its region.",
      true,
      RunDomainsPut },
    { "domains drain",
      { kDomain },
      { kActor, kIdempotencyKey, kWait, kWaitTimeout },
      "Drain a failure domain: no new work starts there.",
      true,
      RunDomainsDrain },
    { "domains return",
      { kDomain },
      { kActor, kIdempotencyKey, kWait, kWaitTimeout },
      "Return a drained failure domain to service.",
      true,
      RunDomainsReturn },
    { "domains list", {}, {}, "List the failure domains.", true, RunDomainsList },
    { "services put",
      { kService },
      { kSlots,
        kConnections,
        kAllowedTeam,
        kAllTeams,
        kActor,
        kIdempotencyKey,
        kWait,
        kWaitTimeout },
      "Create or replace a service for interactive requests.",
      true,
      RunServicesPut },
    { "services list", {}, {}, "List the services.", true, RunServicesList },
  };
}

std::vector<CommandSpec> JobCommands()
{
  const ArgumentSpec kJob{ "JOB", "Id of the job, such as lutruwita-17." };
  const ArgumentSpec kOptionalJob{ "JOB",
                                   "Id of the job; not allowed with --team or --name.",
                                   true };
  const ArgumentSpec kFile{ "FILE", "Job in JSON with comments; - for standard input." };
  const OptionSpec kMethod{ "method", "METHOD", "HTTP method (default GET)." };
  const OptionSpec kBody{ "body",
                          "FILE",
                          "File with the body of the request; - for standard input." };
  const OptionSpec kRepeatable{
    "repeatable",
    "",
    "The request may run more than once, so it may be retried after an unknown outcome."
  };
  const OptionSpec kDeadline{ "deadline-ms", "MS", "Time limit of the request in milliseconds." };
  return {
    { "submit",
      { kFile },
      { kIdempotencyKey },
      "Submit a job and print its id and its idempotency key. Submitting the same file with the "
      "same "
      "key again returns the same job.",
      true,
      RunSubmit },
    { "status", { kJob }, {}, "Print the state of a job.", true, RunStatus },
    { "jobs", {}, {}, "List the jobs of the team.", true, RunJobs },
    { "explain",
      { kJob },
      {},
      "Print why a job waits or was refused, and how to change that.",
      true,
      RunExplain },
    { "cancel",
      { kOptionalJob },
      { { "team", "NAME", "Team whose jobs are cancelled." },
        { "name", "NAME", "Name of the jobs that are cancelled." } },
      "Cancel a job, or all jobs of a team with a given name.",
      true,
      RunCancel },
    { "watch",
      { kJob },
      {},
      "Print each change of a job until it ends. Exit code 0 if it succeeded.",
      true,
      RunWatch },
    { "request",
      { { "SERVICE", "Name of the service." }, { "PATH", "Path and query of the request." } },
      { kMethod, kBody, kRepeatable, kDeadline },
      "Send an interactive request to a service and print the body of its response.",
      true,
      RunRequest },
  };
}

std::vector<CommandSpec> FleetCommands()
{
  return {
    { "status-fleet",
      {},
      {},
      "Print the instances with their versions, and the teams with their shares.",
      true,
      RunStatusFleet },
    { "queue", {}, {}, "Print the waiting jobs and why they wait.", true, RunQueue },
    { "audit", {}, {}, "Print the latest changes of the configuration.", true, RunAudit },
    { "audit verify",
      {},
      {},
      "Verify the digest chain of the latest audit entries.",
      true,
      RunAuditVerify },
    { "check-settings",
      { { "FILE", "Settings file of daisydriftd; - for standard input." } },
      {},
      "Check a settings file and print all problems.",
      false,
      RunCheckSettings },
    { "trace",
      { { "JOB", "Id of the job." },
        { "FILE", "Concatenated logs of the instances; - for standard input." } },
      {},
      "Print the history of a job from the logs of all instances, ordered by time, with the events "
      "that affected all jobs in the meantime.",
      false,
      RunTrace },
    { "completion", {}, {}, "Print the completion script for bash.", false, RunCompletion },
    { "version", {}, {}, "Print the version.", false, RunVersion },
    { "help",
      { { "COMMAND", "First word of the command.", true },
        { "SUBCOMMAND", "Second word of the command.", true } },
      {},
      "Print the list of commands, or the help of one command.",
      false,
      RunHelp },
  };
}

/// The command named by the first one or two words; null when there is none.
const CommandSpec* FindCommand(const std::vector<std::string>& aWords)
{
  const CommandSpec* found = nullptr;
  for (const CommandSpec& spec : CommandTable()) {
    bool isOneWord = !aWords.empty() && spec.name == aWords[0];
    bool isTwoWords = aWords.size() > 1 && spec.name == aWords[0] + " " + aWords[1];
    if (isTwoWords || (isOneWord && found == nullptr)) {
      found = &spec;
    }
  }
  return found;
}

std::vector<OptionSpec> AllOptions(const CommandSpec& aSpec)
{
  std::vector<OptionSpec> allOptions = aSpec.options;
  if (aSpec.isRemote) {
    allOptions.insert(allOptions.end(), ServerOptions().begin(), ServerOptions().end());
  }
  allOptions.insert(allOptions.end(), CommonOptions().begin(), CommonOptions().end());
  return allOptions;
}

options::options_description MakeOptionsDescription(const std::vector<OptionSpec>& aOptions)
{
  options::options_description description;
  for (const OptionSpec& option : aOptions) {
    if (option.argument.empty()) {
      description.add_options()(option.name.c_str(), option.help.c_str());
    } else {
      description.add_options()(option.name.c_str(),
                                options::value<std::vector<std::string>>()->composing(),
                                option.help.c_str());
    }
  }
  description.add_options()(kPositionalArguments, options::value<std::vector<std::string>>(), "");
  return description;
}

/// Checks the number of arguments, and that only repeatable options are given more than once.
/// Returns an error message, or "".
std::string CheckCounts(const ParsedCommand& aCommand, const std::vector<OptionSpec>& aOptions)
{
  const auto& expected = aCommand.spec->arguments;
  auto isRequired = [](const ArgumentSpec& aArgument) { return !aArgument.isOptional; };
  auto required =
    static_cast<std::size_t>(std::count_if(expected.begin(), expected.end(), isRequired));
  if (aCommand.arguments.size() < required) {
    return "argument " + expected[aCommand.arguments.size()].name + " is missing";
  }
  if (aCommand.arguments.size() > expected.size()) {
    return "unexpected argument \"" + aCommand.arguments[expected.size()] + "\"";
  }
  for (const OptionSpec& option : aOptions) {
    auto found = aCommand.options.find(option.name);
    if (!option.isRepeatable && found != aCommand.options.end() && found->second.size() > 1) {
      return "option --" + option.name + " is given more than once";
    }
  }
  return "";
}

/// "--name ARGUMENT".
std::string OptionSyntax(const OptionSpec& aOption)
{
  return "--" + aOption.name + (aOption.argument.empty() ? "" : " " + aOption.argument);
}

std::string OptionHelp(const std::vector<OptionSpec>& aOptions)
{
  std::string text;
  for (const OptionSpec& option : aOptions) {
    text += "  " + OptionSyntax(option) + (option.isRepeatable ? " (repeatable)" : "") +
            "\n      " + option.help + "\n";
  }
  return text;
}

std::string OptionTable(const std::vector<OptionSpec>& aOptions)
{
  std::string text = "| option | meaning |\n|---|---|\n";
  for (const OptionSpec& option : aOptions) {
    text += "| `" + OptionSyntax(option) + "` | " + (option.isRepeatable ? "Repeatable. " : "") +
            option.help + " |\n";
  }
  return text;
}

constexpr const char* kExitCodes =
  "| code | meaning |\n|---|---|\n"
  "| 0 | done |\n"
  "| 1 | rejected by the server, or failed |\n"
  "| 2 | invalid usage or input; nothing was changed |\n"
  "| 3 | differences were found (`teams diff`, `teams apply --dry-run`) |\n"
  "| 4 | conflict: another operator changed the same rows; nothing was changed |\n"
  "| 5 | outcome unknown: the command may or may not have been carried out |\n"
  "| 6 | no server could be reached; nothing was carried out |\n";

} // namespace

const std::vector<CommandSpec>& CommandTable()
{
  static const std::vector<CommandSpec> sTable = [] {
    std::vector<CommandSpec> table;
    for (auto makeCommands : { TeamCommands, AdminCommands, JobCommands, FleetCommands }) {
      std::vector<CommandSpec> commands = makeCommands();
      table.insert(table.end(), commands.begin(), commands.end());
    }
    return table;
  }();
  return sTable;
}

const std::vector<OptionSpec>& ServerOptions()
{
  static const std::vector<OptionSpec> sOptions = {
    { "server",
      "IP:PORT",
      "Address of an entry instance, with its port for operators or for callers. Further servers "
      "are "
      "tried in the given order when one can't be reached. Default: the comma-separated list in "
      "$DAISYDRIFT_SERVERS.",
      true },
    { "key-file", "FILE", "File that contains the key. Default: the key in $DAISYDRIFT_KEY." },
    { "timeout-ms",
      "MS",
      "Timeout of connecting and of each response in milliseconds (default 10000)." },
  };
  return sOptions;
}

const std::vector<OptionSpec>& CommonOptions()
{
  static const std::vector<OptionSpec> sOptions = {
    { "output", "FORMAT", "Output format: table (default) or json." },
    { "help", "", "Print the help of the command." },
  };
  return sOptions;
}

std::optional<ParsedCommand> ParseCommand(const std::vector<std::string>& aArguments,
                                          std::string& aError)
{
  ParsedCommand command;
  command.spec = FindCommand(aArguments);
  if (command.spec == nullptr) {
    aError =
      aArguments.empty() ? "a command is required" : "unknown command \"" + aArguments[0] + "\"";
    return std::nullopt;
  }
  auto wordCount = std::count(command.spec->name.begin(), command.spec->name.end(), ' ') + 1;
  std::vector<std::string> rest(aArguments.begin() + wordCount, aArguments.end());
  std::vector<OptionSpec> allOptions = AllOptions(*command.spec);
  options::options_description description = MakeOptionsDescription(allOptions);
  options::positional_options_description positional;
  positional.add(kPositionalArguments, -1);
  // Abbreviated options are rejected: a new option could change their meaning in a script.
  int style = options::command_line_style::unix_style ^ options::command_line_style::allow_guessing;
  try {
    options::parsed_options parsed = options::command_line_parser(rest)
                                       .options(description)
                                       .positional(positional)
                                       .style(style)
                                       .run();
    for (const options::option& option : parsed.options) {
      if (option.position_key != -1 || option.string_key == kPositionalArguments) {
        command.arguments.insert(command.arguments.end(), option.value.begin(), option.value.end());
        continue;
      }
      auto& values = command.options[option.string_key];
      values.push_back(option.value.empty() ? "" : option.value.front());
    }
  } catch (const options::error& error) {
    aError = error.what();
    return std::nullopt;
  }
  aError = command.options.count("help") > 0 ? "" : CheckCounts(command, allOptions);
  if (!aError.empty()) {
    return std::nullopt;
  }
  return command;
}

std::string UsageLine(const CommandSpec& aSpec)
{
  std::string text = "daisydrift " + aSpec.name;
  for (const ArgumentSpec& argument : aSpec.arguments) {
    text += " " + (argument.isOptional ? "[" + argument.name + "]" : argument.name);
  }
  return text + " [OPTIONS]";
}

std::string HelpText(const CommandSpec* aSpec)
{
  if (aSpec == nullptr) {
    std::string text = "usage: daisydrift COMMAND [OPTIONS]\n\n";
    for (const CommandSpec& spec : CommandTable()) {
      text += "  " + spec.name +
              std::string(18 - std::min<std::size_t>(17, spec.name.size()), ' ') + spec.help + "\n";
    }
    return text + "\n\"daisydrift help COMMAND\" prints the options of a command.\n";
  }
  std::string text = "usage: " + UsageLine(*aSpec) + "\n\n" + aSpec->help + "\n\n";
  for (const ArgumentSpec& argument : aSpec->arguments) {
    text += "  " + argument.name + "\n      " + argument.help + "\n";
  }
  return text + OptionHelp(AllOptions(*aSpec));
}

std::string DescribeCommands()
{
  std::string page =
    "# Command line of daisydrift\n\n"
    "`daisydrift COMMAND [OPTIONS]` sends requests to any entry instance. This page "
    "is generated from the command "
    "table in the package `cli`.\n\n"
    "The key is read from `--key-file` or the environment variable "
    "`DAISYDRIFT_KEY`. It is never an "
    "argument, because\nother users of the machine can see the arguments of a process.\n\n"
    "With several servers, a command is sent to the next one only if it was "
    "definitely not carried out, "
    "or if it may be\nrepeated: reads, requests marked as repeatable, and writes "
    "with an idempotency "
    "key.\n\n"
    "## Exit codes\n\n";
  page += kExitCodes;
  page += "\n## Options of commands that call a server\n\n" + OptionTable(ServerOptions());
  page += "\n## Options of all commands\n\n" + OptionTable(CommonOptions());
  page += "\n## Commands\n";
  for (const CommandSpec& spec : CommandTable()) {
    page += "\n### " + spec.name + "\n\n    " + UsageLine(spec) + "\n\n" + spec.help + "\n";
    if (!spec.arguments.empty()) {
      page += "\n| argument | meaning |\n|---|---|\n";
      for (const ArgumentSpec& argument : spec.arguments) {
        page += "| `" + argument.name + "` | " + (argument.isOptional ? "Optional. " : "") +
                argument.help + " |\n";
      }
    }
    if (!spec.options.empty()) {
      page += "\n" + OptionTable(spec.options);
    }
  }
  return page;
}

std::string CompletionScript()
{
  std::set<std::string> firstWords;
  std::map<std::string, std::string> secondWords;
  std::string optionCases;
  for (const CommandSpec& spec : CommandTable()) {
    std::size_t space = spec.name.find(' ');
    firstWords.insert(spec.name.substr(0, space));
    if (space != std::string::npos) {
      secondWords[spec.name.substr(0, space)] += " " + spec.name.substr(space + 1);
    }
    std::string list;
    for (const OptionSpec& option : AllOptions(spec)) {
      list += " --" + option.name;
    }
    optionCases += "    \"" + spec.name + "\") options=\"" + list.substr(1) + "\" ;;\n";
  }
  std::string words;
  for (const std::string& word : firstWords) {
    words += (words.empty() ? "" : " ") + word;
  }
  std::string wordCases;
  for (const auto& [first, second] : secondWords) {
    wordCases += "    " + first + ") second=\"" + second.substr(1) + "\" ;;\n";
  }
  return "# bash completion of daisydrift: source <(daisydrift completion)\n"
         "_daisydrift() {\n"
         "  local word=\"${COMP_WORDS[COMP_CWORD]}\" second=\"\" options=\"\" command\n"
         "  COMPREPLY=()\n"
         "  if [ \"$COMP_CWORD\" -eq 1 ]; then\n"
         "    COMPREPLY=($(compgen -W \"" +
         words +
         "\" -- \"$word\"))\n"
         "    return\n"
         "  fi\n"
         "  case \"${COMP_WORDS[1]}\" in\n" +
         wordCases +
         "  esac\n"
         "  if [ \"$COMP_CWORD\" -eq 2 ] && [ -n \"$second\" ] && [ \"${word#-}\" = \"$word\" ]; "
         "then\n"
         "    COMPREPLY=($(compgen -W \"$second\" -- \"$word\"))\n"
         "    return\n"
         "  fi\n"
         "  command=\"${COMP_WORDS[1]}\"\n"
         "  case \" $second \" in\n"
         "    *\" ${COMP_WORDS[2]} \"*) command=\"$command ${COMP_WORDS[2]}\" ;;\n"
         "  esac\n"
         "  case \"$command\" in\n" +
         optionCases +
         "  esac\n"
         "  if [ \"${word#-}\" != \"$word\" ]; then\n"
         "    COMPREPLY=($(compgen -W \"$options\" -- \"$word\"))\n"
         "  else\n"
         "    COMPREPLY=($(compgen -f -- \"$word\"))\n"
         "  fi\n"
         "}\n"
         "complete -F _daisydrift daisydrift\n";
}

} // namespace daisydrift
