// Figures of a whole fleet of processes: store calls, processor time and memory of each instance
// idle and under load, recovery after the death of the leader, time until an edit holds everywhere,
// and requests lost in a rolling replacement. Prints one line of key=value pairs for each figure.

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

/// Workers of this run, printed with each figure.
unsigned sWorkers = kDefaultWorkers;

void Print(const char* aMetric, double aValue, const char* aUnit, const std::string& aExtra = "")
{
  std::printf("bench=fleet instances=%u workers=%u metric=%s value=%.3f unit=%s%s\n",
              kInstances,
              sWorkers,
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

/// Processor time of a process since its start, seconds.
double ProcessorSeconds(pid_t aPid)
{
  std::ifstream file("/proc/" + std::to_string(aPid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  // Fields 14 and 15, counted after the command in parentheses, which may hold spaces.
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

/// Resident memory of a process, MiB.
double MemoryMiB(pid_t aPid)
{
  std::ifstream file("/proc/" + std::to_string(aPid) + "/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024.0 * 1024.0);
}

/// Counters over a span of time.
class Span
{
public:
  explicit Span(FleetHarness& aFleet)
    : fleet(aFleet)
    , start(SteadyClock().Now())
    , calls(aFleet.StoreCalls())
  {
    for (const DaemonProcess& daemon : aFleet.Instances()) {
      this->processor.push_back(ProcessorSeconds(daemon.pid));
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
    for (std::size_t i = 0; i < this->processor.size(); ++i) {
      const DaemonProcess& daemon = this->fleet.Instances()[i];
      double share = 100 * (ProcessorSeconds(daemon.pid) - this->processor[i]) / elapsed;
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
  std::vector<double> processor;
};

std::string Batch(unsigned aTasks, unsigned aRunMs)
{
  return R"({"name": "load", "tasks": )" + std::to_string(aTasks) +
         R"(, "size": {"milli_cores": 1000, "memory_mib": 256}, "payload": {"run_ms": )" +
         std::to_string(aRunMs) + R"(, "team": "team"}})";
}

void MeasureIdle(FleetHarness& aFleet)
{
  Span span(aFleet);
  std::this_thread::sleep_for(kIdleTime);
  span.PrintAll("idle", aFleet.Leader());
}

void MeasureStarts(FleetHarness& aFleet)
{
  std::size_t before = aFleet.TaskStarts();
  Span span(aFleet);
  TimePoint start = SteadyClock().Now();
  for (int i = 0; i < 12; ++i) {
    aFleet.Submit(Batch(1000, 300));
  }
  std::this_thread::sleep_for(kLoadTime);
  double elapsed = Seconds(start, SteadyClock().Now());
  span.PrintAll("starts", aFleet.Leader());
  Print("task_starts",
        static_cast<double>(aFleet.TaskStarts() - before) / elapsed,
        "1/s",
        " phase=starts");
  aFleet.Call(0, "POST", "/v1/jobs/cancel", R"({"team": "team"})");
}

void MeasureRequests(FleetHarness& aFleet)
{
  Span span(aFleet);
  unsigned before = aFleet.Answered();
  TimePoint start = SteadyClock().Now();
  aFleet.StartLoad(8);
  std::this_thread::sleep_for(kLoadTime);
  aFleet.StopLoad();
  double elapsed = Seconds(start, SteadyClock().Now());
  span.PrintAll("requests", aFleet.Leader());
  Print("requests_answered", (aFleet.Answered() - before) / elapsed, "1/s", " phase=requests");
}

void MeasureEdits(FleetHarness& aFleet)
{
  TimePoint start = SteadyClock().Now();
  aFleet.Call(1, "POST", "/v1/admin/failure-domains/burnie/drain");
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
  FleetHarness::WaitFor([&] { return (job = aFleet.Submit(Batch(1, 100))) != ""; });
  Print("accepted_after_leader_death", Seconds(start, SteadyClock().Now()), "s");
  FleetHarness::WaitFor([&] { return aFleet.TaskStarts() > before; });
  Print("start_after_leader_death", Seconds(start, SteadyClock().Now()), "s");
  aFleet.StartInstance();
}

void MeasureOutage(FleetHarness& aFleet)
{
  unsigned sent = aFleet.Sent();
  unsigned answered = aFleet.Answered();
  aFleet.StartLoad(2);
  aFleet.SetStoreFaults(R"({"down": true})");
  std::this_thread::sleep_for(30s);
  aFleet.StopLoad();
  Print("requests_sent", aFleet.Sent() - sent, "requests", " phase=outage");
  Print("requests_answered", aFleet.Answered() - answered, "requests", " phase=outage");
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
  unsigned answered = aFleet.Answered();
  aFleet.StartLoad(4);
  TimePoint start = SteadyClock().Now();
  std::size_t count = aFleet.Instances().size();
  for (std::size_t i = 0; i < count; ++i) {
    if (!aFleet.Instances()[i].isStopped) {
      // All seats are taken, so the new instance can serve only after the old one has left.
      aFleet.Signal(i, SIGTERM);
      aFleet.WaitForEnd(i);
      aFleet.StartInstance();
    }
  }
  double elapsed = Seconds(start, SteadyClock().Now());
  aFleet.StopLoad();
  Print("replacement_time", elapsed, "s", " phase=replacement");
  Print("requests_sent", aFleet.Sent() - sent, "requests", " phase=replacement");
  Print("requests_answered", aFleet.Answered() - answered, "requests", " phase=replacement");
  Print("requests_broken", aFleet.Broken(), "requests", " phase=replacement");
}

/// Figures from which the slopes over the number of workers are taken.
int RunScale(unsigned aWorkers)
{
  sWorkers = aWorkers;
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

/// Without an argument: all figures with 50 workers. With a number of workers: the figures for the
/// slopes.
int main(int aCount, char** aArguments)
{
  daisydrift::ConfigureLogging(daisydrift::LogLevel::Error);
  if (aCount > 1) {
    return daisydrift::RunScale(static_cast<unsigned>(std::strtoul(aArguments[1], nullptr, 10)));
  }
  return daisydrift::Run();
}
