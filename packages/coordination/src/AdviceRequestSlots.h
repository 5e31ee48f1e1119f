#pragma once
// Distributes requests to the advice service over the instances.

#include "Membership.h"

namespace daisydrift::coordination {

/// Sends at most one request at a time through each instance, since the service handles an
/// instance's requests one by one.
class AdviceRequestSlots
{
public:
  using ResponseHandler =
    std::function<void(const AdviceRequest&, const Result<AdviceResponse>&, TimePoint aValidUntil)>;

  AdviceRequestSlots(EventLoop& aLoop,
                     AdviceClient& aLocalClient,
                     PeerTransport& aPeers,
                     const Membership& aMembership,
                     const std::string& aOwnName,
                     ResponseHandler aDone);
  ~AdviceRequestSlots();

  /// Number of requests that can be open at the same time.
  std::size_t MaxOpenRequests() const;
  /// Sends the request now, or as soon as an instance is free.
  void Enqueue(const AdviceRequest& aRequest);

private:
  struct Slot
  {
    bool isBusy = false;
    TimePoint pausedUntil;
  };

  void SendNext();
  std::optional<std::string> FindFreeSlot();
  void OnResponse(const std::string& aInstance,
                  const AdviceRequest& aRequest,
                  const Result<AdviceResponse>& aResponse);

  EventLoop& loop;
  AdviceClient& localClient;
  PeerTransport& peers;
  const Membership& membership;
  std::string ownName;
  ResponseHandler done;
  std::map<std::string, Slot> slots;
  std::vector<AdviceRequest> queue;
  std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

nlohmann::json ToJson(const AdviceResponse& aResponse);
std::optional<AdviceResponse> AdviceResponseFromJson(const nlohmann::json& aRecord,
                                                     std::string* aError = nullptr);

} // namespace daisydrift::coordination
