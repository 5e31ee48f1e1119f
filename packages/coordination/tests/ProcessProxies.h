#pragma once
// Proxies between an instance and the rest of a test. They drop all calls and callbacks of a
// process that has ended, and delay the callbacks of one that is paused.

#include "VirtualLoop.h"
#include "daisydrift/coordination.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <set>

namespace daisydrift {

/// Time that a machine needs for messages; the default is none.
struct MachineSpeed
{
  /// Processor time of one received call or response.
  Duration messageTime{ 0 };
  /// Processor time and transfer time of a kilobyte of a long message.
  Duration kilobyteProcessingTime{ 0 };
  Duration kilobyteTransferTime{ 0 };
};

/// State of an instance's process.
struct ProcessState
{
  VirtualLoop& loop;
  MachineSpeed speed;
  bool isAlive = true;
  bool isPaused = false;
  /// The store carries out no call of this process and answers none.
  bool isStoreSilent = false;
  /// Messages between the process and the store, or other instances, are lost.
  bool isCutOff = false;
  /// Workers that do not exchange messages with the process.
  std::set<WorkerId> unreachable;
  /// Times at which the processor and the link have done what has arrived so far.
  TimePoint processorFreeAt;
  TimePoint linkFreeAt;
  /// Runs what is delivered to the process, to measure it; empty for no measurement.
  std::function<void(const std::function<void()>&)> execute;
  /// Called for each call that the process sends or serves, with the bytes of keys, values or
  /// arguments that it knows; empty for none.
  std::function<void(const std::string& aKind, std::size_t aBytes)> onMessage;

