#pragma once
// What stands between an instance and the rest of a test: once its process has ended, no call
// leaves it and no answer reaches it.

#include "VirtualLoop.h"
#include "daisydrift/coordination.h"

#include <nlohmann/json.hpp>

namespace daisydrift {

/// Wraps a callback so that it runs only while aIsAlive.
template<typename Callback>
auto WhileAlive(const bool& aIsAlive, Callback aDone)
{
  return [&aIsAlive, done = std::move(aDone)](auto&&... aArguments) {
    if (aIsAlive) {
      done(std::forward<decltype(aArguments)>(aArguments)...);
    }
  };
}

class LoopGate : public EventLoop
{
public:
  LoopGate(EventLoop& aLoop, const bool& aIsAlive)
    : loop(aLoop)
    , isAlive(aIsAlive)
  {
  }
  TimePoint Now() const override { return this->loop.Now(); }
  WallTime Wall() const override { return this->loop.Wall(); }
  void After(Duration aDelay, std::function<void()> aAction) override
  {
    this->loop.After(aDelay, WhileAlive(this->isAlive, std::move(aAction)));
  }

private:
  EventLoop& loop;
  const bool& isAlive;
};

class StoreGate : public KeyValueStore
{
public:
  StoreGate(KeyValueStore& aStore, EventLoop& aLoop, const bool& aIsAlive)
    : store(aStore)
    , loop(aLoop)
    , isAlive(aIsAlive)
  {
  }
  void Read(const std::string& aKey,
            std::function<void(const Result<std::optional<KeyValueItem>>&)> aDone) override
  {
    if (this->Passes(aDone)) {
      this->store.Read(aKey, WhileAlive(this->isAlive, std::move(aDone)));
    }
  }
  void ReadPage(const std::string& aPrefix,
                const std::string& aAfter,
                std::function<void(const Result<KeyValuePage>&)> aDone) override
  {
    if (this->Passes(aDone)) {
      this->store.ReadPage(aPrefix, aAfter, WhileAlive(this->isAlive, std::move(aDone)));
    }
  }
  void Watch(const std::string& aPrefix,
             std::uint64_t aAfterRevision,
             Duration aWait,
             std::function<void(const Result<KeyValueChanges>&)> aDone) override
  {
    if (this->Passes(aDone)) {
      this->store.Watch(
        aPrefix, aAfterRevision, aWait, WhileAlive(this->isAlive, std::move(aDone)));
    }
  }
  void Commit(const KeyValueTransaction& aTransaction,
              std::function<void(const Result<std::uint64_t>&)> aDone) override
  {
    if (this->Passes(aDone)) {
      this->store.Commit(aTransaction, WhileAlive(this->isAlive, std::move(aDone)));
    }
  }
  void GrantLease(Duration aTimeToLive,
                  std::function<void(const Result<std::uint64_t>&)> aDone) override
  {
    if (this->Passes(aDone)) {
      this->store.GrantLease(aTimeToLive, WhileAlive(this->isAlive, std::move(aDone)));
    }
  }
  void RenewLease(std::uint64_t aLease, std::function<void(std::error_code)> aDone) override
  {
    if (this->Passes(aDone)) {
      this->store.RenewLease(aLease, WhileAlive(this->isAlive, std::move(aDone)));
    }
  }

  /// The store answers this process that it is busy, and does nothing.
  bool isTurnedAway = false;

private:
  /// True when a call goes on to the store.
  template<typename Callback>
  bool Passes(const Callback& aDone)
  {
    if (this->isAlive && this->isTurnedAway) {
      this->loop.After(std::chrono::milliseconds(1),
                       [aDone] { aDone(make_error_code(Errc::Overloaded)); });
    }
    return this->isAlive && !this->isTurnedAway;
  }

  KeyValueStore& store;
  EventLoop& loop;
  const bool& isAlive;
};

class WorkerGate : public WorkerGateway
{
public:
  WorkerGate(WorkerGateway& aWorkers, const bool& aIsAlive)
    : workers(aWorkers)
    , isAlive(aIsAlive)
  {
  }
  void Start(const WorkerListing& aWorker,
             const StartOrder& aOrder,
             std::chrono::milliseconds aLease,
             Epoch aFence,
             std::function<void(StartAnswer, bool)> aDone) override
  {
    if (this->isAlive) {
      this->workers.Start(
        aWorker, aOrder, aLease, aFence, WhileAlive(this->isAlive, std::move(aDone)));
    }
  }
  void Stop(const WorkerListing& aWorker,
            const StopOrder& aOrder,
            Epoch aFence,
            std::function<void(std::error_code)> aDone) override
  {
    if (this->isAlive) {
      this->workers.Stop(aWorker, aOrder, aFence, WhileAlive(this->isAlive, std::move(aDone)));
    }
  }
  void Pace(const WorkerListing& aWorker,
            const PaceOrder& aOrder,
            Epoch aFence,
            std::function<void(std::error_code)> aDone) override
  {
    if (this->isAlive) {
      this->workers.Pace(aWorker, aOrder, aFence, WhileAlive(this->isAlive, std::move(aDone)));
    }
  }
  void Look(const WorkerListing& aWorker,
            const LookRequest& aRequest,
            Epoch aFence,
            std::function<void(const Result<WorkerReport>&)> aDone) override
  {
    if (this->isAlive) {
      this->workers.Look(aWorker, aRequest, aFence, WhileAlive(this->isAlive, std::move(aDone)));
    }
  }

private:
  WorkerGateway& workers;
  const bool& isAlive;
};

class PeerGate : public PeerTransport
{
public:
  PeerGate(PeerTransport& aPeers, const bool& aIsAlive)
    : peers(aPeers)
    , isAlive(aIsAlive)
  {
  }
  void Call(const SocketEndpoint& aPeer,
            const std::string& aMethod,
            const nlohmann::json& aArguments,
            Duration aTimeout,
            std::function<void(const Result<nlohmann::json>&)> aDone) override
  {
    if (this->isAlive) {
      this->peers.Call(
        aPeer, aMethod, aArguments, aTimeout, WhileAlive(this->isAlive, std::move(aDone)));
    }
  }

private:
  PeerTransport& peers;
  const bool& isAlive;
};

} // namespace daisydrift
