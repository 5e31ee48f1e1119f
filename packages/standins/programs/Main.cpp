// Command line program that runs the stand-ins for the platform:
// `daisydrift-standin store|directory|workers|upstreams|collect OPTIONS`.

#include "daisydrift/standins.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

namespace options = boost::program_options;

namespace daisydrift {
namespace {

/// Blocks until the process receives SIGTERM or SIGINT.
void WaitForSignal()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int signal = 0;
  sigwait(&signals, &signal);
}

void BlockSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int Fail(const std::string& aMessage)
{
  std::cerr << "daisydrift-standin: " << aMessage << "\n";
  return 2;
}

int RunStore(const options::variables_map& aOptions)
{
  StoreServer server(
    { aOptions["writes-per-second"].as<unsigned>(), aOptions["reads-per-second"].as<unsigned>() });
  if (!server.Start({ "127.0.0.1", aOptions["port"].as<std::uint16_t>() })) {
    return Fail("cannot bind the port");
  }
  WaitForSignal();
  return 0;
}

Result<std::vector<InstanceInfo>> ReadInstances(const options::variables_map& aOptions)
{
  std::ifstream file(aOptions["file"].as<std::string>());
  std::stringstream text;
  text << file.rdbuf();
  return DecodeInstances(text.str());
}

/// Prints the histories of the listed stand-ins to standard output and the counts to standard
/// error.
int RunCollect(const options::variables_map& aOptions)
{
  Result<std::vector<InstanceInfo>> instances = ReadInstances(aOptions);
  if (!instances) {
    return Fail("cannot read the file with the list of instances");
  }
  CollectorCounts counts = CollectHistory({ *instances }, std::cout);
  std::cerr << "task_starts=" << counts.taskStarts << " task_successes=" << counts.taskSuccesses
            << " upstream_starts=" << counts.upstreamStarts << " missing=" << counts.missing
            << "\n";
  return counts.missing == 0 ? 0 : 1;
}

int RunDirectory(const options::variables_map& aOptions)
{
  Result<std::vector<InstanceInfo>> instances = ReadInstances(aOptions);
  if (!instances) {
    return Fail("cannot read the file with the list of instances");
  }
  DirectoryServer server(*instances);
  if (!server.Start({ "127.0.0.1", aOptions["port"].as<std::uint16_t>() })) {
    return Fail("cannot bind the port");
  }
  WaitForSignal();
  return 0;
}

/// Starts `count` servers made by aMakeServer on consecutive ports and waits for a signal.
template<typename MakeServer>
int RunServers(const options::variables_map& aOptions, MakeServer aMakeServer)
{
  auto port = aOptions["port"].as<std::uint16_t>();
  std::vector<decltype(aMakeServer(0))> servers;
  for (unsigned i = 0; i < aOptions["count"].as<unsigned>(); ++i) {
    servers.push_back(aMakeServer(i));
    if (!servers.back()->Start({ "127.0.0.1", static_cast<std::uint16_t>(port + i) })) {
      return Fail("cannot bind the port");
    }
  }
  WaitForSignal();
  return 0;
}

int RunWorkers(const options::variables_map& aOptions)
{
  Resources capacity{ aOptions["cores"].as<std::int64_t>() * 1000,
                      aOptions["memory-gib"].as<std::int64_t>() * 1024,
                      aOptions["accelerators"].as<std::int64_t>() };
  std::string prefix = std::to_string(getpid()) + "-" + std::to_string(time(nullptr)) + "-";
  return RunServers(aOptions, [&](unsigned aIndex) {
    return std::make_unique<WorkerServer>(
      prefix + std::to_string(aIndex), capacity, std::chrono::seconds(15));
  });
}

int RunUpstreams(const options::variables_map& aOptions)
{
  return RunServers(aOptions, [&](unsigned aIndex) {
    return std::make_unique<UpstreamServer>("upstream-" + std::to_string(aIndex),
                                            aOptions["slots"].as<unsigned>());
  });
}

int Run(int aCount, char** aArguments)
{
  options::options_description description(
    "daisydrift-standin ROLE [options], ROLE: store, directory, workers, upstreams, "
    "collect");
  auto add = description.add_options();
  add("role", options::value<std::string>(), "stand-in to run");
  add("port", options::value<std::uint16_t>()->default_value(0), "first port on 127.0.0.1");
  add("count",
      options::value<unsigned>()->default_value(1),
      "workers or upstreams, on consecutive ports");
  add("cores", options::value<std::int64_t>()->default_value(16), "cores of each worker");
  add(
    "memory-gib", options::value<std::int64_t>()->default_value(64), "memory of each worker, GiB");
  add("accelerators",
      options::value<std::int64_t>()->default_value(0),
      "accelerators of each worker");
  add("slots", options::value<unsigned>()->default_value(8), "slots of each upstream");
  add("writes-per-second",
      options::value<unsigned>()->default_value(500),
      "write rate limit of the store");
  add("reads-per-second",
      options::value<unsigned>()->default_value(2000),
      "read rate limit of the store");
  add("file",
      options::value<std::string>()->default_value(""),
      "JSON file with the list of instances");
  options::positional_options_description positions;
  positions.add("role", 1);
  options::variables_map optionValues;
  options::store(options::command_line_parser(aCount, aArguments)
                   .options(description)
                   .positional(positions)
                   .run(),
                 optionValues);
  options::notify(optionValues);
  BlockSignals();
  std::string role = optionValues.count("role") != 0 ? optionValues["role"].as<std::string>() : "";
  if (role == "store") {
    return RunStore(optionValues);
  }
  if (role == "directory") {
    return RunDirectory(optionValues);
  }
  if (role == "workers") {
    return RunWorkers(optionValues);
  }
  if (role == "collect") {
    return RunCollect(optionValues);
  }
  if (role == "upstreams") {
    return RunUpstreams(optionValues);
  }
  std::cerr << description;
  return 2;
}

} // namespace
} // namespace daisydrift

int main(int aCount, char** aArguments)
{
  try {
    return daisydrift::Run(aCount, aArguments);
  } catch (const std::exception& error) {
    std::cerr << "daisydrift-standin: " << error.what() << "\n";
    return 2;
  }
}
