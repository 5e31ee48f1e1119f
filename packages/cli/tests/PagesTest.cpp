#include "daisydrift/cli.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace daisydrift {
namespace {

const std::string kDocs = DOCS_FOLDER;

std::string ReadPage(const std::string& aName)
{
  std::ostringstream page;
  page << std::ifstream(kDocs + "/" + aName).rdbuf();
  return page.str();
}

/// Words of a shell line up to a pipe, redirection or comment.
std::vector<std::string> WordsOf(const std::string& aLine)
{
  std::istringstream stream(aLine);
  std::vector<std::string> words;
  for (std::string word; stream >> word;) {
    if (word == "|" || word == ">" || word == "<" || word == "#") {
      break;
    }
    words.push_back(word);
  }
  return words;
}

// Guards against a page that no longer matches the command table. To regenerate the page, run this
// program with RENEW_PAGES=1 in the environment.
TEST(Pages, CommandPageMatchesTable)
{
  if (std::getenv("RENEW_PAGES") != nullptr) {
    std::ofstream(kDocs + "/cli.md") << DescribeCommands();
  }
  EXPECT_EQ(ReadPage("cli.md"), DescribeCommands());
}

// Guards against pages that show commands which do not exist or lack arguments.
TEST(Pages, CommandsInPagesAreValid)
{
  int commands = 0;
  for (const char* name : { "operations/teams-and-keys.md", "operations/failure-domains.md" }) {
    std::istringstream page(ReadPage(name));
    for (std::string line; std::getline(page, line);) {
      std::size_t start = line.find_first_not_of(' ');
      if (start == std::string::npos || start < 4 || line.compare(start, 11, "daisydrift ") != 0) {
        continue;
      }
      std::vector<std::string> words = WordsOf(line);
      words.erase(words.begin());
      std::string error;
      EXPECT_TRUE(ParseCommand(words, error).has_value()) << line << ": " << error;
      ++commands;
    }
  }
  EXPECT_EQ(commands, 23);
}

// Guards against a completion script that bash can't run or that lacks a command.
TEST(Pages, CompletionRunsInBash)
{
  const std::string kPath = testing::TempDir() + "daisydrift-completion";
  std::ofstream(kPath) << CompletionScript();
  auto complete = [&](const std::string& aWords, int aIndex) {
    std::string command = "bash -c 'source " + kPath + "; COMP_WORDS=(daisydrift " + aWords +
                          "); COMP_CWORD=" + std::to_string(aIndex) +
                          "; _daisydrift; echo ${COMPREPLY[@]}' 2>&1";
    std::string text;
    FILE* pipe = popen(command.c_str(), "r");
    char buffer[256];
    while (pipe != nullptr && fgets(buffer, sizeof(buffer), pipe) != nullptr) {
      text += buffer;
    }
    if (pipe != nullptr) {
      pclose(pipe);
    }
    return text;
  };
  EXPECT_EQ(complete("te", 1), "teams\n");
  EXPECT_EQ(complete("audit v", 2), "verify\n");
  EXPECT_EQ(complete("teams apply --dr", 3), "--dry-run\n");
  EXPECT_EQ(complete("jobs --ou", 2), "--output\n");
  std::remove(kPath.c_str());
}

// Guards against a command without help.
TEST(Pages, EveryCommandHasHelp)
{
  for (const CommandSpec& spec : CommandTable()) {
    EXPECT_NE(HelpText(&spec).find(UsageLine(spec)), std::string::npos);
    EXPECT_NE(HelpText(nullptr).find(spec.name), std::string::npos);
    EXPECT_NE(spec.run, nullptr);
  }
}

} // namespace
} // namespace daisydrift
