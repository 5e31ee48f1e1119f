#include "RpcTesting.h"

namespace daisydrift {

void Gate::Open()
{
  std::lock_guard lock(this->mutex);
  this->isOpen = true;
  this->changed.notify_all();
}

void Gate::Pass()
{
  std::unique_lock lock(this->mutex);
  ++this->arrived;
  this->changed.notify_all();
  this->changed.wait_for(lock, kHangTimeout, [this] { return this->isOpen; });
}

bool Gate::WaitForArrivals(unsigned aCount)
{
  std::unique_lock lock(this->mutex);
  return this->changed.wait_for(lock, kHangTimeout, [&] { return this->arrived >= aCount; });
}

Result<HeartbeatReply> TestService::OnHeartbeat(const Heartbeat& aHeartbeat)
{
  return this->heartbeat ? this->heartbeat(aHeartbeat) : Result<HeartbeatReply>(aHeartbeat);
}

Result<CallReply> TestService::OnCall(const Call& aCall)
{
  if (this->call) {
    return this->call(aCall);
  }
  return CallReply{ 200, "text/plain", aCall.body, {} };
}

Result<ForwardedReply> TestService::OnForwardedRequest(const ForwardedRequest& aRequest)
{
  if (this->forward) {
    return this->forward(aRequest);
  }
  return ForwardedReply{ 200, aRequest.headers, aRequest.body, "ran", "" };
}

Result<ConfigReply> TestService::OnFetchConfig()
{
  return this->config ? this->config() : Result<ConfigReply>(ConfigReply{ 1, "{}" });
}

Result<SuccessorAck> TestService::OnSuccessor(const SuccessorNotice& aNotice)
{
  if (this->successor) {
    return this->successor(aNotice);
  }
  return SuccessorAck{ true, aNotice.seat, std::chrono::seconds(1) };
}

PeerChannelOptions ValidOptions()
{
  PeerChannelOptions options{ .secret = "s3cret" };
  options.connectTimeout = kHangTimeout;
  return options;
}

Fixture::Fixture(PeerServerOptions aOptions)
  : server(this->loop, this->service, std::move(aOptions))
{
  std::error_code error = this->server.Start({ "127.0.0.1", 0 });
  if (error) {
    throw std::system_error(error);
  }
}

std::unique_ptr<PeerChannel> Fixture::Channel(PeerChannelOptions aOptions)
{
  return std::make_unique<PeerChannel>(this->loop, this->server.Address(), std::move(aOptions));
}

bool Fixture::ServesValidClient()
{
  auto channel = this->Channel();
  auto heartbeat = channel->SendHeartbeat(MakeHeartbeat(), kHangTimeout);
  return heartbeat && *heartbeat == MakeHeartbeat();
}

Call MakeCall(const std::string& aBody)
{
  Call call;
  call.body = aBody;
  call.timeout = kHangTimeout;
  return call;
}

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
  heartbeat.successors = { { "seat/2", 9 }, { "scheduler/lutruwita", 12 } };
  heartbeat.freeSlots = { { "bursary-desk", 41 }, { "engraving-desk", 7 } };
  heartbeat.http = { "127.0.0.1", 8080 };
  return heartbeat;
}

} // namespace daisydrift
