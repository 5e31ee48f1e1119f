#pragma once
// Handles the calls of callers and operators to the leader of a region.

#include "RegionLeader.h"

#include "daisydrift/rpc.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace daisydrift {

/// Runs each call on the leader's thread and waits for its result. Thread-safe.
class LeaderCallHandler
{
public:
  /// Runs a function on the leader's thread. The function gets null when this instance does not
  /// lead.
  using Post = std::function<void(std::function<void(RegionLeader*)>)>;

  /// aConfig returns the leader's configuration. It is called only on the leader's thread and while
  /// this instance leads.
  LeaderCallHandler(std::string aRegion,
                    const Clock& aClock,
                    Post aPost,
                    std::function<const ConfigDocument&()> aConfig);

  /// Handles a call and returns its reply. Blocks for at most its timeout and a small margin.
  CallReply Handle(const Call& aCall);

private:
  /// Runs aWork on the leader's thread and waits for its response. Returns nothing when this
  /// instance does not lead. Throws std::future_error when there is no response within aTimeout.
  template<typename Response>
  std::optional<Response> RunOnLeader(
    std::function<void(RegionLeader&, std::function<void(Response)>)> aWork,
    Duration aTimeout);
  CallReply Submit(const Call& aCall);
  CallReply Cancel(const Call& aCall);
  CallReply Query(const Call& aCall);
  std::optional<CallReply> HandleQuery(RegionLeader& aLeader,
                                       const std::vector<std::string>& aParts,
                                       const TeamName& aTeam);

  std::string region;
  const Clock& clock;
  Post post;
  std::function<const ConfigDocument&()> config;
};

} // namespace daisydrift
