#include "daisydrift/standins/RawListener.h"

#include "RawSocket.h"

#include <list>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace daisydrift {

namespace {

Endpoint ToEndpoint(const asio::ip::tcp::endpoint& aEndpoint)
{
  return { aEndpoint.address().to_string(), aEndpoint.port() };
}

asio::ip::tcp::endpoint AnyLoopbackPort()
{
  return { asio::ip::address_v4::loopback(), 0 };
}

} // namespace

struct RawListener::State
{
  explicit State(Script aScript)
    : script(std::move(aScript))
    , acceptor(this->context, AnyLoopbackPort())
    , address(ToEndpoint(this->acceptor.local_endpoint()))
  {
  }

  void RunAcceptLoop()
  {
    for (;;) {
      auto socket = std::make_unique<RawConnection::Socket>();
      asio::error_code error;
      this->acceptor.accept(socket->tcp, error);
      std::lock_guard lock(this->mutex);
      if (error || this->isStopping) {
        return;
      }
      socket->tcp.set_option(asio::ip::tcp::no_delay(true), error);
      auto connection = std::make_shared<RawConnection>(std::move(socket));
      unsigned index = this->acceptedCount++;
      this->openConnections.push_back(connection);
      this->threads.emplace_back([this, index, connection]() mutable {
        this->script(*connection, index);
        std::lock_guard removalLock(this->mutex);
        this->openConnections.remove(connection);
        connection.reset();
      });
    }
  }

  Script script;
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor;
  Endpoint address;
  mutable std::mutex mutex;
  bool isStopping = false;
  unsigned acceptedCount = 0;
  std::list<std::shared_ptr<RawConnection>> openConnections;
  std::list<std::thread> threads;
  std::thread acceptThread;
};

RawListener::RawListener(Script aScript)
  : state(std::make_unique<State>(std::move(aScript)))
{
  State* self = this->state.get();
  self->acceptThread = std::thread([self] { self->RunAcceptLoop(); });
}

RawListener::~RawListener()
{
  this->Stop();
}

const Endpoint& RawListener::Address() const
{
  return this->state->address;
}

unsigned RawListener::Accepted() const
{
  std::lock_guard lock(this->state->mutex);
  return this->state->acceptedCount;
}

void RawListener::Stop()
{
  State& self = *this->state;
  if (!self.acceptThread.joinable()) {
    return;
  }
  {
    std::lock_guard lock(self.mutex);
    self.isStopping = true;
    for (const auto& connection : self.openConnections) {
      connection->Close();
    }
  }
  // Unblocks the pending accept.
  RawConnection::Connect(self.address);
  self.acceptThread.join();
  asio::error_code error;
  self.acceptor.close(error);
  for (std::thread& thread : self.threads) {
    thread.join();
  }
}

void NeverRespond(RawConnection& aConnection, unsigned)
{
  aConnection.AwaitClose();
}

Endpoint RefusingEndpoint()
{
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context, AnyLoopbackPort());
  return ToEndpoint(acceptor.local_endpoint());
}

} // namespace daisydrift
