#include "daisydrift/settings.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace daisydrift {
namespace {

// Guards against a settings page that does not match the schema. To regenerate the page, run this
// program with RENEW_PAGES=1 in the environment.
TEST(SettingsPage, MatchesSchema)
{
  const std::string kPath = std::string(DOCS_FOLDER) + "/settings.md";
  if (std::getenv("RENEW_PAGES") != nullptr) {
    std::ofstream(kPath) << DescribeSettings();
  }
  std::ostringstream page;
  page << std::ifstream(kPath).rdbuf();
  EXPECT_EQ(page.str(), DescribeSettings());
}

} // namespace
} // namespace daisydrift
