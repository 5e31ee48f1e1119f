#include "AdviceRequestSlots.h"

#include "RecordCodec.h"

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

json ToJson(const AdviceAnswer& aAnswer)
{
  json record{ { "validity_us", aAnswer.validity.count() }, { "grants", json::array() } };
  for (const AdviceGrant& grant : aAnswer.grants) {
    record["grants"].push_back(json::array({ grant.worker, grant.ticket }));
  }
  return record;
}

std::optional<AdviceAnswer> AdviceResponseFromJson(const json& aRecord)
{
  if (!aRecord.is_object() || !aRecord.contains("grants")) {
    return std::nullopt;
  }
  AdviceAnswer answer;
  answer.validity = Duration(aRecord.value("validity_us", Duration::rep(0)));
  for (const json& grant : aRecord["grants"]) {
    answer.grants.push_back({ grant.at(0), grant.at(1) });
  }
  return answer;
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

void AdviceRequestSlots::Enqueue(const AdviceQuestion& aQuestion)
{
  this->queue.push_back(aQuestion);
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
    AdviceQuestion question = std::move(this->queue.front());
    this->queue.erase(this->queue.begin());
    this->slots[*name].isBusy = true;
    auto onResponse = [this, alive = this->isAlive, instance = *name, question](
                        const Result<AdviceAnswer>& aAnswer) {
      if (*alive) {
        this->OnResponse(instance, question, aAnswer);
      }
    };
    if (*name == this->ownName) {
      this->localClient.Ask(question, onResponse);
      continue;
    }
    this->peers.Call(this->membership.Members().at(*name).endpoint,
                     "advise",
                     ToJson(question),
                     question.expected + kForwardingTime,
                     [onResponse](const Result<json>& aReply) {
                       if (!aReply) {
                         onResponse(aReply.Error());
                         return;
                       }
                       std::optional<AdviceAnswer> answer = AdviceResponseFromJson(*aReply);
                       onResponse(answer ? Result<AdviceAnswer>(*answer) : Errc::Corrupt);
                     });
  }
}

void AdviceRequestSlots::OnResponse(const std::string& aInstance,
                                    const AdviceQuestion& aQuestion,
                                    const Result<AdviceAnswer>& aAnswer)
{
  Slot& slot = this->slots[aInstance];
  slot.isBusy = false;
  TimePoint now = this->loop.Now();
  TimePoint validUntil = now;
  if (aAnswer) {
    LogLine(LogLevel::Info, "advice_given")
      .Add("job", aQuestion.step.job)
      .Add("step", aQuestion.step.step)
      .Add("asked", aQuestion.workers.size())
      .Add("granted", aAnswer->grants.size())
      .Add("over", aInstance);
    validUntil = now + aAnswer->validity - kValidityMargin;
  } else if (aInstance != this->ownName) {
    slot.pausedUntil = now + kFailurePause;
    LogLine(LogLevel::Warning, "advice_failed")
      .Add("over", aInstance)
      .Add("job", aQuestion.step.job)
      .Add("error", aAnswer.Error());
  }
  this->done(aQuestion, aAnswer, validUntil);
  this->SendNext();
}

} // namespace daisydrift::coordination
