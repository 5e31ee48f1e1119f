// Cost of the calls between instances over loopback: bytes and CPU time of a heartbeat and of a
// call, calls per second, and the load of 7 instances that exchange heartbeats every second. CPU
// time is that of the whole process, so it covers the client, the server and the transfer between
// threads.

#include "daisydrift/rpc.h"

#include <sys/resource.h>

#include <iostream>
#include <thread>

namespace {

using namespace daisydrift;
using namespace std::chrono_literals;

constexpr unsigned kWarmUpCalls = 200;
constexpr unsigned kHeartbeats = 5000;
constexpr unsigned kCalls = 5000;
constexpr unsigned kParallelCallers = 16;
constexpr unsigned kCallsPerCaller = 2000;
/// Body of a submission: a job of a few hundred bytes of JSON.
constexpr std::size_t kCallBodyBytes = 600;
constexpr unsigned kInstances = 7;
constexpr std::chrono::seconds kTimeout{ 30 };

class EchoService : public PeerService
{
public:
  Result<HeartbeatReply> OnHeartbeat(const Heartbeat& aHeartbeat) override { return aHeartbeat; }
  Result<CallReply> OnCall(const Call& aCall) override
  {
    return CallReply{ 202, "application/json", aCall.body, {} };
  }
  Result<ForwardedReply> OnForwardedRequest(const ForwardedRequest& aRequest) override
  {
    return ForwardedReply{ 200, {}, aRequest.body, "ran", "" };
  }
  Result<ConfigReply> OnFetchConfig() override { return ConfigReply{}; }
  Result<SuccessorAck> OnSuccessor(const SuccessorNotice&) override { return SuccessorAck{}; }
};

/// A typical heartbeat: seat held, two services, no successors.
Heartbeat MakeHeartbeat()
{
  Heartbeat heartbeat;
  heartbeat.instance = "entry-3/1733299200";
  heartbeat.seat = 3;
  heartbeat.seatEpoch = 17;
  heartbeat.seatHeldFor = std::chrono::hours(3);
  heartbeat.region = "lutruwita";
  heartbeat.isStoreReachable = true;
  heartbeat.configVersion = 4711;
  heartbeat.highestEpoch = 12;
  heartbeat.freeSlots = { { "bursary-desk", 41 }, { "engraving-desk", 7 } };
  heartbeat.http = { "10.0.0.3", 8080 };
  return heartbeat;
}

Call MakeCall()
{
  Call call;
  call.kind = CallKind::Submit;
  call.team = "trust";
  call.idempotencyKey = "5f0c2f9e-0d39-4c32-9f0f-3f4c6f3a9b11";
  call.body.assign(kCallBodyBytes, 'x');
  call.path = "/v1/jobs";
  call.timeout = kTimeout;
  return call;
}

/// CPU time used by the process so far.
std::chrono::microseconds CpuTime()
{
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  auto sum = [](const timeval& aTime) {
    return std::chrono::seconds(aTime.tv_sec) + std::chrono::microseconds(aTime.tv_usec);
  };
  return sum(usage.ru_utime) + sum(usage.ru_stime);
}

void Print(const char* aMetric, double aValue, const char* aUnit)
{
  std::cout << "bench=rpc metric=" << aMetric << " value=" << aValue << " unit=" << aUnit << "\n";
}

/// Runs aOperation aCount times after a warm-up; returns the CPU time per run in microseconds.
double MeasureMicroseconds(unsigned aCount, const std::function<void()>& aOperation)
{
  for (unsigned i = 0; i < kWarmUpCalls; ++i) {
    aOperation();
  }
  std::chrono::microseconds before = CpuTime();
  for (unsigned i = 0; i < aCount; ++i) {
    aOperation();
  }
  return static_cast<double>((CpuTime() - before).count()) / aCount;
}

template<typename Reply>
void RequireSuccess(const PeerResult<Reply>& aReply)
{
  if (!aReply) {
    std::cerr << "call failed: " << aReply.Error().message() << "\n";
    std::exit(1);
  }
}

/// Prints the load of one of 7 instances that takes part in aExchangesPerSecond exchanges.
void PrintInstanceLoad(const std::string& aPattern,
                       unsigned aExchangesPerSecond,
                       double aBytesPerExchange,
                       double aMicrosecondsPerExchange)
{
  std::string prefix = "heartbeats_" + aPattern;
  Print((prefix + "_bytes_per_instance_both_ways").c_str(),
        aExchangesPerSecond * aBytesPerExchange,
        "B/s");
  // Each side spends half of the CPU time of an exchange.
  Print((prefix + "_core_share_per_instance").c_str(),
        aExchangesPerSecond * aMicrosecondsPerExchange / 2 / 1e6 * 100,
        "percent");
}

void MeasureHeartbeats(PeerChannel& aChannel)
{
  Heartbeat heartbeat = MakeHeartbeat();
  auto sendOnce = [&] { RequireSuccess(aChannel.SendHeartbeat(heartbeat, kTimeout)); };
  double microseconds = MeasureMicroseconds(kHeartbeats, sendOnce);
  PeerTraffic before = aChannel.Traffic();
  for (unsigned i = 0; i < kHeartbeats; ++i) {
    sendOnce();
  }
  PeerTraffic after = aChannel.Traffic();
  double sent = static_cast<double>(after.bytesSent - before.bytesSent) / kHeartbeats;
  double received = static_cast<double>(after.bytesReceived - before.bytesReceived) / kHeartbeats;
  Print("heartbeat_bytes_sent", sent, "B");
  Print("heartbeat_bytes_received", received, "B");
  Print("heartbeat_processor_time_both_sides", microseconds, "us");
  PrintInstanceLoad("each_sends_to_all", 2 * (kInstances - 1), sent + received, microseconds);
  // A heartbeat and its reply carry the state of both sides, so one exchange per pair of instances
  // would suffice.
  PrintInstanceLoad("one_for_each_pair", kInstances - 1, sent + received, microseconds);
}

void MeasureCalls(PeerChannel& aChannel)
{
  Call call = MakeCall();
  auto sendOnce = [&] { RequireSuccess(aChannel.SendCall(call, kTimeout)); };
  Print("call_processor_time_both_sides", MeasureMicroseconds(kCalls, sendOnce), "us");
  auto begin = std::chrono::steady_clock::now();
  for (unsigned i = 0; i < kCalls; ++i) {
    sendOnce();
  }
  std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
  Print("calls_one_caller", kCalls / elapsed.count(), "calls/s");
  begin = std::chrono::steady_clock::now();
  std::vector<std::thread> callers;
  for (unsigned caller = 0; caller < kParallelCallers; ++caller) {
    callers.emplace_back([&] {
      for (unsigned i = 0; i < kCallsPerCaller; ++i) {
        sendOnce();
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  elapsed = std::chrono::steady_clock::now() - begin;
  Print("calls_16_callers", kParallelCallers * kCallsPerCaller / elapsed.count(), "calls/s");
}

} // namespace

int main()
{
  auto loop = std::make_shared<RpcEventLoop>();
  EchoService service;
  PeerServer server(loop, service, { .secret = "benchmark" });
  if (std::error_code error = server.Start({ "127.0.0.1", 0 })) {
    std::cerr << "cannot listen: " << error.message() << "\n";
    return 1;
  }
  PeerChannel channel(loop, server.Address(), { .secret = "benchmark" });
  MeasureHeartbeats(channel);
  MeasureCalls(channel);
  return 0;
}
