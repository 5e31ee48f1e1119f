// The daemon's process and its signals.

#include <gtest/gtest.h>

#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <string>

namespace daisydrift {
namespace {

constexpr int kExitBadInput = 2;

// Guards against a daemon that is ended by a reload which meets its start.
TEST(ProgramTest, ReloadDuringTheStartDoesNotEndTheProcess)
{
  std::string folder = ::testing::TempDir() + "ProgramTest.XXXXXX";
  ASSERT_NE(::mkdtemp(folder.data()), nullptr);
  std::string file = folder + "/settings";
  ASSERT_EQ(::mkfifo(file.c_str(), 0600), 0);
  std::signal(SIGPIPE, SIG_IGN); // The process may have ended when its settings are written.
  pid_t process = ::fork();
  if (process == 0) {
    ::execl(DAISYDRIFTD_PATH, DAISYDRIFTD_PATH, "--settings", file.c_str(), nullptr);
    ::_exit(1);
  }
  std::ofstream settings(file); // Waits until the process reads its settings.
  ::kill(process, SIGHUP);
  settings << "{}";
  settings.close();
  int status = 0;
  ASSERT_EQ(::waitpid(process, &status, 0), process);
  ::unlink(file.c_str());
  ::rmdir(folder.c_str());
  ASSERT_TRUE(WIFEXITED(status)) << "ended by signal " << WTERMSIG(status);
  EXPECT_EQ(WEXITSTATUS(status), kExitBadInput) << "the settings are incomplete";
}

} // namespace
} // namespace daisydrift