  void CountMessage(const std::string& aKind, std::size_t aBytes) const
  {
    if (this->isAlive && this->onMessage) {
      this->onMessage(aKind, aBytes);
    }
  }
};

/// Time after which a caller gives up a call whose response is lost.
constexpr std::chrono::milliseconds kLostCallTimeout{ 900 };

/// Replaces the response by one call of aLost, later, if aIsLost says so on its arrival.
template<typename Callback, typename IsLost, typename Lost>
auto UnlessLost(const ProcessState& aProcess, Callback aDone, IsLost aIsLost, Lost aLost)
{
  return [&aProcess, done = std::move(aDone), aIsLost, aLost](const auto&... aArguments) {
    if (aIsLost()) {
      aProcess.loop.After(kLostCallTimeout, [done, aLost] { aLost(done); });
    } else {
      done(aArguments...);
    }
  };
}

template<typename Callback, typename Arguments>
void Deliver(const ProcessState& aProcess, const Callback& aDone, const Arguments& aArguments)
{
  if (aProcess.isAlive && aProcess.isPaused) {
    aProcess.loop.After(std::chrono::milliseconds(1),
                        [&aProcess, aDone, aArguments] { Deliver(aProcess, aDone, aArguments); });
  } else if (aProcess.isAlive && aProcess.execute) {
    aProcess.execute([&] { std::apply(aDone, aArguments); });
  } else if (aProcess.isAlive) {
    std::apply(aDone, aArguments);
  }
}

/// Delivers after the messages that have arrived before and aTime of the processor.
template<typename Callback, typename Arguments>
void DeliverInTurn(ProcessState& aProcess,
                   Duration aTime,
                   const Callback& aDone,
                   const Arguments& aArguments)
{
  TimePoint now = aProcess.loop.Now();
  aProcess.processorFreeAt = std::max(aProcess.processorFreeAt, now) + aTime;
  if (aProcess.processorFreeAt == now) {
    Deliver(aProcess, aDone, aArguments);
    return;
  }
  aProcess.loop.After(aProcess.processorFreeAt - now,
                      [&aProcess, aDone, aArguments] { Deliver(aProcess, aDone, aArguments); });
}

/// Wraps a callback so that it is dropped once the process has ended, and delayed while the process
/// is paused or busy.
template<typename Callback>
auto IfAlive(ProcessState& aProcess, Callback aDone)
{
  return [&aProcess, done = std::move(aDone)](const auto&... aArguments) {
    DeliverInTurn(aProcess, aProcess.speed.messageTime, done, std::make_tuple(aArguments...));
  };
}

/// Bytes of the items, changes or puts as the platform encodes them.
template<typename Entries>
std::size_t CountBytes(const Entries& aEntries)
{
  constexpr std::size_t kFieldBytes = 60;
  std::size_t bytes = 0;
  for (const auto& entry : aEntries) {
    std::size_t valueBytes = 0;
    if constexpr (requires { entry.value->size(); }) {
      valueBytes = entry.value ? entry.value->size() : 0;
    } else {
      valueBytes = entry.value.size();
    }
    bytes += kFieldBytes + (entry.key.size() + valueBytes) * 4 / 3;
  }
  return bytes;
}

/// Wraps a callback for a long response: it arrives after its transfer, or is lost when that takes
/// longer than the time limit of the call.
template<typename Response, typename Count>
auto AfterTransfer(ProcessState& aProcess,
                   std::function<void(const Result<Response>&)> aDone,
                   const char* aKind,
                   Count aCountBytes)
{
  return
    [&aProcess, done = std::move(aDone), aKind, aCountBytes](const Result<Response>& aResponse) {
      constexpr std::chrono::milliseconds kTimeLimit{ 900 };
      TimePoint now = aProcess.loop.Now();
      std::size_t bytes = aResponse ? aCountBytes(*aResponse) : std::size_t(0);
      aProcess.CountMessage(aKind, bytes);
      auto kilobytes = static_cast<std::int64_t>(bytes / 1024);
      TimePoint arrivedAt =
        std::max(aProcess.linkFreeAt, now) + kilobytes * aProcess.speed.kilobyteTransferTime;
      Duration processing =
        aProcess.speed.messageTime + kilobytes * aProcess.speed.kilobyteProcessingTime;
      if (std::max(arrivedAt, aProcess.processorFreeAt) + processing > now + kTimeLimit) {
        // The connection is closed at the limit; until then it has used the link.
        aProcess.linkFreeAt = std::min(arrivedAt, now + kTimeLimit);
        aProcess.loop.After(kTimeLimit, [&aProcess, done] {
          DeliverInTurn(aProcess,
                        aProcess.speed.messageTime,
                        done,
                        std::make_tuple(Result<Response>(Errc::OutcomeUnknown)));
        });
        return;
      }
      aProcess.linkFreeAt = arrivedAt;
      if (arrivedAt == now) {
        DeliverInTurn(aProcess, processing, done, std::make_tuple(aResponse));
        return;
      }
      aProcess.loop.After(arrivedAt - now, [&aProcess, done, aResponse, processing] {
        DeliverInTurn(aProcess, processing, done, std::make_tuple(aResponse));
      });
    };
}

class EventLoopProxy : public EventLoop
{
public:
  EventLoopProxy(EventLoop& aLoop, ProcessState& aProcess)
    : loop(aLoop)
    , process(aProcess)
  {
  }
  TimePoint Now() const override { return this->loop.Now(); }
  WallTime WallClockNow() const override { return this->loop.WallClockNow(); }
  void After(Duration aDelay, std::function<void()> aAction) override
  {
    this->loop.After(aDelay, [&process = this->process, action = std::move(aAction)] {
      DeliverInTurn(process, Duration(0), action, std::make_tuple());
    });
  }

private:
  EventLoop& loop;
  ProcessState& process;
};

class StoreProxy : public KeyValueStore
{
private:
  /// The callback for a call that is passed on.
  template<typename Callback>
  auto Wrap(Callback aDone)
  {
    return this->UnlessCutOff(IfAlive(this->process, std::move(aDone)));
  }
  /// The response is lost when the process is cut off as it arrives.
  template<typename Callback>
  auto UnlessCutOff(Callback aDone)
  {
    return UnlessLost(
      this->process,
      std::move(aDone),
      [this] { return this->process.isCutOff; },
      [](const auto& aLost) { aLost(make_error_code(Errc::OutcomeUnknown)); });
  }

public:
  StoreProxy(KeyValueStore& aStore, EventLoop& aLoop, ProcessState& aProcess)
    : store(aStore)
    , loop(aLoop)
    , process(aProcess)
  {
  }
  void Read(const std::string& aKey,
            std::function<void(const Result<std::optional<KeyValueItem>>&)> aDone) override
  {
    if (this->ShouldForward(aDone)) {
      this->store.Read(aKey, this->Wrap(std::move(aDone)));
    }
  }
  void ReadPage(const std::string& aPrefix,
                const std::string& aAfter,
                std::function<void(const Result<KeyValuePage>&)> aDone,
                std::function<bool()> aOnProgress) override
  {
    if (this->ShouldForward(aDone)) {
      this->store.ReadPage(aPrefix,
                           aAfter,
                           this->UnlessCutOff(AfterTransfer(
                             this->process,
                             std::move(aDone),
                             "page",
                             [](const auto& aPage) { return CountBytes(aPage.items); })),
                           std::move(aOnProgress));
    }
  }
  void Watch(const std::string& aPrefix,
             std::uint64_t aAfterRevision,
             Duration aWait,
             std::function<void(const Result<KeyValueChanges>&)> aDone,
             std::function<bool()> aOnProgress) override
  {
    if (this->ShouldForward(aDone)) {
      this->store.Watch(aPrefix,
                        aAfterRevision,
                        aWait,
                        this->UnlessCutOff(AfterTransfer(
                          this->process,
                          std::move(aDone),
                          "changes",
                          [](const auto& aChanges) { return CountBytes(aChanges.changes); })),
                        std::move(aOnProgress));
    }
  }
  void Commit(const KeyValueTransaction& aTransaction,
              std::function<void(const Result<std::uint64_t>&)> aDone) override
  {
    if (this->ShouldForward(aDone)) {
      this->process.CountMessage("commit", CountBytes(aTransaction.puts));
      this->store.Commit(aTransaction, this->Wrap(std::move(aDone)));
    }
  }
  void GrantLease(Duration aTimeToLive,
                  std::function<void(const Result<std::uint64_t>&)> aDone) override
  {
    if (this->ShouldForward(aDone)) {
      this->store.GrantLease(aTimeToLive, this->Wrap(std::move(aDone)));
    }
  }
  void RenewLease(std::uint64_t aLease, std::function<void(std::error_code)> aDone) override
  {
    if (this->ShouldForward(aDone)) {
      this->store.RenewLease(aLease, this->Wrap(std::move(aDone)));
    }
  }

