// Runs one script of the third review: Main CASE PROGRAM FOLDER RECORD; the variable TROUBLE=0
// leaves the disruption out. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could
// not run.

#include "Cases.h"

#include <cstdlib>
#include <iostream>
#include <string>

int main(int aCount, char** aArguments)
{
  if (aCount != 5) {
    std::cerr << "usage: review-case CASE PROGRAM FOLDER RECORD\n";
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  bool isTrouble = trouble == nullptr || std::string(trouble) != "0";
  review::Deployment deployment(aArguments[2], aArguments[3], aArguments[4]);
  if (!review::RunCase(deployment, aArguments[1], isTrouble)) {
    std::cerr << "no such case\n";
    return 2;
  }
  return deployment.exitCode;
}
