#include "AdviceLanes.h"

#include "RecordCodec.h"

namespace daisydrift::coordination {

using nlohmann::json;

namespace {
/// Added to the expected response time for the hop through another instance.
constexpr std::chrono::milliseconds kWayTime{ 500 };
/// Time for which an instance gets no requests after one failed.
constexpr std::chrono::milliseconds kLanePause{ 1000 };
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

std::optional<AdviceAnswer> AdviceAnswerFrom(const json& aRecord)
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

AdviceLanes::AdviceLanes(EventLoop& aLoop,
                         AdviceClient& aOwn,
                         PeerTransport& aPeers,
                         const Membership& aMembership,
                         const std::string& aOwnName,
                         Done aDone)
  : loop(aLoop)
  , own(aOwn)
  , peers(aPeers)
  , membership(aMembership)
  , ownName(aOwnName)
  , done(std::move(aDone))
{
}

AdviceLanes::~AdviceLanes()
{
  *this->isAlive = false;
}

std::size_t AdviceLanes::Count() const
{
  std::size_t count = 1;
  TimePoint now = this->loop.Now();
  for (const auto& [name, member] : this->membership.Members()) {
    auto lane = this->lanes.find(name);
    bool isPaused = lane != this->lanes.end() && lane->second.pausedUntil > now;
    count += name != this->ownName && !isPaused ? 1 : 0;
  }
  return count;
}

void AdviceLanes::Ask(const AdviceQuestion& aQuestion)
{
  this->waiting.push_back(aQuestion);
  this->SendNext();
}

std::optional<std::string> AdviceLanes::FreeLane()
{
  TimePoint now = this->loop.Now();
  for (const auto& [name, member] : this->membership.Members()) {
    Lane& lane = this->lanes[name];
    if (name != this->ownName && !lane.isBusy && lane.pausedUntil <= now) {
      return name;
    }
  }
  return this->lanes[this->ownName].isBusy ? std::nullopt : std::optional(this->ownName);
}

void AdviceLanes::SendNext()
{
  while (!this->waiting.empty()) {
    std::optional<std::string> name = this->FreeLane();
    if (!name) {
      return;
    }
    AdviceQuestion question = std::move(this->waiting.front());
    this->waiting.erase(this->waiting.begin());
    this->lanes[*name].isBusy = true;
    auto onAnswer =
      [this, alive = this->isAlive, lane = *name, question](const Result<AdviceAnswer>& aAnswer) {
        if (*alive) {
          this->OnAnswer(lane, question, aAnswer);
        }
      };
    if (*name == this->ownName) {
      this->own.Ask(question, onAnswer);
      continue;
    }
    this->peers.Call(this->membership.Members().at(*name).endpoint,
                     "advise",
                     ToJson(question),
                     question.expected + kWayTime,
                     [onAnswer](const Result<json>& aReply) {
                       if (!aReply) {
                         onAnswer(aReply.Error());
                         return;
                       }
                       std::optional<AdviceAnswer> answer = AdviceAnswerFrom(*aReply);
                       onAnswer(answer ? Result<AdviceAnswer>(*answer) : Errc::Corrupt);
                     });
  }
}

void AdviceLanes::OnAnswer(const std::string& aLane,
                           const AdviceQuestion& aQuestion,
                           const Result<AdviceAnswer>& aAnswer)
{
  Lane& lane = this->lanes[aLane];
  lane.isBusy = false;
  TimePoint now = this->loop.Now();
  TimePoint validUntil = now;
  if (aAnswer) {
    LogLine(LogLevel::Info, "advice_given")
      .Add("job", aQuestion.step.job)
      .Add("step", aQuestion.step.step)
      .Add("asked", aQuestion.workers.size())
      .Add("granted", aAnswer->grants.size())
      .Add("over", aLane);
    validUntil = now + aAnswer->validity - kValidityMargin;
  } else if (aLane != this->ownName) {
    lane.pausedUntil = now + kLanePause;
    LogLine(LogLevel::Warning, "advice_failed")
      .Add("over", aLane)
      .Add("job", aQuestion.step.job)
      .Add("error", aAnswer.Error());
  }
  this->done(aQuestion, aAnswer, validUntil);
  this->SendNext();
}

} // namespace daisydrift::coordination
