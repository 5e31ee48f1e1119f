#include "daisydrift/rpc/PeerServer.h"

#include "ListeningSocket.h"
#include "ServerCore.h"

#include <cassert>

namespace daisydrift {

struct PeerServer::State
{
  State(std::shared_ptr<RpcLoop> aLoop, PeerService& aService, PeerServerOptions aOptions)
    : loop(std::move(aLoop))
    , service(aService)
    , options(std::move(aOptions))
  {
  }

  std::shared_ptr<RpcLoop> loop;
  PeerService& service;
  const PeerServerOptions options;
  Endpoint address;
  std::unique_ptr<WorkPool> heartbeatPool;
  std::unique_ptr<WorkPool> callPool;
  /// Set while the server runs; made and destroyed on the loop's thread.
  std::unique_ptr<ServerCore> core;
};

PeerServer::PeerServer(std::shared_ptr<RpcLoop> aLoop,
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
  assert(!self.core);
  if (self.options.secret.empty()) {
    return Errc::InvalidArgument;
  }
  Result<ListeningSocket> socket = ListeningSocket::Open(aEndpoint);
  if (!socket) {
    return socket.Error();
  }
  self.address = socket->Address();
  self.heartbeatPool =
    std::make_unique<WorkPool>(self.options.heartbeatThreads, self.options.maxWaitingCalls);
  self.callPool =
    std::make_unique<WorkPool>(self.options.callThreads, self.options.maxWaitingCalls);
  LoopThread& loop = self.loop->Thread();
  loop.RunSync([&]() -> kj::Promise<void> {
    self.core = std::make_unique<ServerCore>(
      loop, self.service, self.options, *self.heartbeatPool, *self.callPool);
    self.core->Listen(socket->Take(*loop.Io().lowLevelProvider));
    return kj::READY_NOW;
  });
  return {};
}

const Endpoint& PeerServer::Address() const
{
  return this->state->address;
}

bool PeerServer::Stop(std::chrono::milliseconds aLimit)
{
  State& self = *this->state;
  if (!self.core) {
    return true;
  }
  LoopThread& loop = self.loop->Thread();
  auto end = std::chrono::steady_clock::now() + aLimit;
  auto refuse = [&](ServerCore::Lane aLane) {
    loop.RunSync([&, aLane]() -> kj::Promise<void> {
      self.core->Refuse(aLane);
      return kj::READY_NOW;
    });
  };
  refuse(ServerCore::Lane::Calls);
  bool isComplete = self.callPool->WaitIdle(end);
  refuse(ServerCore::Lane::Heartbeats);
  isComplete = self.heartbeatPool->WaitIdle(end) && isComplete;
  self.core->Abandon();
  if (isComplete) {
    loop.RunSync([&] { return self.core->Flush(); });
  }
  loop.RunSync([&]() -> kj::Promise<void> {
    self.core->Close();
    return kj::READY_NOW;
  });
  self.callPool->Join();
  self.heartbeatPool->Join();
  loop.RunSync([&]() -> kj::Promise<void> {
    self.core.reset();
    return kj::READY_NOW;
  });
  return isComplete;
}

} // namespace daisydrift
