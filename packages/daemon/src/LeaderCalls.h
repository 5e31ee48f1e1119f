#pragma once
// Calls of callers and operators, answered on the leader's thread.

#include "RegionLeader.h"

#include "daisydrift/rpc.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace daisydrift {

/// Turns calls into work for the leader and waits for its answers. Thread-safe.
class LeaderCalls
{
public:
  /// Runs work on the leader's thread; the leader is null when this instance does not lead.
  using Post = std::function<void(std::function<void(RegionLeader*)>)>;

  /// aConfig gives the leader's configuration; called on the leader's thread while it leads.
  LeaderCalls(std::string aRegion,
              const Clock& aClock,
              Post aPost,
              std::function<const ConfigDocument&()> aConfig);

  /// Answers a call; blocks up to its deadline.
  CallReply Handle(const Call& aCall);

private:
  /// Runs aWork on the leader's thread and waits for its answer; nothing when this instance does
  /// not lead. Throws std::future_error when no answer came in time.
  template<typename Answer>
  std::optional<Answer> Ask(std::function<void(RegionLeader&, std::function<void(Answer)>)> aWork,
                            Duration aLimit);
  CallReply Submit(const Call& aCall);
  CallReply Cancel(const Call& aCall);
  CallReply Query(const Call& aCall);
  std::optional<CallReply> AnswerQuery(RegionLeader& aLeader,
                                       const std::vector<std::string>& aParts,
                                       const TeamName& aTeam);

  std::string region;
  const Clock& clock;
  Post post;
  std::function<const ConfigDocument&()> config;
};

} // namespace daisydrift
