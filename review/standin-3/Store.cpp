#include "Store.h"

#include "Wire.h"

namespace review {

namespace platform = daisydrift::platform;
using daisydrift::HttpResponse;
using daisydrift::HttpServerLimits;
using daisydrift::ParseJson;


using nlohmann::json;
using std::chrono::milliseconds;

namespace {
constexpr milliseconds kResponseDelay{ 2 };
constexpr milliseconds kWatchPollInterval{ 5 };
constexpr milliseconds kLeaseCheckInterval{ 20 };
constexpr int kMaxCommitDelayMs = 2500;
constexpr std::size_t kItemsPerPage = 500;
/// `value_bytes` of the settings.
constexpr std::size_t kValueBytes = 1048576;

HttpServerLimits Limits()
{
  HttpServerLimits limits;
  limits.maxBodyBytes = 32 * 1024 * 1024;
  return limits;
}

/// Percent-decoded value of a query parameter; empty when missing.
std::string QueryParameter(const std::string& aTarget, const std::string& aName)
{
  std::size_t at = aTarget.find_first_of('?');
  while (at != std::string::npos) {
    std::size_t end = aTarget.find('&', at + 1);
    std::string part = aTarget.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    if (part.rfind(aName + "=", 0) == 0) {
      std::string text;
      for (std::size_t index = aName.size() + 1; index < part.size(); ++index) {
        if (part[index] == '%' && index + 2 < part.size()) {
          text += static_cast<char>(std::stoi(part.substr(index + 1, 2), nullptr, 16));
          index += 2;
        } else {
          text += part[index];
        }
      }
      return text;
    }
    at = end;
  }
  return "";
}

std::uint64_t NumericQueryParameter(const std::string& aTarget, const std::string& aName)
{
  std::string text = QueryParameter(aTarget, aName);
  return text.empty() ? 0 : std::stoull(text);
}
} // namespace

Store::Store(AsioLoop& aLoop, std::uint64_t aSeed)
  : loop(aLoop)
  , random(aSeed)
  , listener(aLoop, Limits(), [this](const Ref<HttpExchange>& aExchange) { this->Handle(aExchange); })
{
  this->ExpireLeases();
}

std::error_code Store::Open()
{
  return this->listener.Open({ "127.0.0.1", 0 });
}

void Store::Write(const std::string& aKey,
                      std::optional<std::string> aValue,
                      std::uint64_t aLease)
{
  this->history.push_back({ aKey, aValue, this->revision, aLease });
  if (!aValue) {
    this->items.erase(aKey);
    return;
  }
  Item& item = this->items[aKey];
  item.createRevision = item.createRevision == 0 ? this->revision : item.createRevision;
  item.value = std::move(*aValue);
  item.revision = this->revision;
  item.lease = aLease;
}

void Store::Put(const std::string& aKey, const std::string& aValue)
{
  ++this->revision;
  this->Write(aKey, aValue, 0);
}

void Store::Remove(const std::string& aKey)
{
  if (this->items.count(aKey) != 0) {
    ++this->revision;
    this->Write(aKey, std::nullopt, 0);
  }
}

void Store::Compact()
{
  this->history.clear();
  this->compactedRevision = this->revision;
}

json Store::ToJson(const std::string& aKey, const Item& aItem) const
{
  return { { "key", aKey },
           { "value", platform::EncodeBase64(aItem.value) },
           { "revision", aItem.revision },
           { "create_revision", aItem.createRevision },
           { "lease_id", aItem.lease } };
}

void Store::Respond(const Ref<HttpExchange>& aExchange, const Response& aResponse)
{
  HttpResponse response{ aResponse.status,
                         { { "Content-Type", platform::kJsonType } },
                         aResponse.body.dump() };
  this->loop.After(this->slowdown + kResponseDelay,
                   [aExchange, response] { aExchange->Reply(response); });
}

void Store::Handle(const Ref<HttpExchange>& aExchange)
{
  if (this->mode == StoreMode::Unresponsive) {
    return;
  }
  if (this->mode == StoreMode::Reset) {
    aExchange->Abort();
    return;
  }
  if (this->mode == StoreMode::Busy) {
    this->Respond(aExchange, { 503, {} });
    return;
  }
  const std::string& target = aExchange->Request().target;
  std::string path = target.substr(0, target.find('?'));
  std::optional<json> parsed = ParseJson(aExchange->Request().body);
  json body = parsed ? *parsed : json::object();
  if (path == "/kv-key") {
    this->Respond(aExchange, this->Read(target));
  } else if (path == "/kv-range") {
    this->Respond(aExchange, this->ReadRange(target));
  } else if (path == "/kv-watch") {
    this->Watch(
      aExchange, target, this->loop.Now() + milliseconds(NumericQueryParameter(target, "wait_ms")));
  } else if (path == "/kv-txn") {
    bool isResponseLost =
      std::uniform_real_distribution<>(0, 1)(this->random) < this->lossProbability;
    if (!isResponseLost) {
      this->Respond(aExchange, this->Commit(body));
      return;
    }
    bool isLate = this->random() % 2 == 0;
    auto delay = milliseconds(isLate ? static_cast<int>(this->random() % kMaxCommitDelayMs) : 0);
    this->loop.After(delay, [this, aExchange, body] { static_cast<void>(this->Commit(body)); });
  } else if (path == "/kv-lease") {
    this->Respond(aExchange, this->GrantLease(body));
  } else if (path.rfind("/kv-keep/", 0) == 0) {
    this->Respond(aExchange, this->RenewLease(std::stoull(path.substr(path.rfind('/') + 1))));
  } else {
    this->Respond(aExchange, { 404, {} });
  }
}

Store::Response Store::Read(const std::string& aTarget) const
{
  std::string key = QueryParameter(aTarget, "key");
  auto found = this->items.find(key);
  if (found == this->items.end()) {
    return { 404, json::object() };
  }
  json body = this->ToJson(key, found->second);
  body["at"] = this->revision;
  return { 200, body };
}

Store::Response Store::ReadRange(const std::string& aTarget) const
{
  std::string prefix = QueryParameter(aTarget, "prefix");
  std::string after = QueryParameter(aTarget, "after");
  json list = json::array();
  bool hasMore = false;
  for (auto item = this->items.lower_bound(prefix);
       item != this->items.end() && item->first.rfind(prefix, 0) == 0;
       ++item) {
    if (item->first <= after) {
      continue;
    }
    if (list.size() >= kItemsPerPage) {
      hasMore = true;
      break;
    }
    list.push_back(this->ToJson(item->first, item->second));
  }
  return { 200, { { "items", list }, { "has_more", hasMore }, { "at", this->revision } } };
}

void Store::Watch(const Ref<HttpExchange>& aExchange,
                      const std::string& aTarget,
                      TimePoint aDeadline)
{
  std::uint64_t after = NumericQueryParameter(aTarget, "after");
  if (after < this->compactedRevision) {
    this->Respond(aExchange, { 410, json::object() });
    return;
  }
  std::string prefix = QueryParameter(aTarget, "prefix");
  json events = json::array();
  for (const Change& change : this->history) {
    if (change.revision <= after || change.key.rfind(prefix, 0) != 0) {
      continue;
    }
    json event{ { "key", change.key }, { "revision", change.revision } };
    if (change.value) {
      event["value"] = platform::EncodeBase64(*change.value);
      event["lease_id"] = change.lease;
    } else {
      event["compacted"] = true;
    }
    events.push_back(event);
  }
  if (events.empty() && this->loop.Now() < aDeadline) {
    this->loop.After(kWatchPollInterval, [this, aExchange, aTarget, aDeadline] {
      if (this->mode == StoreMode::Available) {
        this->Watch(aExchange, aTarget, aDeadline);
      } else if (this->mode != StoreMode::Unresponsive) {
        aExchange->Abort();
      }
      // A store that falls silent loses its open watches without closing their connections.
    });
    return;
  }
  this->Respond(aExchange, { 200, { { "events", events }, { "at", this->revision } } });
}

Store::Response Store::Commit(const json& aBody)
{
  for (const json& row : aBody.value("precondition", json::array())) {
    auto found = this->items.find(row.at("key").get<std::string>());
    std::uint64_t current = found == this->items.end() ? 0 : found->second.revision;
    if (current != row.at("revision").get<std::uint64_t>()) {
      return { 412, { { "items", json::array() } } };
    }
  }
  json puts = aBody.value("puts", json::array());
  for (const json& put : puts) {
    if (put.at("value").get_ref<const std::string&>().size() / 4 * 3 > kValueBytes + 2) {
      ++this->refusedValues;
      return { 400, json::object() };
    }
    std::uint64_t lease = put.value("lease_id", std::uint64_t(0));
    if (lease != 0 && this->leases.count(lease) == 0) {
      return { 404, json::object() };
    }
  }
  ++this->revision;
  for (const json& put : puts) {
    this->Write(put.at("key"),
                platform::DecodeBase64(put.at("value").get<std::string>()).value_or(""),
                put.value("lease_id", std::uint64_t(0)));
  }
  for (const json& key : aBody.value("remove", json::array())) {
    this->Write(key, std::nullopt, 0);
  }
  return { 200, { { "revision", this->revision } } };
}

Store::Response Store::GrantLease(const json& aBody)
{
  Duration timeToLive = milliseconds(aBody.value("ttl_ms", 1000));
  std::uint64_t id = this->nextLeaseId++;
  this->leases[id] = { timeToLive, this->loop.Now() + timeToLive };
  return { 200, { { "lease_id", id }, { "ttl_ms", aBody.value("ttl_ms", 1000) } } };
}

Store::Response Store::RenewLease(std::uint64_t aLease)
{
  auto found = this->leases.find(aLease);
  if (found == this->leases.end()) {
    return { 404, json::object() };
  }
  found->second.expiresAt = this->loop.Now() + found->second.timeToLive;
  return { 200, json::object() };
}

void Store::ExpireLeases()
{
  TimePoint now = this->loop.Now();
  for (auto lease = this->leases.begin(); lease != this->leases.end();) {
    if (lease->second.expiresAt > now) {
      ++lease;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : this->items) {
      if (item.lease == lease->first) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      this->Remove(key);
    }
    lease = this->leases.erase(lease);
  }
  this->loop.After(kLeaseCheckInterval, [this] { this->ExpireLeases(); });
}

} // namespace review
