// Cost of the calls between instances over loopback: bytes and processor time of a heartbeat and of
// a call, calls a second, and what 7 instances that exchange heartbeats each second spend on it.
// Processor time is that of the whole process, so it covers client, server and their hand-over.

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

/// A heartbeat as in operation: seat held, two services, no successors.
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
  call.deadline = kTimeout;
  return call;
}

/// Processor time of the process.
std::chrono::microseconds ProcessorTime()
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

/// Runs aOnce aCount times; returns processor time for each.
double MicrosecondsEach(unsigned aCount, const std::function<void()>& aOnce)
{
  for (unsigned i = 0; i < kWarmUpCalls; ++i) {
    aOnce();
  }
  std::chrono::microseconds before = ProcessorTime();
  for (unsigned i = 0; i < aCount; ++i) {
    aOnce();
  }
  return static_cast<double>((ProcessorTime() - before).count()) / aCount;
}

template<typename Reply>
void Require(const PeerResult<Reply>& aReply)
{
  if (!aReply) {
    std::cerr << "call failed: " << aReply.Error().message() << "\n";
    std::exit(1);
  }
}

/// Prints what one of 7 instances spends, given the exchanges a second that it takes part in.
void PrintShares(const std::string& aPattern,
                 unsigned aExchanges,
                 double aBytesEach,
                 double aMicrosecondsBothSides)
{
  std::string prefix = "heartbeats_" + aPattern;
  Print((prefix + "_bytes_per_instance_both_ways").c_str(), aExchanges * aBytesEach, "B/s");
  // Half of the processor time of an exchange is spent on each side.
  Print((prefix + "_core_share_per_instance").c_str(),
        aExchanges * aMicrosecondsBothSides / 2 / 1e6 * 100,
        "percent");
}

void MeasureHeartbeats(PeerChannel& aChannel)
{
  Heartbeat heartbeat = MakeHeartbeat();
  auto once = [&] { Require(aChannel.SendHeartbeat(heartbeat, kTimeout)); };
  double microseconds = MicrosecondsEach(kHeartbeats, once);
  PeerTraffic before = aChannel.Traffic();
  for (unsigned i = 0; i < kHeartbeats; ++i) {
    once();
  }
  PeerTraffic after = aChannel.Traffic();
  double sent = static_cast<double>(after.bytesSent - before.bytesSent) / kHeartbeats;
  double received = static_cast<double>(after.bytesReceived - before.bytesReceived) / kHeartbeats;
  Print("heartbeat_bytes_sent", sent, "B");
  Print("heartbeat_bytes_received", received, "B");
  Print("heartbeat_processor_time_both_sides", microseconds, "us");
  PrintShares("each_sends_to_all", 2 * (kInstances - 1), sent + received, microseconds);
  // A heartbeat and its reply carry the state of both sides, so one exchange for each pair would
  // do.
  PrintShares("one_for_each_pair", kInstances - 1, sent + received, microseconds);
}

void MeasureCalls(PeerChannel& aChannel)
{
  Call call = MakeCall();
  auto once = [&] { Require(aChannel.SendCall(call, kTimeout)); };
  Print("call_processor_time_both_sides", MicrosecondsEach(kCalls, once), "us");
  auto begin = std::chrono::steady_clock::now();
  for (unsigned i = 0; i < kCalls; ++i) {
    once();
  }
  std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
  Print("calls_one_caller", kCalls / elapsed.count(), "calls/s");
  begin = std::chrono::steady_clock::now();
  std::vector<std::thread> callers;
  for (unsigned caller = 0; caller < kParallelCallers; ++caller) {
    callers.emplace_back([&] {
      for (unsigned i = 0; i < kCallsPerCaller; ++i) {
        once();
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
  auto loop = std::make_shared<RpcLoop>();
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
