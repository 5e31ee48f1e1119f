#pragma once
// Distributes requests to the advice service over the instances.

#include "Membership.h"

namespace daisydrift::coordination {

/// Sends at most one request at a time through each instance, since the service handles an
/// instance's requests one by one.
class AdviceLanes
{
public:
  using Done =
    std::function<void(const AdviceQuestion&, const Result<AdviceAnswer>&, TimePoint aValidUntil)>;

  AdviceLanes(EventLoop& aLoop,
              AdviceClient& aOwn,
              PeerTransport& aPeers,
              const Membership& aMembership,
              const std::string& aOwnName,
              Done aDone);
  ~AdviceLanes();

  /// Number of requests that can be open at the same time.
  std::size_t Count() const;
  /// Sends the request now, or as soon as an instance is free.
  void Ask(const AdviceQuestion& aQuestion);

private:
  struct Lane
  {
    bool isBusy = false;
    TimePoint pausedUntil;
  };

  void SendNext();
  std::optional<std::string> FreeLane();
  void OnAnswer(const std::string& aLane,
                const AdviceQuestion& aQuestion,
                const Result<AdviceAnswer>& aAnswer);

  EventLoop& loop;
  AdviceClient& own;
  PeerTransport& peers;
  const Membership& membership;
  std::string ownName;
  Done done;
  std::map<std::string, Lane> lanes;
  std::vector<AdviceQuestion> waiting;
  std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

nlohmann::json ToJson(const AdviceAnswer& aAnswer);
std::optional<AdviceAnswer> AdviceAnswerFrom(const nlohmann::json& aRecord);

} // namespace daisydrift::coordination
