// daisydrift: the command line for operators and callers.

#include "daisydrift/cli.h"

#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

int main(int aCount, char** aValues)
{
  // Writing to a connection that the server closed must fail with an error instead of terminating
  // the process.
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
