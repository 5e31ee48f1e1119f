#include "daisydrift/routing/UpstreamTable.h"

#include <algorithm>
#include <cassert>

namespace daisydrift {

namespace {

/// Rank of an upstream that may not be used.
constexpr std::uint64_t kNotUsable = ~std::uint64_t{ 0 };
/// Parts of the rank, most important first. The load is below them, in 1/1024 of the share.
constexpr std::uint64_t kProbeLast = std::uint64_t{ 1 } << 42;
constexpr std::uint64_t kFailing = std::uint64_t{ 1 } << 41;
constexpr std::uint64_t kOtherDomain = std::uint64_t{ 1 } << 40;
/// A probe that no repeatable request has made for this long is given to any request; otherwise an
/// upstream of a service without repeatable requests would never return.
constexpr Duration kProbeOverdue = std::chrono::seconds(5);
/// Ejection time doubles at most this often; more exceeds every useful maximum.
constexpr unsigned kMaxDoublings = 20;

} // namespace

UpstreamTable::UpstreamTable(const RoutingSettings& aSettings)
  : settings(aSettings)
  , share(aSettings.seats)
{
}

UpstreamTable::Service& UpstreamTable::ServiceOf(const std::string& aName)
{
  auto [found, isNew] = this->services.try_emplace(aName);
  if (isNew) {
    auto own = this->limits.find(aName);
    found->second.limits = own == this->limits.end() ? this->settings.limits : own->second;
  }
  return found->second;
}

void UpstreamTable::Update(const std::vector<InstanceInfo>& aList)
{
  std::map<std::string, std::unordered_map<UpstreamId, bool>> listed;
  for (const InstanceInfo& info : aList) {
    if (info.kind == InstanceKind::Upstream && info.state != InstanceState::Gone) {
      this->Merge(this->ServiceOf(info.service), info);
      listed[info.service][info.id] = true;
    }
  }
  for (auto& [name, service] : this->services) {
    this->RemoveUnlisted(service, listed[name]);
    this->RefreshShares(service);
    this->EnforceEjectionBound(service);
  }
}

void UpstreamTable::Merge(Service& aService, const InstanceInfo& aInfo)
{
  auto [found, isNew] = aService.positions.try_emplace(aInfo.id, aService.loads.size());
  if (isNew) {
    aService.loads.emplace_back();
    aService.details.emplace_back();
    aService.details.back().number = UpstreamShare::NumberOf(aInfo.id);
  }
  Load& load = aService.loads[found->second];
  load.isLive = aInfo.state == InstanceState::Live;
  load.isOwnDomain = aInfo.failureDomain == this->settings.failureDomain;
  aService.details[found->second].info = aInfo;
}

void UpstreamTable::RemoveUnlisted(Service& aService,
                                   const std::unordered_map<UpstreamId, bool>& aListed)
{
  for (std::size_t i = 0; i < aService.loads.size();) {
    if (aListed.count(aService.details[i].info.id) > 0) {
      ++i;
      continue;
    }
    aService.loads[i].isLive = false;
    aService.details[i].info.state = InstanceState::Gone;
    if (aService.loads[i].used > 0) {
      // The list lags and may name the upstream again while its requests still run.
      ++i;
      continue;
    }
    aService.positions.erase(aService.details[i].info.id);
    if (i + 1 < aService.loads.size()) {
      aService.loads[i] = aService.loads.back();
      aService.details[i] = std::move(aService.details.back());
      aService.positions[aService.details[i].info.id] = i;
    }
    aService.loads.pop_back();
    aService.details.pop_back();
  }
}

void UpstreamTable::RefreshShares(Service& aService)
{
  for (std::size_t i = 0; i < aService.loads.size(); ++i) {
    aService.loads[i].share =
      this->seat ? this->share.Requests(aService.details[i].number, *this->seat, aService.limits)
                 : 0;
  }
}

void UpstreamTable::SetSeat(std::optional<unsigned> aSeat)
{
  assert(!aSeat || *aSeat < this->settings.seats);
  this->seat = aSeat;
  for (auto& [name, service] : this->services) {
    this->RefreshShares(service);
  }
}

void UpstreamTable::SetLimits(const std::string& aService, const UpstreamLimits& aLimits)
{
  this->limits[aService] = aLimits;
  auto found = this->services.find(aService);
  if (found != this->services.end()) {
    found->second.limits = aLimits;
    this->RefreshShares(found->second);
  }
}

bool UpstreamTable::IsKnown(const std::string& aService) const
{
  auto found = this->services.find(aService);
  return found != this->services.end() && !found->second.loads.empty();
}

bool UpstreamTable::HasLive(const std::string& aService) const
{
  auto found = this->services.find(aService);
  return found != this->services.end() &&
         std::any_of(found->second.loads.begin(), found->second.loads.end(), [](const Load& aLoad) {
           return aLoad.isLive;
         });
}

void UpstreamTable::FreeHeld(Service& aService, TimePoint aNow)
{
  while (!aService.held.empty() && aService.held.begin()->first <= aNow) {
    auto position = aService.positions.find(aService.held.begin()->second);
    assert(position != aService.positions.end());
    Load& load = aService.loads[position->second];
    assert(load.used > 0);
    --load.used;
    aService.held.erase(aService.held.begin());
  }
}

std::uint64_t UpstreamTable::Rank(const Load& aLoad, bool aIsRepeatable, TimePoint aNow) const
{
  if (!aLoad.isLive || aLoad.used >= aLoad.share || aLoad.health == Health::Probing) {
    return kNotUsable;
  }
  std::uint64_t rank = std::uint64_t{ aLoad.used } * 1024 / aLoad.share;
  if (this->settings.isOwnDomainPreferred && !aLoad.isOwnDomain) {
    rank += kOtherDomain;
  }
  if (aLoad.health == Health::Ejected) {
    if (aNow < aLoad.ejectedUntil) {
      return kNotUsable;
    }
    bool isProbeDue = aIsRepeatable || aNow >= aLoad.ejectedUntil + kProbeOverdue;
    return isProbeDue ? 0 : rank + kProbeLast;
  }
  // An upstream that fails but can't be ejected answers quickly and would look least loaded.
  if (this->settings.ejectAfterFailures > 0 &&
      aLoad.failures >= this->settings.ejectAfterFailures) {
    rank += kFailing;
  }
  return rank;
}

std::optional<std::size_t> UpstreamTable::Choose(const Service& aService,
                                                 const SlotRequest& aRequest,
                                                 TimePoint aNow) const
{
  std::optional<std::size_t> best;
  std::uint64_t bestRank = kNotUsable;
  std::size_t count = aService.loads.size();
  for (std::size_t step = 0, i = aService.rotation; step < count; ++step, ++i) {
    i = i >= count ? 0 : i;
    std::uint64_t rank = this->Rank(aService.loads[i], aRequest.isRepeatable, aNow);
    if (rank >= bestRank) {
      continue;
    }
    const UpstreamId& id = aService.details[i].info.id;
    if (std::find(aRequest.excluded.begin(), aRequest.excluded.end(), id) !=
        aRequest.excluded.end()) {
      continue;
    }
    best = i;
    bestRank = rank;
    if (rank == 0) {
      break;
    }
  }
  return best;
}

std::optional<UpstreamSlot> UpstreamTable::Acquire(const SlotRequest& aRequest, TimePoint aNow)
{
  auto found = this->services.find(aRequest.service);
  if (found == this->services.end()) {
    return std::nullopt;
  }
  Service& service = found->second;
  FreeHeld(service, aNow);
  auto chosen = this->Choose(service, aRequest, aNow);
  if (!chosen) {
    return std::nullopt;
  }
  service.rotation = *chosen + 1 < service.loads.size() ? *chosen + 1 : 0;
  Load& load = service.loads[*chosen];
  ++load.used;
  assert(load.used <= load.share);
  UpstreamSlot slot{ aRequest.service,
                     service.details[*chosen].info.id,
                     service.details[*chosen].info.endpoint };
  if (load.health == Health::Ejected) {
    load.health = Health::Probing;
    slot.isProbe = true;
  }
  return slot;
}

bool UpstreamTable::HasFreeSlot(const std::string& aService, bool aIsRepeatable, TimePoint aNow)
{
  auto found = this->services.find(aService);
  if (found == this->services.end()) {
    return false;
  }
  FreeHeld(found->second, aNow);
  return this->Choose(found->second, { aService, aIsRepeatable, {} }, aNow).has_value();
}

void UpstreamTable::Release(const UpstreamSlot& aSlot,
                            TryOutcome aOutcome,
                            TimePoint aSentAt,
                            TimePoint aNow)
{
  Service& service = this->ServiceOf(aSlot.service);
  auto position = service.positions.find(aSlot.upstream);
  assert(position != service.positions.end());
  Load& load = service.loads[position->second];
  assert(load.used > 0);
  TimePoint freeAt = aSentAt + this->settings.longestDeadline;
  if (aOutcome == TryOutcome::NoAnswer && this->settings.isUnansweredSlotHeld && freeAt > aNow) {
    service.held.emplace(freeAt, aSlot.upstream);
  } else {
    --load.used;
  }
  if (aOutcome == TryOutcome::Answered) {
    this->OnSuccess(service, position->second, aSlot.isProbe, aNow);
  } else {
    this->OnFailure(service, position->second, aSlot.isProbe, aNow);
  }
}

void UpstreamTable::ReleaseUnused(const UpstreamSlot& aSlot)
{
  Service& service = this->ServiceOf(aSlot.service);
  auto position = service.positions.find(aSlot.upstream);
  assert(position != service.positions.end());
  Load& load = service.loads[position->second];
  assert(load.used > 0);
  --load.used;
  if (aSlot.isProbe && load.health == Health::Probing) {
    load.health = Health::Ejected;
  }
}

bool UpstreamTable::MayEjectOneMore(const Service& aService) const
{
  std::size_t live = 0;
  std::size_t ejected = 0;
  for (const Load& load : aService.loads) {
    live += load.isLive ? 1 : 0;
    ejected += load.isLive && load.health != Health::Healthy ? 1 : 0;
  }
  return (ejected + 1) * 2 <= live;
}

void UpstreamTable::EnforceEjectionBound(Service& aService)
{
  while (true) {
    std::size_t live = 0;
    std::size_t ejected = 0;
    Load* first = nullptr;
    for (Load& load : aService.loads) {
      live += load.isLive ? 1 : 0;
      if (load.isLive && load.health != Health::Healthy) {
        ++ejected;
        first = !first || load.ejectedUntil < first->ejectedUntil ? &load : first;
      }
    }
    if (ejected * 2 <= live) {
      return;
    }
    first->health = Health::Healthy;
  }
}

void UpstreamTable::OnFailure(Service& aService,
                              std::size_t aPosition,
                              bool aIsProbe,
                              TimePoint aNow)
{
  Load& load = aService.loads[aPosition];
  Detail& detail = aService.details[aPosition];
  ++load.failures;
  // Tries that began before the ejection say nothing about a probe that is on its way.
  if (this->settings.ejectAfterFailures == 0 || load.health == Health::Ejected ||
      (load.health == Health::Probing && !aIsProbe)) {
    return;
  }
  if (load.health == Health::Healthy &&
      (load.failures < this->settings.ejectAfterFailures || !this->MayEjectOneMore(aService))) {
    return;
  }
  unsigned doublings = std::min(detail.ejections, kMaxDoublings);
  Duration time = std::min(this->settings.maxEjection,
                           this->settings.firstEjection * (std::int64_t{ 1 } << doublings));
  ++detail.ejections;
  ++this->ejections;
  detail.lastEjection = aNow;
  load.health = Health::Ejected;
  load.ejectedUntil = aNow + time;
  this->newEjections.push_back({ detail.info.service, detail.info.id, load.failures, time });
}

std::vector<Ejection> UpstreamTable::TakeEjections()
{
  std::vector<Ejection> taken;
  taken.swap(this->newEjections);
  return taken;
}

void UpstreamTable::OnSuccess(Service& aService,
                              std::size_t aPosition,
                              bool aIsProbe,
                              TimePoint aNow)
{
  Load& load = aService.loads[aPosition];
  Detail& detail = aService.details[aPosition];
  if (load.health != Health::Healthy && !aIsProbe) {
    return;
  }
  load.failures = 0;
  load.health = Health::Healthy;
  // The count of ejections outlives a good probe, so an upstream that fails again at once stays
  // away for longer.
  if (aNow - detail.lastEjection >= this->settings.maxEjection) {
    detail.ejections = 0;
  }
}

unsigned UpstreamTable::SlotsInUse(TimePoint aNow)
{
  unsigned used = 0;
  for (auto& [name, service] : this->services) {
    FreeHeld(service, aNow);
    for (const Load& load : service.loads) {
      used += load.used;
    }
  }
  return used;
}

std::optional<TimePoint> UpstreamTable::NextChange(const std::string& aService,
                                                   TimePoint aNow) const
{
  auto found = this->services.find(aService);
  if (found == this->services.end()) {
    return std::nullopt;
  }
  std::optional<TimePoint> next;
  auto consider = [&](TimePoint aTime) {
    if (aTime > aNow && (!next || aTime < *next)) {
      next = aTime;
    }
  };
  if (!found->second.held.empty()) {
    consider(found->second.held.begin()->first);
  }
  for (const Load& load : found->second.loads) {
    if (load.isLive && load.health == Health::Ejected) {
      consider(load.ejectedUntil);
      consider(load.ejectedUntil + kProbeOverdue);
    }
  }
  return next;
}

UpstreamCounts UpstreamTable::Counts(const std::string& aService, TimePoint aNow)
{
  UpstreamCounts counts;
  auto found = this->services.find(aService);
  if (found == this->services.end()) {
    return counts;
  }
  FreeHeld(found->second, aNow);
  for (const Load& load : found->second.loads) {
    counts.live += load.isLive ? 1 : 0;
    counts.leaving += load.isLive ? 0 : 1;
    counts.ejected += load.isLive && load.health != Health::Healthy ? 1 : 0;
    counts.slots += load.isLive ? load.share : 0;
    counts.slotsInUse += load.used;
  }
  return counts;
}

std::vector<std::string> UpstreamTable::Services() const
{
  std::vector<std::string> names;
  for (const auto& [name, service] : this->services) {
    names.push_back(name);
  }
  return names;
}

} // namespace daisydrift
