#include "daisydrift/standins/TcpRelay.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace daisydrift {

namespace {

/// One relayed connection.
struct Pair
{
  RawConnection* client = nullptr;
  std::shared_ptr<RawConnection> target;
  std::atomic<bool> isSilent{ false };
  bool isStalled = false;
  bool hasEnded = false;
  std::string sentByClient;
};

} // namespace

struct TcpRelay::State
{
  explicit State(Endpoint aTarget)
    : target(std::move(aTarget))
  {
  }

  /// Passes bytes in one direction until the sender ends.
  void Pump(const std::shared_ptr<Pair>& aPair, RawConnection& aFrom, RawConnection& aTo)
  {
    bool isClient = &aFrom == aPair->client;
    for (;;) {
      std::string bytes = aFrom.ReceiveSome();
      {
        std::unique_lock lock(this->mutex);
        aPair->sentByClient += isClient ? bytes : "";
        this->changed.wait(lock, [&] { return isClient || !aPair->isStalled; });
      }
      if (bytes.empty()) {
        break;
      }
      if (!aPair->isSilent) {
        aTo.Send(bytes);
      }
    }
    if (!aPair->isSilent) {
      aTo.EndSending();
    }
  }

  void Relay(RawConnection& aClient)
  {
    auto pair = std::make_shared<Pair>();
    pair->client = &aClient;
    pair->target = RawConnection::Connect(this->target);
    if (!pair->target) {
      return;
    }
    {
      std::lock_guard lock(this->mutex);
      this->pairs.push_back(pair);
    }
    std::thread back([&] { this->Pump(pair, *pair->target, aClient); });
    this->Pump(pair, aClient, *pair->target);
    // A silent side keeps the other open until the relay stops or resets it.
    back.join();
    std::lock_guard lock(this->mutex);
    pair->hasEnded = true;
    pair->target.reset();
    this->changed.notify_all();
  }

  /// Runs aAction on each open pair, under the lock.
  void ForEachOpen(const std::function<void(Pair&)>& aAction)
  {
    std::lock_guard lock(this->mutex);
    for (const auto& pair : this->pairs) {
      if (!pair->hasEnded) {
        aAction(*pair);
      }
    }
    this->changed.notify_all();
  }

  Endpoint target;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::vector<std::shared_ptr<Pair>> pairs;
  std::unique_ptr<RawListener> listener;
};

TcpRelay::TcpRelay(Endpoint aTarget)
  : state(std::make_unique<State>(std::move(aTarget)))
{
  State* self = this->state.get();
  self->listener = std::make_unique<RawListener>(
    [self](RawConnection& aClient, unsigned) { self->Relay(aClient); });
}

TcpRelay::~TcpRelay()
{
  this->Stop();
}

const Endpoint& TcpRelay::Address() const
{
  return this->state->listener->Address();
}

unsigned TcpRelay::Accepted() const
{
  std::lock_guard lock(this->state->mutex);
  return static_cast<unsigned>(this->state->pairs.size());
}

void TcpRelay::Silence()
{
  this->state->ForEachOpen([](Pair& aPair) { aPair.isSilent = true; });
}

void TcpRelay::StopReadingFromTarget()
{
  this->state->ForEachOpen([](Pair& aPair) { aPair.isStalled = true; });
}

void TcpRelay::ResetAll()
{
  this->state->ForEachOpen([](Pair& aPair) {
    aPair.isStalled = false;
    aPair.client->Reset();
    aPair.target->Reset();
  });
}

void TcpRelay::SendToTarget(std::string_view aBytes)
{
  std::lock_guard lock(this->state->mutex);
  Pair& pair = *this->state->pairs.back();
  if (!pair.hasEnded) {
    pair.target->Send(aBytes);
  }
}

void TcpRelay::SendToClient(std::string_view aBytes)
{
  std::lock_guard lock(this->state->mutex);
  Pair& pair = *this->state->pairs.back();
  if (!pair.hasEnded) {
    pair.client->Send(aBytes);
  }
}

void TcpRelay::AwaitTargetEnd()
{
  std::unique_lock lock(this->state->mutex);
  std::shared_ptr<Pair> pair = this->state->pairs.back();
  this->state->changed.wait(lock, [&] { return pair->hasEnded; });
}

std::string TcpRelay::SentByClient(unsigned aIndex) const
{
  std::lock_guard lock(this->state->mutex);
  return this->state->pairs.at(aIndex)->sentByClient;
}

void TcpRelay::Stop()
{
  this->state->ForEachOpen([](Pair& aPair) {
    aPair.isStalled = false;
    aPair.target->Close();
  });
  this->state->listener->Stop();
}

} // namespace daisydrift