  /// The store answers the calls of this process with Overloaded and does not carry them out.
  bool isRefusingCalls = false;

private:
  /// True when the call is to be passed on to the store.
  template<typename Callback>
  bool ShouldForward(const Callback& aDone)
  {
    if (this->process.isAlive && this->process.isCutOff) {
      this->loop.After(kLostCallTimeout, [aDone] { aDone(make_error_code(Errc::OutcomeUnknown)); });
      return false;
    }
    if (this->process.isAlive && this->isRefusingCalls) {
      this->loop.After(std::chrono::milliseconds(1),
                       [aDone] { aDone(make_error_code(Errc::Overloaded)); });
    }
    if (this->process.isAlive && this->process.isStoreSilent && !this->isRefusingCalls) {
      this->loop.After(std::chrono::milliseconds(900),
                       [aDone] { aDone(make_error_code(Errc::OutcomeUnknown)); });
      return false;
    }
    return this->process.isAlive && !this->isRefusingCalls;
  }

  KeyValueStore& store;
  EventLoop& loop;
  ProcessState& process;
};

class WorkerGatewayProxy : public WorkerGateway
{
public:
  WorkerGatewayProxy(WorkerGateway& aWorkers, ProcessState& aProcess)
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
    this->process.CountMessage("start", 0);
    this->Send(
      aWorker.id,
      [&](auto aWrapped) {
        this->workers.Start(aWorker, aCommand, aLease, aFencingToken, aWrapped);
      },
      std::move(aDone),
      [](const auto& aLost) { aLost(StartResult::Unknown, false); });
  }
  void Stop(const WorkerListing& aWorker,
            const StopCommand& aCommand,
            Epoch aFencingToken,
            std::function<void(std::error_code)> aDone) override
  {
    this->Send(
      aWorker.id,
      [&](auto aWrapped) { this->workers.Stop(aWorker, aCommand, aFencingToken, aWrapped); },
      std::move(aDone),
      [](const auto& aLost) { aLost(make_error_code(Errc::OutcomeUnknown)); });
  }
  void Throttle(const WorkerListing& aWorker,
                const ThrottleCommand& aCommand,
                Epoch aFencingToken,
                std::function<void(std::error_code)> aDone) override
  {
    this->Send(
      aWorker.id,
      [&](auto aWrapped) { this->workers.Throttle(aWorker, aCommand, aFencingToken, aWrapped); },
      std::move(aDone),
      [](const auto& aLost) { aLost(make_error_code(Errc::OutcomeUnknown)); });
  }
  void Poll(const WorkerListing& aWorker,
            const PollRequest& aRequest,
            Epoch aFencingToken,
            std::function<void(const Result<WorkerReport>&)> aDone) override
  {
    this->process.CountMessage("poll", 0);
    this->Send(
      aWorker.id,
      [&](auto aWrapped) { this->workers.Poll(aWorker, aRequest, aFencingToken, aWrapped); },
      std::move(aDone),
      [](const auto& aLost) { aLost(make_error_code(Errc::OutcomeUnknown)); });
  }

private:
  /// Sends a command with aSend; aLost is called instead of the response to a lost one.
  template<typename Sender, typename Callback, typename Lost>
  void Send(const WorkerId& aWorker, const Sender& aSend, Callback aDone, Lost aLost)
  {
    if (!this->process.isAlive) {
      return;
    }
    auto done = IfAlive(this->process, std::move(aDone));
    auto isLost = [this, aWorker] { return this->process.unreachable.count(aWorker) != 0; };
    if (isLost()) {
      this->process.loop.After(kLostCallTimeout, [done, aLost] { aLost(done); });
    } else {
      aSend(UnlessLost(this->process, done, isLost, aLost));
    }
  }

