#include "daisydrift/rpc/PeerServer.h"

#include "ListeningSocket.h"
#include "PeerServerImpl.h"

#include <cassert>

namespace daisydrift {

struct PeerServer::State
{
  State(std::shared_ptr<RpcEventLoop> aLoop, PeerService& aService, PeerServerOptions aOptions)
    : loop(std::move(aLoop))
    , service(aService)
    , options(std::move(aOptions))
  {
  }

  std::shared_ptr<RpcEventLoop> loop;
  PeerService& service;
  const PeerServerOptions options;
  Endpoint address;
  std::unique_ptr<ThreadPool> heartbeatPool;
  std::unique_ptr<ThreadPool> callPool;
  /// Set while the server runs; created and destroyed on the event loop's thread.
  std::unique_ptr<PeerServerImpl> impl;
};

PeerServer::PeerServer(std::shared_ptr<RpcEventLoop> aLoop,
                       PeerService& aService,
                       PeerServerOptions aOptions)
  : state(std::make_unique<State>(std::move(aLoop), aService, std::move(aOptions)))
{
}

PeerServer::~PeerServer()
{
  this->Stop(std::chrono::milliseconds::zero());
}

std::error_code PeerServer::Start(const Endpoint& aEndpoint)
{
  State& self = *this->state;
  assert(!self.impl);
  if (self.options.secret.empty()) {
    return Errc::InvalidArgument;
  }
  Result<ListeningSocket> socket = ListeningSocket::Open(aEndpoint);
  if (!socket) {
    return socket.Error();
  }
  self.address = socket->Address();
  self.heartbeatPool =
    std::make_unique<ThreadPool>(self.options.heartbeatThreads, self.options.maxQueuedCalls);
  self.callPool =
    std::make_unique<ThreadPool>(self.options.callThreads, self.options.maxQueuedCalls);
  EventLoopThread& loop = self.loop->Thread();
  loop.RunSync([&]() -> kj::Promise<void> {
    self.impl = std::make_unique<PeerServerImpl>(
      loop, self.service, self.options, *self.heartbeatPool, *self.callPool);
    self.impl->Listen(socket->Release(*loop.Io().lowLevelProvider));
    return kj::READY_NOW;
  });
  return {};
}

const Endpoint& PeerServer::Address() const
{
  return this->state->address;
}

bool PeerServer::Stop(std::chrono::milliseconds aTimeout)
{
  State& self = *this->state;
  if (!self.impl) {
    return true;
  }
  EventLoopThread& loop = self.loop->Thread();
  auto deadline = std::chrono::steady_clock::now() + aTimeout;
  auto rejectNewCalls = [&](PeerServerImpl::PoolKind aPoolKind) {
    loop.RunSync([&, aPoolKind]() -> kj::Promise<void> {
      self.impl->RejectNewCalls(aPoolKind);
      return kj::READY_NOW;
    });
  };
  rejectNewCalls(PeerServerImpl::PoolKind::Calls);
  bool isComplete = self.callPool->WaitIdle(deadline);
  rejectNewCalls(PeerServerImpl::PoolKind::Heartbeats);
  isComplete = self.heartbeatPool->WaitIdle(deadline) && isComplete;
  self.impl->RejectQueuedCalls();
  if (isComplete) {
    loop.RunSync([&] { return self.impl->Flush(); });
  }
  loop.RunSync([&]() -> kj::Promise<void> {
    self.impl->Close();
    return kj::READY_NOW;
  });
  self.callPool->Join();
  self.heartbeatPool->Join();
  loop.RunSync([&]() -> kj::Promise<void> {
    self.impl.reset();
    return kj::READY_NOW;
  });
  return isComplete;
}

} // namespace daisydrift
