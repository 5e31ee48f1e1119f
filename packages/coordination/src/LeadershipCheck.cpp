#include "LeadershipCheck.h"

#include <nlohmann/json.hpp>

namespace daisydrift::coordination {

using nlohmann::json;

namespace {
/// Members that are asked; each of them watches the store independently.
constexpr std::size_t kMaxAskedMembers = 4;
/// Response time limit of a healthy member; the caller's request waits for it.
constexpr std::chrono::milliseconds kResponseTimeout{ 200 };
} // namespace

LeadershipCheck::LeadershipCheck(EventLoop& aLoop,
                                 PeerTransport& aPeers,
                                 const Membership& aMembership,
                                 const InstanceSettings& aSettings,
                                 std::function<void(const LeaderRecord&)> aOnLeader)
  : loop(aLoop)
  , peers(aPeers)
  , membership(aMembership)
  , settings(aSettings)
  , onLeader(std::move(aOnLeader))
{
}

void LeadershipCheck::AskMembers(const std::function<void()>& aDone)
{
  std::vector<SocketEndpoint> asked;
  for (const auto& [name, member] : this->membership.Members()) {
    if (name != this->settings.name && asked.size() < kMaxAskedMembers) {
      asked.push_back(member.endpoint);
    }
  }
  if (asked.empty()) {
    this->loop.After(Duration(0), aDone);
    return;
  }
  auto remaining = std::make_shared<std::size_t>(asked.size());
  for (const SocketEndpoint& member : asked) {
    this->peers.Call(member,
                     "leader",
                     json::object(),
                     kResponseTimeout,
                     [this, remaining, aDone](const Result<json>& aResponse) {
                       std::optional<LeaderRecord> leader =
                         aResponse
                           ? LeaderOfAnswer("leader", *aResponse, this->membership.Unreadable())
                           : std::nullopt;
                       if (leader) {
                         this->onLeader(*leader);
                       }
                       if (--*remaining == 0) {
                         aDone();
                       }
                     });
  }
}

} // namespace daisydrift::coordination
