// The command line of operators and callers.

#include "daisydrift/cli.h"

#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

int main(int aCount, char** aValues)
{
  // A server that closes its connection is an error of the call, not the end of the program.
  std::signal(SIGPIPE, SIG_IGN);
  daisydrift::SteadyClock clock;
  daisydrift::CommandEnvironment environment{ std::cin,
                                              std::cout,
                                              std::cerr,
                                              isatty(STDOUT_FILENO) == 1,
                                              [](const std::string& aName) {
                                                const char* value = std::getenv(aName.c_str());
                                                return std::string(value != nullptr ? value : "");
                                              },
                                              clock,
                                              [](std::chrono::milliseconds aDelay) {
                                                std::this_thread::sleep_for(aDelay);
                                              } };
  std::vector<std::string> arguments(aValues + 1, aValues + aCount);
  return static_cast<int>(daisydrift::RunCommandLine(arguments, environment));
}
