// daisydriftd: the program of an entry instance.

#include "daisydrift/daemon.h"
#include "daisydrift/platform.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace options = boost::program_options;

namespace daisydrift {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitBadInput = 2;

constexpr const char* kVersion = "0.1.0";

/// Reads and checks the settings, and the secrets if aWithSecrets. Prints all findings and returns
/// false when there are any.
bool LoadSettings(const std::string& aFile,
                  DaemonSettings& aSettings,
                  DaemonSecrets& aSecrets,
                  bool aWithSecrets)
{
  std::ifstream file(aFile);
  if (!file) {
    std::cerr << aFile << ": unreadable_file: the settings can't be read\n";
    return false;
  }
  std::stringstream text;
  text << file.rdbuf();
  Findings findings;
  aSettings = LoadDaemonSettings(text.str(), aFile, findings);
  if (findings.Empty() && aWithSecrets) {
    aSecrets = LoadSecrets(aSettings, findings);
  }
  std::cerr << findings.ToText();
  return findings.Empty();
}

/// Blocks the signals for which the main thread waits. Must be called before any other thread is
/// started.
sigset_t BlockSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

int Serve(const DaemonSettings& aSettings, const DaemonSecrets& aSecrets, const sigset_t& aSignals)
{
  ConfigureLogging(aSettings.logLevel);
  Daemon daemon(aSettings, aSecrets);
  Findings findings;
  if (!daemon.Start(findings)) {
    std::cerr << findings.ToText();
    // Threads may be running already. There is no leadership or seat to hand over yet.
    std::_Exit(kExitFailure);
  }
  int signal = 0;
  do {
    sigwait(&aSignals, &signal);
    if (signal == SIGHUP) {
      daemon.ReloadCertificate();
    }
  } while (signal == SIGHUP);
  daemon.Stop();
  return kExitOk;
}

int Run(int aCount, char** aArguments)
{
  options::options_description description("daisydriftd [options]");
  auto add = description.add_options();
  add("help", "print this text");
  add("version", "print the version");
  add("settings", options::value<std::string>(), "settings file, JSON with comments");
  add("check-settings",
      options::value<std::string>(),
      "check a settings file and print all findings");
  add("platform", "run on the users' platform, with the settings file that it names");
  add("check-platform-settings",
      options::value<std::string>(),
      "check a settings file of the platform and print all findings");
  add("describe-settings", "print the documentation of all settings");
  options::variables_map values;
  options::store(options::parse_command_line(aCount, aArguments, description), values);
  options::notify(values);
  DaemonSettings settings;
  DaemonSecrets secrets;
  if (values.count("help") != 0) {
    std::cout << description;
    return kExitOk;
  }
  if (values.count("version") != 0) {
    std::cout << "daisydriftd " << kVersion << "\n";
    return kExitOk;
  }
  if (values.count("describe-settings") != 0) {
    std::cout << DescribeSettings();
    return kExitOk;
  }
  if (values.count("check-settings") != 0) {
    bool isGood =
      LoadSettings(values["check-settings"].as<std::string>(), settings, secrets, false);
    std::cout << (isGood ? "settings are valid\n" : "");
    return isGood ? kExitOk : kExitBadInput;
  }
  if (values.count("check-platform-settings") != 0) {
    bool isGood = platform::CheckSettings(values["check-platform-settings"].as<std::string>());
    std::cout << (isGood ? "settings are valid\n" : "");
    return isGood ? kExitOk : kExitBadInput;
  }
  if (values.count("platform") != 0) {
    const char* file = std::getenv(platform::kSettingsVariable);
    if (file == nullptr) {
      std::cerr << "daisydriftd: the environment variable " << platform::kSettingsVariable
                << " must name the settings file\n";
      return kExitBadInput;
    }
    return platform::Serve(file);
  }
  if (values.count("settings") == 0) {
    std::cerr << "daisydriftd: --settings FILE is required\n" << description;
    return kExitBadInput;
  }
  // Before the settings are read: by default SIGHUP ends a process that does not block it yet.
  sigset_t signals = BlockSignals();
  if (!LoadSettings(values["settings"].as<std::string>(), settings, secrets, true)) {
    return kExitBadInput;
  }
  return Serve(settings, secrets, signals);
}

} // namespace
} // namespace daisydrift

int main(int aCount, char** aArguments)
{
  try {
    return daisydrift::Run(aCount, aArguments);
  } catch (const boost::program_options::error& error) {
    std::cerr << "daisydriftd: " << error.what() << "\n";
    return daisydrift::kExitBadInput;
  }
}
