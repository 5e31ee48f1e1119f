// Measures a fleet of processes: store calls, CPU time and memory of the instances when idle and
// under load, recovery after a crash of the leader, time until an edit is in force on all
// instances, and requests lost in a rolling replacement. Prints one line of key=value pairs for
// each metric.

#include "FleetHarness.h"

#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <fstream>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

constexpr unsigned kInstances = 7;
constexpr unsigned kDefaultWorkers = 50;
constexpr unsigned kUpstreams = 20;
constexpr std::chrono::seconds kIdleTime{ 10 };
constexpr std::chrono::seconds kLoadTime{ 10 };

/// Number of workers of this run, printed with each metric.
unsigned sWorkerCount = kDefaultWorkers;

void Print(const char* aMetric, double aValue, const char* aUnit, const std::string& aExtra = "")
{
  std::printf("bench=fleet instances=%u workers=%u metric=%s value=%.3f unit=%s%s\n",
              kInstances,
              sWorkerCount,
              aMetric,
              aValue,
              aUnit,
              aExtra.c_str());
  std::fflush(stdout);
}

double Seconds(TimePoint aFrom, TimePoint aTo)
{
  return std::chrono::duration<double>(aTo - aFrom).count();
}

/// Returns the CPU time of a process since its start, in seconds.
double CpuSeconds(pid_t aPid)
{
  std::ifstream file("/proc/" + std::to_string(aPid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  // User and system time are fields 14 and 15. Skips the command in parentheses, which may contain
  // spaces, and the fields before them.
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < 11; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// Returns the resident memory of a process, in MiB.
double MemoryMiB(pid_t aPid)
{
  std::ifstream file("/proc/" + std::to_string(aPid) + "/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024.0 * 1024.0);
}

/// Measures store calls, CPU time and memory over an interval that starts with its construction.
class MeasurementInterval
{
public:
  explicit MeasurementInterval(FleetHarness& aFleet)
    : fleet(aFleet)
    , start(SteadyClock().Now())
    , calls(aFleet.StoreCalls())
  {
    for (const DaemonProcess& daemon : aFleet.Instances()) {
      this->cpuSeconds.push_back(CpuSeconds(daemon.pid));
    }
  }

  void PrintAll(const std::string& aPhase, std::optional<std::size_t> aLeader)
  {
    std::string extra = " phase=" + aPhase;
    double elapsed = Seconds(this->start, SteadyClock().Now());
    StoreCounts now = this->fleet.StoreCalls();
    Print(
      "store_writes", static_cast<double>(now.writes - this->calls.writes) / elapsed, "1/s", extra);
    Print(
      "store_reads", static_cast<double>(now.reads - this->calls.reads) / elapsed, "1/s", extra);
    Print(
      "store_rejected", static_cast<double>(now.rejected - this->calls.rejected), "calls", extra);
    double worst = 0;
    double memory = 0;
    for (std::size_t i = 0; i < this->cpuSeconds.size(); ++i) {
      const DaemonProcess& daemon = this->fleet.Instances()[i];
      double share = 100 * (CpuSeconds(daemon.pid) - this->cpuSeconds[i]) / elapsed;
      memory = std::max(memory, MemoryMiB(daemon.pid));
      if (aLeader == i) {
        Print("leader_processor", share, "percent_of_core", extra);
        Print("leader_memory", MemoryMiB(daemon.pid), "MiB", extra);
      } else {
        worst = std::max(worst, share);
      }
    }
    Print("other_processor_worst", worst, "percent_of_core", extra);
    Print("memory_worst", memory, "MiB", extra);
  }

private:
  FleetHarness& fleet;
  TimePoint start;
  StoreCounts calls;
  std::vector<double> cpuSeconds;
};

std::string MakeBatchJob(unsigned aTasks, unsigned aRunMs)
{
  return R"({"name": "load", "tasks": )" + std::to_string(aTasks) +
         R"(, "size": {"milli_cores": 1000, "memory_mib": 256}, "payload": {"run_ms": )" +
         std::to_string(aRunMs) + R"(, "team": "team"}})";
}

void MeasureIdle(FleetHarness& aFleet)
{
  MeasurementInterval interval(aFleet);
  std::this_thread::sleep_for(kIdleTime);
  interval.PrintAll("idle", aFleet.Leader());
}

void MeasureStarts(FleetHarness& aFleet)
{
  std::size_t before = aFleet.TaskStarts();
  MeasurementInterval interval(aFleet);
  TimePoint start = SteadyClock().Now();
  for (int i = 0; i < 12; ++i) {
    aFleet.Submit(MakeBatchJob(1000, 300));
  }
  std::this_thread::sleep_for(kLoadTime);
  double elapsed = Seconds(start, SteadyClock().Now());
  interval.PrintAll("starts", aFleet.Leader());
  Print("task_starts",
        static_cast<double>(aFleet.TaskStarts() - before) / elapsed,
        "1/s",
        " phase=starts");
  aFleet.Call(0, "POST", "/v1/jobs/cancel", R"({"team": "team"})");
}

void MeasureRequests(FleetHarness& aFleet)
{
  MeasurementInterval interval(aFleet);
  unsigned before = aFleet.SuccessfulResponses();
  TimePoint start = SteadyClock().Now();
  aFleet.StartLoad(8);
  std::this_thread::sleep_for(kLoadTime);
  aFleet.StopLoad();
  double elapsed = Seconds(start, SteadyClock().Now());
  interval.PrintAll("requests", aFleet.Leader());
  Print("requests_answered",
        (aFleet.SuccessfulResponses() - before) / elapsed,
        "1/s",
        " phase=requests");
}

void MeasureEdits(FleetHarness& aFleet)
{
  TimePoint start = SteadyClock().Now();
  aFleet.Call(1, "POST", "/v1/admin/failure-domains/burnie/drain");
  // The set-up created version 1 and the team's key version 2.
  std::string version = std::to_string(3);
  FleetHarness::WaitFor([&] {
    for (std::size_t i = 0; i < aFleet.Instances().size(); ++i) {
      if (!aFleet.Instances()[i].isStopped &&
          aFleet.Call(i, "GET", "/v1/admin/config").body.find("\"version\":" + version) ==
            std::string::npos) {
        return false;
      }
    }
    return true;
  });
  Print("drain_in_force_everywhere", Seconds(start, SteadyClock().Now()), "s");
  aFleet.Call(1, "POST", "/v1/admin/failure-domains/burnie/return");
}

void MeasureRecovery(FleetHarness& aFleet)
{
  std::optional<std::size_t> leader = aFleet.Leader();
  if (!leader) {
    return;
  }
  std::size_t before = aFleet.TaskStarts();
  TimePoint start = SteadyClock().Now();
  aFleet.Signal(*leader, SIGKILL);
  std::string job;
  FleetHarness::WaitFor([&] { return (job = aFleet.Submit(MakeBatchJob(1, 100))) != ""; });
  Print("accepted_after_leader_death", Seconds(start, SteadyClock().Now()), "s");
  FleetHarness::WaitFor([&] { return aFleet.TaskStarts() > before; });
  Print("start_after_leader_death", Seconds(start, SteadyClock().Now()), "s");
  aFleet.StartInstance();
}

void MeasureOutage(FleetHarness& aFleet)
{
  unsigned sent = aFleet.Sent();
  unsigned successfulResponses = aFleet.SuccessfulResponses();
  aFleet.StartLoad(2);
  aFleet.SetStoreFaults(R"({"down": true})");
  std::this_thread::sleep_for(30s);
  aFleet.StopLoad();
  Print("requests_sent", aFleet.Sent() - sent, "requests", " phase=outage");
  Print("requests_answered",
        aFleet.SuccessfulResponses() - successfulResponses,
        "requests",
        " phase=outage");
  StoreCounts before = aFleet.StoreCalls();
  aFleet.SetStoreFaults(R"({"down": false})");
  double worstWrites = 0;
  double worstReads = 0;
  for (int second = 0; second < 10; ++second) {
    std::this_thread::sleep_for(1s);
    StoreCounts now = aFleet.StoreCalls();
    worstWrites = std::max(worstWrites, static_cast<double>(now.writes - before.writes));
    worstReads = std::max(worstReads, static_cast<double>(now.reads - before.reads));
    before = now;
  }
  Print("store_writes_worst_second", worstWrites, "1/s", " phase=return");
  Print("store_reads_worst_second", worstReads, "1/s", " phase=return");
}

void MeasureReplacement(FleetHarness& aFleet)
{
  unsigned sent = aFleet.Sent();
  unsigned successfulResponses = aFleet.SuccessfulResponses();
  aFleet.StartLoad(4);
  TimePoint start = SteadyClock().Now();
  std::size_t count = aFleet.Instances().size();
  for (std::size_t i = 0; i < count; ++i) {
    if (!aFleet.Instances()[i].isStopped) {
      // All seats are held, so the new instance can serve requests only after the old one has
      // stopped.
      aFleet.Signal(i, SIGTERM);
      aFleet.WaitForExit(i);
      aFleet.StartInstance();
    }
  }
  double elapsed = Seconds(start, SteadyClock().Now());
  aFleet.StopLoad();
  Print("replacement_time", elapsed, "s", " phase=replacement");
  Print("requests_sent", aFleet.Sent() - sent, "requests", " phase=replacement");
  Print("requests_answered",
        aFleet.SuccessfulResponses() - successfulResponses,
        "requests",
        " phase=replacement");
  Print("requests_broken", aFleet.Broken(), "requests", " phase=replacement");
}

/// Measures the metrics whose growth with the number of workers is evaluated.
int RunScale(unsigned aWorkers)
{
  sWorkerCount = aWorkers;
  FleetHarness fleet(kInstances, aWorkers, kUpstreams);
  fleet.SetUpFleet(800);
  MeasureIdle(fleet);
  MeasureStarts(fleet);
  return 0;
}

int Run()
{
  FleetHarness fleet(kInstances, kDefaultWorkers, kUpstreams);
  fleet.SetUpFleet(800);
  MeasureIdle(fleet);
  MeasureStarts(fleet);
  MeasureRequests(fleet);
  MeasureEdits(fleet);
  MeasureOutage(fleet);
  MeasureReplacement(fleet);
  MeasureRecovery(fleet);
  return 0;
}

} // namespace
} // namespace daisydrift

/// Without an argument, measures all metrics with 50 workers. With a number of workers as argument,
/// measures the metrics whose growth with the number of workers is evaluated.
int main(int aCount, char** aArguments)
{
  daisydrift::ConfigureLogging(daisydrift::LogLevel::Error);
  if (aCount > 1) {
    return daisydrift::RunScale(static_cast<unsigned>(std::strtoul(aArguments[1], nullptr, 10)));
  }
  return daisydrift::Run();
}
