// daisydrift-check-history: checks whether a recorded history violates the invariants I1 to I11.

#include "daisydrift/checker.h"

#include <boost/program_options.hpp>

#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>

namespace daisydrift {
namespace {

namespace options = boost::program_options;

constexpr int kExitNoViolations = 0;
constexpr int kExitViolations = 1;
constexpr int kExitBadInput = 2;

Duration Seconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

int Run(int aCount, char** aArguments)
{
  options::options_description description("daisydrift-check-history FILE [options]");
  auto add = description.add_options();
  double reaction = std::chrono::duration<double>(kReactionTolerance).count();
  double convergence = std::chrono::duration<double>(kConvergenceTolerance).count();
  add("help", "print this text");
  add("file", options::value<std::string>(), "recorded history; - for standard input");
  add("reaction-seconds",
      options::value<double>(&reaction)->default_value(reaction),
      "seconds within which changes must take effect (I3, I5, I9)");
  add("convergence-seconds",
      options::value<double>(&convergence)->default_value(convergence),
      "seconds within which a configuration must be in force (I11) and a lowered ceiling respected "
      "(I4)");
  options::positional_options_description positions;
  positions.add("file", 1);
  options::variables_map values;
  options::store(options::command_line_parser(aCount, aArguments)
                   .options(description)
                   .positional(positions)
                   .run(),
                 values);
  options::notify(values);
  if (values.count("help") > 0) {
    std::cout << description;
    return kExitNoViolations;
  }
  if (values.count("file") == 0 || reaction < 0 || convergence < 0) {
    std::cerr << description;
    return kExitBadInput;
  }
  auto name = values["file"].as<std::string>();
  std::ifstream file(name);
  if (name != "-" && !file) {
    std::cerr << name << ": can't be read\n";
    return kExitBadInput;
  }
  std::istream& in = name == "-" ? std::cin : file;
  std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
  CheckTolerances tolerances{
    Seconds(reaction), Seconds(reaction), Seconds(reaction), Seconds(convergence)
  };
  HistoryReport report = CheckHistory(text, name, tolerances);
  std::cout << report.ToText();
  if (!report.findings.Empty()) {
    return kExitBadInput;
  }
  return report.violations.empty() ? kExitNoViolations : kExitViolations;
}

} // namespace
} // namespace daisydrift

int main(int aCount, char** aArguments)
{
  try {
    return daisydrift::Run(aCount, aArguments);
  } catch (const std::exception& error) {
    std::cerr << "daisydrift-check-history: " << error.what() << "\n";
    return 2;
  }
}
