#include "daisydrift/standins/TcpRelay.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace daisydrift {

namespace {

/// Bytes that a rate limit lets through at once.
constexpr std::size_t kLimitedPartBytes = 4096;

/// Connection of a client and the matching connection to the target.
struct RelayedConnection
{
  RawConnection* client = nullptr;
  std::shared_ptr<RawConnection> target;
  std::atomic<bool> isDropping{ false };
  bool isTargetReadPaused = false;
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

  /// Forwards bytes in one direction until the sender closes.
  void Forward(const std::shared_ptr<RelayedConnection>& aConnection,
               RawConnection& aFrom,
               RawConnection& aTo)
  {
    bool isClient = &aFrom == aConnection->client;
    for (;;) {
      std::string bytes = aFrom.ReceiveSome();
      {
        std::unique_lock lock(this->mutex);
        aConnection->sentByClient += isClient ? bytes : "";
        this->changed.wait(lock, [&] { return isClient || !aConnection->isTargetReadPaused; });
      }
      if (bytes.empty()) {
        break;
      }
      if (!aConnection->isDropping) {
        this->Send(aTo,
                   bytes,
                   isClient ? this->targetBytesPerSecond.load()
                            : this->clientBytesPerSecond.load());
      }
    }
    if (!aConnection->isDropping) {
      aTo.EndSending();
    }
  }

  /// Sends aBytes at a rate of at most aBytesPerSecond; 0 means no limit.
  static void Send(RawConnection& aTo, std::string_view aBytes, std::size_t aBytesPerSecond)
  {
    if (aBytesPerSecond == 0) {
      aTo.Send(aBytes);
      return;
    }
    while (!aBytes.empty()) {
      std::string_view part = aBytes.substr(0, kLimitedPartBytes);
      std::this_thread::sleep_for(
        std::chrono::microseconds(part.size() * 1'000'000 / aBytesPerSecond));
      if (!aTo.Send(part)) {
        return;
      }
      aBytes.remove_prefix(part.size());
    }
  }

  void Relay(RawConnection& aClient)
  {
    auto connection = std::make_shared<RelayedConnection>();
    connection->client = &aClient;
    connection->target = RawConnection::Connect(this->target);
    if (!connection->target) {
      return;
    }
    {
      std::lock_guard lock(this->mutex);
      this->connections.push_back(connection);
    }
    std::thread targetToClient([&] { this->Forward(connection, *connection->target, aClient); });
    this->Forward(connection, aClient, *connection->target);
    // With dropped traffic the end of one stream is not forwarded, so the other side stays open
    // until the relay stops or resets it.
    targetToClient.join();
    std::lock_guard lock(this->mutex);
    connection->hasEnded = true;
    connection->target.reset();
    this->changed.notify_all();
  }

  /// Runs aAction on each open connection, with the lock held.
  void ForEachOpen(const std::function<void(RelayedConnection&)>& aAction)
  {
    std::lock_guard lock(this->mutex);
    for (const auto& connection : this->connections) {
      if (!connection->hasEnded) {
        aAction(*connection);
      }
    }
    this->changed.notify_all();
  }

  Endpoint target;
  /// Rate limits towards each side; 0 means no limit.
  std::atomic<std::size_t> clientBytesPerSecond{ 0 };
  std::atomic<std::size_t> targetBytesPerSecond{ 0 };
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::vector<std::shared_ptr<RelayedConnection>> connections;
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
  return static_cast<unsigned>(this->state->connections.size());
}

void TcpRelay::DropTraffic()
{
  this->state->ForEachOpen([](RelayedConnection& aConnection) { aConnection.isDropping = true; });
}

void TcpRelay::StopReadingFromTarget()
{
  this->state->ForEachOpen(
    [](RelayedConnection& aConnection) { aConnection.isTargetReadPaused = true; });
}

void TcpRelay::LimitRateToClients(std::size_t aBytesPerSecond)
{
  this->state->clientBytesPerSecond = aBytesPerSecond;
}

void TcpRelay::LimitRateToTarget(std::size_t aBytesPerSecond)
{
  this->state->targetBytesPerSecond = aBytesPerSecond;
}

void TcpRelay::ResetAll()
{
  this->state->ForEachOpen([](RelayedConnection& aConnection) {
    aConnection.isTargetReadPaused = false;
    aConnection.client->Reset();
    aConnection.target->Reset();
  });
}

void TcpRelay::SendToTarget(std::string_view aBytes)
{
  std::lock_guard lock(this->state->mutex);
  RelayedConnection& connection = *this->state->connections.back();
  if (!connection.hasEnded) {
    connection.target->Send(aBytes);
  }
}

void TcpRelay::SendToClient(std::string_view aBytes)
{
  std::lock_guard lock(this->state->mutex);
  RelayedConnection& connection = *this->state->connections.back();
  if (!connection.hasEnded) {
    connection.client->Send(aBytes);
  }
}

void TcpRelay::AwaitTargetClose()
{
  std::unique_lock lock(this->state->mutex);
  std::shared_ptr<RelayedConnection> connection = this->state->connections.back();
  this->state->changed.wait(lock, [&] { return connection->hasEnded; });
}

std::string TcpRelay::SentByClient(unsigned aIndex) const
{
  std::lock_guard lock(this->state->mutex);
  return this->state->connections.at(aIndex)->sentByClient;
}

void TcpRelay::Stop()
{
  this->state->ForEachOpen([](RelayedConnection& aConnection) {
    aConnection.isTargetReadPaused = false;
    aConnection.target->Close();
  });
  this->state->listener->Stop();
}

} // namespace daisydrift
