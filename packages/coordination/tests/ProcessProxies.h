#pragma once
// Proxies between an instance and the rest of a test. They drop all calls and callbacks of a
// process that has ended, and delay the callbacks of one that is paused.

#include "VirtualLoop.h"
#include "daisydrift/coordination.h"

#include <nlohmann/json.hpp>

namespace daisydrift {

/// State of an instance's process.
struct ProcessState
{
  VirtualLoop& loop;
  bool isAlive = true;
  bool isPaused = false;
};

template<typename Callback, typename Arguments>
void Deliver(const ProcessState& aProcess, const Callback& aDone, const Arguments& aArguments)
{
  if (aProcess.isAlive && aProcess.isPaused) {
    aProcess.loop.After(std::chrono::milliseconds(1),
                        [&aProcess, aDone, aArguments] { Deliver(aProcess, aDone, aArguments); });
  } else if (aProcess.isAlive) {
    std::apply(aDone, aArguments);
  }
}

/// Wraps a callback so that it is dropped once the process has ended, and delayed while the process
/// is paused.
template<typename Callback>
auto IfAlive(const ProcessState& aProcess, Callback aDone)
{
  return [&aProcess, done = std::move(aDone)](const auto&... aArguments) {
    Deliver(aProcess, done, std::make_tuple(aArguments...));
  };
}

class EventLoopProxy : public EventLoop
{
public:
  EventLoopProxy(EventLoop& aLoop, const ProcessState& aProcess)
    : loop(aLoop)
    , process(aProcess)
  {
  }
  TimePoint Now() const override { return this->loop.Now(); }
  WallTime WallClockNow() const override { return this->loop.WallClockNow(); }
  void After(Duration aDelay, std::function<void()> aAction) override
  {
    this->loop.After(aDelay, IfAlive(this->process, std::move(aAction)));
  }

private:
  EventLoop& loop;
  const ProcessState& process;
};

class StoreProxy : public KeyValueStore
{
public:
  StoreProxy(KeyValueStore& aStore, EventLoop& aLoop, const ProcessState& aProcess)
    : store(aStore)
    , loop(aLoop)
    , process(aProcess)
  {
  }
  void Read(const std::string& aKey,
            std::function<void(const Result<std::optional<KeyValueItem>>&)> aDone) override
  {
    if (this->ShouldForward(aDone)) {
      this->store.Read(aKey, IfAlive(this->process, std::move(aDone)));
    }
  }
  void ReadPage(const std::string& aPrefix,
                const std::string& aAfter,
                std::function<void(const Result<KeyValuePage>&)> aDone) override
  {
    if (this->ShouldForward(aDone)) {
      this->store.ReadPage(aPrefix, aAfter, IfAlive(this->process, std::move(aDone)));
    }
  }
  void Watch(const std::string& aPrefix,
             std::uint64_t aAfterRevision,
             Duration aWait,
             std::function<void(const Result<KeyValueChanges>&)> aDone) override
  {
    if (this->ShouldForward(aDone)) {
      this->store.Watch(aPrefix, aAfterRevision, aWait, IfAlive(this->process, std::move(aDone)));
    }
  }
  void Commit(const KeyValueTransaction& aTransaction,
              std::function<void(const Result<std::uint64_t>&)> aDone) override
  {
    if (this->ShouldForward(aDone)) {
      this->store.Commit(aTransaction, IfAlive(this->process, std::move(aDone)));
    }
  }
  void GrantLease(Duration aTimeToLive,
                  std::function<void(const Result<std::uint64_t>&)> aDone) override
  {
    if (this->ShouldForward(aDone)) {
      this->store.GrantLease(aTimeToLive, IfAlive(this->process, std::move(aDone)));
    }
  }
  void RenewLease(std::uint64_t aLease, std::function<void(std::error_code)> aDone) override
  {
    if (this->ShouldForward(aDone)) {
      this->store.RenewLease(aLease, IfAlive(this->process, std::move(aDone)));
    }
  }

  /// The store answers the calls of this process with Overloaded and does not carry them out.
  bool isRefusingCalls = false;

private:
  /// True when the call is to be passed on to the store.
  template<typename Callback>
  bool ShouldForward(const Callback& aDone)
  {
    if (this->process.isAlive && this->isRefusingCalls) {
      this->loop.After(std::chrono::milliseconds(1),
                       [aDone] { aDone(make_error_code(Errc::Overloaded)); });
    }
    return this->process.isAlive && !this->isRefusingCalls;
  }

  KeyValueStore& store;
  EventLoop& loop;
  const ProcessState& process;
};

class WorkerGatewayProxy : public WorkerGateway
{
public:
  WorkerGatewayProxy(WorkerGateway& aWorkers, const ProcessState& aProcess)
    : workers(aWorkers)
    , process(aProcess)
  {
  }
  void Start(const WorkerListing& aWorker,
             const StartCommand& aCommand,
             std::chrono::milliseconds aLease,
             Epoch aFencingToken,
             std::function<void(StartResult, bool)> aDone) override
  {
    if (this->process.isAlive) {
      this->workers.Start(
        aWorker, aCommand, aLease, aFencingToken, IfAlive(this->process, std::move(aDone)));
    }
  }
  void Stop(const WorkerListing& aWorker,
            const StopCommand& aCommand,
            Epoch aFencingToken,
            std::function<void(std::error_code)> aDone) override
  {
    if (this->process.isAlive) {
      this->workers.Stop(
        aWorker, aCommand, aFencingToken, IfAlive(this->process, std::move(aDone)));
    }
  }
  void Throttle(const WorkerListing& aWorker,
                const ThrottleCommand& aCommand,
                Epoch aFencingToken,
                std::function<void(std::error_code)> aDone) override
  {
    if (this->process.isAlive) {
      this->workers.Throttle(
        aWorker, aCommand, aFencingToken, IfAlive(this->process, std::move(aDone)));
    }
  }
  void Poll(const WorkerListing& aWorker,
            const PollRequest& aRequest,
            Epoch aFencingToken,
            std::function<void(const Result<WorkerReport>&)> aDone) override
  {
    if (this->process.isAlive) {
      this->workers.Poll(
        aWorker, aRequest, aFencingToken, IfAlive(this->process, std::move(aDone)));
    }
  }

private:
  WorkerGateway& workers;
  const ProcessState& process;
};

class PeerTransportProxy : public PeerTransport
{
public:
  PeerTransportProxy(PeerTransport& aPeers, const ProcessState& aProcess)
    : peers(aPeers)
    , process(aProcess)
  {
  }
  void Call(const SocketEndpoint& aPeer,
            const std::string& aMethod,
            const nlohmann::json& aArguments,
            Duration aTimeout,
            std::function<void(const Result<nlohmann::json>&)> aDone) override
  {
    if (this->process.isAlive) {
      this->peers.Call(
        aPeer, aMethod, aArguments, aTimeout, IfAlive(this->process, std::move(aDone)));
    }
  }

private:
  PeerTransport& peers;
  const ProcessState& process;
};

} // namespace daisydrift
