#include "LeaderCallHandler.h"

#include "JobViews.h"
#include "ProblemReply.h"

#include <nlohmann/json.hpp>

#include <future>

namespace daisydrift {

namespace {

using Json = nlohmann::json;

constexpr const char* kNoLeaderDetail = "no leader of the region is known at the moment";
/// Difference between a caller's deadline and the deadline used at the leader, so that the reply
/// still reaches the caller in time.
constexpr std::chrono::milliseconds kReplyMargin{ 50 };

CallReply JsonReply(std::uint16_t aStatus, std::string aBody)
{
  return { aStatus, "application/json", std::move(aBody), {} };
}

Problem StoreProblem()
{
  return { 503,
           "store_unavailable",
           "the journal can't commit changes at the moment; nothing was accepted",
           "not_run",
           std::chrono::seconds(2),
           {} };
}

Problem RegionFullProblem()
{
  return { 503,
           "region_full",
           "the region keeps as many jobs as it can; finished ones are removed after an hour",
           "not_run",
           std::chrono::seconds(60),
           {} };
}

Problem UnknownJobProblem()
{
  return { 404, "unknown_job", "no such job", "not_run", {}, {} };
}

CallReply ToReply(const SubmitReply& aReply, const std::string& aRegion)
{
  if (!aReply.error) {
    Json json = { { "job", FormatJobId(aRegion, aReply.job) },
                  { "state", "waiting" },
                  { "repeated", aReply.isRepeat } };
    return JsonReply(202, json.dump());
  }
  if (aReply.error == Errc::InvalidArgument) {
    return MakeProblemReply(
      { 400, "invalid_job", "the job is not valid", "not_run", {}, aReply.findings });
  }
  if (aReply.error == Errc::Conflict) {
    return MakeProblemReply(
      { 422,
        "idempotency_key_reused",
        "the Idempotency-Key was used with another body for " + FormatJobId(aRegion, aReply.job),
        "not_run",
        {},
        {} });
  }
  if (aReply.error == Errc::NotPermitted) {
    return MakeProblemReply({ 422,
                              aReply.explanation.code,
                              aReply.explanation.message + " " + aReply.explanation.advice,
                              "not_run",
                              {},
                              {} });
  }
  if (aReply.error == Errc::OutcomeUnknown) {
    return MakeProblemReply(OutcomeUnknownProblem());
  }
  return MakeProblemReply(aReply.error == Errc::LimitReached ? RegionFullProblem()
                                                             : StoreProblem());
}

/// Splits a path into its segments, without the query.
std::vector<std::string> SplitPath(const std::string& aPath)
{
  std::vector<std::string> parts;
  std::string text = aPath.substr(0, aPath.find('?'));
  std::size_t start = 0;
  while (start < text.size()) {
    std::size_t end = std::min(text.find('/', start), text.size());
    if (end > start) {
      parts.push_back(text.substr(start, end - start));
    }
    start = end + 1;
  }
  return parts;
}

} // namespace

LeaderCallHandler::LeaderCallHandler(std::string aRegion,
                                     const Clock& aClock,
                                     Post aPost,
                                     std::function<const ConfigDocument&()> aConfig)
  : region(std::move(aRegion))
  , clock(aClock)
  , post(std::move(aPost))
  , config(std::move(aConfig))
{
}

template<typename Response>
std::optional<Response> LeaderCallHandler::RunOnLeader(
  std::function<void(RegionLeader&, std::function<void(Response)>)> aWork,
  Duration aTimeout)
{
  auto promise = std::make_shared<std::promise<std::optional<Response>>>();
  auto future = promise->get_future();
  this->post([promise, work = std::move(aWork)](RegionLeader* aLeader) {
    if (aLeader == nullptr) {
      promise->set_value(std::nullopt);
      return;
    }
    work(*aLeader, [promise](Response aResponse) { promise->set_value(std::move(aResponse)); });
  });
  if (future.wait_for(aTimeout) != std::future_status::ready) {
    throw std::future_error(std::future_errc::no_state);
  }
  return future.get();
}

CallReply LeaderCallHandler::Submit(const Call& aCall)
{
  TimePoint deadline =
    this->clock.Now() + std::max(Duration(0), aCall.timeout - Duration(kReplyMargin));
  auto reply = this->RunOnLeader<SubmitReply>(
    [this, call = aCall, deadline](RegionLeader& aLeader, std::function<void(SubmitReply)> aReply) {
      aLeader.Submit({ call.team, call.idempotencyKey, call.body, deadline, std::move(aReply) },
                     this->clock.Now());
    },
    aCall.timeout + Duration(kReplyMargin));
  return reply ? ToReply(*reply, this->region) : MakeProblemReply(NoLeaderProblem(kNoLeaderDetail));
}

CallReply LeaderCallHandler::Cancel(const Call& aCall)
{
  Json json = Json::parse(aCall.body, nullptr, false);
  if (!json.is_object()) {
    return MakeProblemReply(
      { 400, "malformed_json", "the body must be a JSON object", "not_run", {}, {} });
  }
  for (const char* field : { "job", "team", "name" }) {
    if (json.contains(field) && !json[field].is_string()) {
      return MakeProblemReply(
        { 400, "wrong_type", std::string("'") + field + "' must be a string", "not_run", {}, {} });
    }
  }
  if (!json.contains("job") && !json.contains("team") && !json.contains("name")) {
    return MakeProblemReply({ 400,
                              "selector_missing",
                              "select the jobs to cancel by 'job', 'team' or 'name'",
                              "not_run",
                              {},
                              {} });
  }
  // Members of a team may cancel only its jobs. Operators have no team and may select any.
  TeamName team = aCall.team.empty() ? json.value("team", std::string()) : aCall.team;
  std::string name = json.value("name", std::string());
  std::string jobId = json.value("job", std::string());
  TimePoint deadline =
    this->clock.Now() + std::max(Duration(0), aCall.timeout - Duration(kReplyMargin));
  using Outcome = std::pair<std::error_code, std::size_t>;
  auto outcome = this->RunOnLeader<Outcome>(
    [this, team, name, jobId, deadline](RegionLeader& aLeader,
                                        const std::function<void(Outcome)>& aReply) {
      std::vector<JobNumber> jobs;
      std::string region;
      JobNumber number = 0;
      if (jobId.empty()) {
        jobs = SelectJobs(aLeader, team, name);
      } else if (ParseJobId(jobId, region, number) && region == this->region &&
                 JobJson(aLeader, region, number, team)) {
        jobs.push_back(number);
      } else {
        aReply({ make_error_code(Errc::NotFound), 0 });
        return;
      }
      aLeader.Cancel(jobs, deadline, [aReply](std::error_code aError, std::size_t aCount) {
        aReply({ aError, aCount });
      });
    },
    aCall.timeout + Duration(kReplyMargin));
  if (!outcome) {
    return MakeProblemReply(NoLeaderProblem(kNoLeaderDetail));
  }
  if (outcome->first == Errc::NotFound) {
    return MakeProblemReply(UnknownJobProblem());
  }
  if (outcome->first) {
    return MakeProblemReply(outcome->first == Errc::OutcomeUnknown ? OutcomeUnknownProblem()
                                                                   : StoreProblem());
  }
  return JsonReply(200, Json{ { "cancelled", outcome->second } }.dump());
}

std::optional<CallReply> LeaderCallHandler::HandleQuery(RegionLeader& aLeader,
                                                        const std::vector<std::string>& aParts,
                                                        const TeamName& aTeam)
{
  TimePoint now = this->clock.Now();
  const std::string& region = this->region;
  if (aParts.size() == 3 && aParts[1] == "admin" && aParts[2] == "queue") {
    return JsonReply(200, QueueJson(aLeader, region, now));
  }
  if (aParts.size() == 3 && aParts[1] == "admin" && aParts[2] == "region") {
    return JsonReply(200, RegionJson(aLeader, this->config(), now));
  }
  if (aParts.size() < 2 || aParts[1] != "jobs") {
    return std::nullopt;
  }
  if (aParts.size() == 2) {
    return JsonReply(200, JobListJson(aLeader, region, aTeam));
  }
  std::string jobRegion;
  JobNumber job = 0;
  if (!ParseJobId(aParts[2], jobRegion, job) || jobRegion != region) {
    return MakeProblemReply(UnknownJobProblem());
  }
  std::optional<std::string> body = aParts.size() == 4 && aParts[3] == "explain"
                                      ? ExplainJson(aLeader, region, job, aTeam, now)
                                      : JobJson(aLeader, region, job, aTeam);
  return body ? JsonReply(200, *body) : MakeProblemReply(UnknownJobProblem());
}

CallReply LeaderCallHandler::Query(const Call& aCall)
{
  std::vector<std::string> parts = SplitPath(aCall.path);
  auto reply = this->RunOnLeader<std::optional<CallReply>>(
    [this, parts, team = aCall.team](RegionLeader& aLeader,
                                     const std::function<void(std::optional<CallReply>)>& aReply) {
      aReply(this->HandleQuery(aLeader, parts, team));
    },
    aCall.timeout);
  if (!reply) {
    return MakeProblemReply(NoLeaderProblem(kNoLeaderDetail));
  }
  return *reply ? **reply
                : MakeProblemReply({ 404, "unknown_path", "no such resource", "not_run", {}, {} });
}

CallReply LeaderCallHandler::Handle(const Call& aCall)
{
  try {
    switch (aCall.kind) {
      case CallKind::Submit:
        return this->Submit(aCall);
      case CallKind::Cancel:
        return this->Cancel(aCall);
      case CallKind::Query:
        return this->Query(aCall);
      case CallKind::Edit:
        break;
    }
  } catch (const std::future_error&) {
    return MakeProblemReply(OutcomeUnknownProblem());
  }
  return MakeProblemReply(
    { 400, "unknown_call", "this call is not for the leader", "not_run", {}, {} });
}

} // namespace daisydrift
