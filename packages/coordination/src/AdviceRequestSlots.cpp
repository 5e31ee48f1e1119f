#include "AdviceRequestSlots.h"

#include "RecordCodec.h"
#include "daisydrift/coordination/JsonFields.h"

namespace daisydrift::coordination {

using nlohmann::json;

namespace {
/// Added to the expected response time for the hop through another instance.
constexpr std::chrono::milliseconds kForwardingTime{ 500 };
/// Time for which an instance gets no requests after one failed.
constexpr std::chrono::milliseconds kFailurePause{ 1000 };
/// Subtracted from the validity of the tickets for the transit time of the response.
constexpr std::chrono::milliseconds kValidityMargin{ 30 };
} // namespace

json ToJson(const AdviceResponse& aResponse)
{
  json record{ { "validity_us", aResponse.validity.count() }, { "grants", json::array() } };
  for (const AdviceGrant& grant : aResponse.grants) {
    record["grants"].push_back(json::array({ grant.worker, grant.ticket }));
  }
  return record;
}

std::optional<AdviceResponse> AdviceResponseFromJson(const json& aRecord, std::string* aError)
{
  JsonFields fields(aRecord);
  fields.Require({ "grants" });
  AdviceResponse response;
  response.validity = fields.Microseconds("validity_us");
  if (const json* grants = fields.List("grants")) {
    for (const json& grant : *grants) {
      JsonFields pair(grant, 2);
      response.grants.push_back({ pair.Text(0), pair.Text(1) });
      fields.Adopt("grants", pair);
    }
  }
  if (fields.IsValid()) {
    return response;
  }
  if (aError != nullptr) {
    *aError = fields.Error();
  }
  return std::nullopt;
}

AdviceRequestSlots::AdviceRequestSlots(EventLoop& aLoop,
                                       AdviceClient& aLocalClient,
                                       PeerTransport& aPeers,
                                       const Membership& aMembership,
                                       const std::string& aOwnName,
                                       ResponseHandler aDone)
  : loop(aLoop)
  , localClient(aLocalClient)
  , peers(aPeers)
  , membership(aMembership)
  , ownName(aOwnName)
  , done(std::move(aDone))
{
}

AdviceRequestSlots::~AdviceRequestSlots()
{
  *this->isAlive = false;
}

std::size_t AdviceRequestSlots::MaxOpenRequests() const
{
  std::size_t count = 1;
  TimePoint now = this->loop.Now();
  for (const auto& [name, member] : this->membership.Members()) {
    auto slot = this->slots.find(name);
    bool isPaused = slot != this->slots.end() && slot->second.pausedUntil > now;
    count += name != this->ownName && !isPaused ? 1 : 0;
  }
  return count;
}

void AdviceRequestSlots::Enqueue(const AdviceRequest& aRequest)
{
  this->queue.push_back(aRequest);
  this->SendNext();
}

std::optional<std::string> AdviceRequestSlots::FindFreeSlot()
{
  TimePoint now = this->loop.Now();
  for (const auto& [name, member] : this->membership.Members()) {
    Slot& slot = this->slots[name];
    if (name != this->ownName && !slot.isBusy && slot.pausedUntil <= now) {
      return name;
    }
  }
  return this->slots[this->ownName].isBusy ? std::nullopt : std::optional(this->ownName);
}

void AdviceRequestSlots::SendNext()
{
  while (!this->queue.empty()) {
    std::optional<std::string> name = this->FindFreeSlot();
    if (!name) {
      return;
    }
    AdviceRequest request = std::move(this->queue.front());
    this->queue.erase(this->queue.begin());
    this->slots[*name].isBusy = true;
    auto responseHandler = [this, alive = this->isAlive, instance = *name, request](
                             const Result<AdviceResponse>& aResponse) {
      if (*alive) {
        this->OnResponse(instance, request, aResponse);
      }
    };
    if (*name == this->ownName) {
      this->localClient.Ask(request, responseHandler);
      continue;
    }
    this->peers.Call(
      this->membership.Members().at(*name).endpoint,
      "advise",
      ToJson(request),
      request.expected + kForwardingTime,
      [this, alive = this->isAlive, responseHandler](const Result<json>& aReply) {
        if (!*alive) {
          return;
        }
        if (!aReply) {
          responseHandler(aReply.Error());
          return;
        }
        std::string error;
        std::optional<AdviceResponse> response = AdviceResponseFromJson(*aReply, &error);
        if (!response) {
          this->membership.Unreadable().AddAnswer("advise", error);
        }
        responseHandler(response ? Result<AdviceResponse>(*response) : Errc::Corrupt);
      });
  }
}

void AdviceRequestSlots::OnResponse(const std::string& aInstance,
                                    const AdviceRequest& aRequest,
                                    const Result<AdviceResponse>& aResponse)
{
  Slot& slot = this->slots[aInstance];
  slot.isBusy = false;
  TimePoint now = this->loop.Now();
  TimePoint validUntil = now;
  if (aResponse) {
    LogLine(LogLevel::Info, "advice_given")
      .Add("job", aRequest.step.job)
      .Add("step", aRequest.step.step)
      .Add("asked", aRequest.workers.size())
      .Add("granted", aResponse->grants.size())
      .Add("over", aInstance);
    validUntil = now + aResponse->validity - kValidityMargin;
  } else if (aInstance != this->ownName) {
    slot.pausedUntil = now + kFailurePause;
    LogLine(LogLevel::Warning, "advice_failed")
      .Add("over", aInstance)
      .Add("job", aRequest.step.job)
      .Add("error", aResponse.Error());
  }
  this->done(aRequest, aResponse, validUntil);
  this->SendNext();
}

} // namespace daisydrift::coordination
