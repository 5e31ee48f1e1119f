#pragma once
// In-memory stand-in for the platform's store: that of platform/soak, which takes no body of more than
// 256 KiB, with bodies of the size that the platform takes and its limit on values.

#include "daisydrift/http.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace review {

using daisydrift::AsioLoop;
using daisydrift::Duration;
using daisydrift::HttpExchange;
using daisydrift::HttpListener;
using daisydrift::Ref;
using daisydrift::TimePoint;


/// How the store currently handles requests.
enum class StoreMode
{
  Available,
  Busy,
  Unresponsive,
  Reset
};

class Store
{
public:
  Store(AsioLoop& aLoop, std::uint64_t aSeed);

  /// Errors: those of bind and listen.
  std::error_code Open();
  unsigned short Port() const { return this->listener.Port(); }

  /// Writes a key as an operator or a worker would.
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  /// Discards the history of changes; watches from an older revision fail with status 410.
  void Compact();

  StoreMode mode = StoreMode::Available;
  /// Additional delay of each response.
  Duration slowdown{ 0 };
  /// Probability that a transaction gets no response; half of those are committed late.
  double lossProbability = 0;
  /// Writes that were refused since a value was longer than `value_bytes`.
  int refusedValues = 0;

private:
  struct Item
  {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t createRevision = 0;
    std::uint64_t lease = 0;
  };
  struct Change
  {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Lease
  {
    Duration timeToLive{ 0 };
    TimePoint expiresAt;
  };
  struct Response
  {
    int status = 200;
    nlohmann::json body = nlohmann::json::object();
  };

  void Handle(const Ref<HttpExchange>& aExchange);
  void Respond(const Ref<HttpExchange>& aExchange, const Response& aResponse);
  void Watch(const Ref<HttpExchange>& aExchange, const std::string& aTarget, TimePoint aDeadline);
  Response Read(const std::string& aTarget) const;
  Response ReadRange(const std::string& aTarget) const;
  Response Commit(const nlohmann::json& aBody);
  Response GrantLease(const nlohmann::json& aBody);
  Response RenewLease(std::uint64_t aLease);
  void ExpireLeases();
  void Write(const std::string& aKey, std::optional<std::string> aValue, std::uint64_t aLease);
  nlohmann::json ToJson(const std::string& aKey, const Item& aItem) const;

  AsioLoop& loop;
  std::mt19937_64 random;
  std::map<std::string, Item> items;
  std::vector<Change> history;
  std::map<std::uint64_t, Lease> leases;
  std::uint64_t revision = 1;
  std::uint64_t compactedRevision = 0;
  std::uint64_t nextLeaseId = 1;
  HttpListener listener;
};

} // namespace review