  WorkerGateway& workers;
  ProcessState& process;
};

/// Limits the open calls to another instance as HttpPeerTransport does. Further calls wait, and end
/// as not sent when their time is over.
class PeerTransportProxy : public PeerTransport
{
public:
  PeerTransportProxy(PeerTransport& aPeers, EventLoop& aLoop, ProcessState& aProcess)
    : peers(aPeers)
    , loop(aLoop)
    , process(aProcess)
  {
  }
  void Call(const SocketEndpoint& aPeer,
            const std::string& aMethod,
            const nlohmann::json& aArguments,
            Duration aTimeout,
            std::function<void(const Result<nlohmann::json>&)> aDone) override
  {
    if (this->process.isAlive && this->process.isCutOff) {
      this->process.loop.After(aTimeout, [done = IfAlive(this->process, std::move(aDone))] {
        done(Errc::OutcomeUnknown);
      });
      return;
    }
    Pool& pool = this->PoolFor(aPeer, aMethod);
    auto call = std::make_shared<PendingCall>(
      PendingCall{ aPeer, aMethod, aArguments, this->loop.Now() + aTimeout, std::move(aDone) });
    pool.waiting.push_back(call);
    this->SendWaiting(pool);
    if (!call->wasSent) {
      this->loop.After(aTimeout, [&pool, call] {
        if (!call->wasSent) {
          std::erase(pool.waiting, call);
          call->done(Errc::DeadlineExceeded);
        }
      });
    }
  }

private:
  struct PendingCall
  {
    SocketEndpoint peer;
    std::string method;
    nlohmann::json arguments;
    TimePoint deadline;
    std::function<void(const Result<nlohmann::json>&)> done;
    bool wasSent = false;
  };
  struct Pool
  {
    std::size_t maxOpen = 0;
    std::size_t open = 0;
    std::deque<std::shared_ptr<PendingCall>> waiting;
  };

  Pool& PoolFor(const SocketEndpoint& aPeer, const std::string& aMethod)
  {
    bool isQuery = aMethod == "query" || aMethod == "pending";
    bool isChange = aMethod == "cancel" || aMethod == "submit";
    int kind = isQuery ? 0 : isChange ? 1 : 2;
    Pool& pool = this->pools[{ aPeer.port, kind }];
    pool.maxOpen = isQuery || isChange ? 8 : 4;
    return pool;
  }

  void SendWaiting(Pool& aPool)
  {
    while (!aPool.waiting.empty() && aPool.open < aPool.maxOpen) {
      std::shared_ptr<PendingCall> call = std::move(aPool.waiting.front());
      aPool.waiting.pop_front();
      call->wasSent = true;
      ++aPool.open;
      auto done = [this, &aPool, call](const Result<nlohmann::json>& aResponse) {
        --aPool.open;
        this->SendWaiting(aPool);
        call->done(aResponse);
      };
      if (this->process.isAlive) {
        this->peers.Call(call->peer,
                         call->method,
                         call->arguments,
                         std::max(call->deadline - this->loop.Now(), Duration(0)),
                         IfAlive(this->process, std::move(done)));
      }
    }
  }

  PeerTransport& peers;
  EventLoop& loop;
  ProcessState& process;
  /// By port and kind of call.
  std::map<std::pair<unsigned short, int>, Pool> pools;
};

} // namespace daisydrift
