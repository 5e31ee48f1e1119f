#include "daisydrift/routing/UpstreamTable.h"

#include <algorithm>
#include <cassert>

namespace daisydrift {

namespace {

/// Rank of an upstream that can't be selected; the lowest rank is selected.
constexpr std::uint64_t kUnusableRank = ~std::uint64_t{ 0 };
/// Penalties added to the rank, largest first. All exceed the load, which is in 1/1024 of the
/// share.
constexpr std::uint64_t kProbePenalty = std::uint64_t{ 1 } << 42;
constexpr std::uint64_t kFailingPenalty = std::uint64_t{ 1 } << 41;
constexpr std::uint64_t kOtherDomainPenalty = std::uint64_t{ 1 } << 40;
/// A probe that was due for this long without a repeatable request is sent with any request;
/// otherwise an upstream of a service without repeatable requests would never be used again.
constexpr Duration kProbeFallbackDelay = std::chrono::seconds(5);
/// Most doublings of the ejection time; more would exceed every useful maximum.
constexpr unsigned kMaxDoublings = 20;

} // namespace

UpstreamTable::UpstreamTable(const RoutingSettings& aSettings)
  : settings(aSettings)
  , share(aSettings.seats)
{
}

UpstreamTable::Service& UpstreamTable::GetOrCreateService(const std::string& aName)
{
  auto [found, isNew] = this->services.try_emplace(aName);
  if (isNew) {
    auto serviceLimits = this->limits.find(aName);
    found->second.limits =
      serviceLimits == this->limits.end() ? this->settings.limits : serviceLimits->second;
  }
  return found->second;
}

void UpstreamTable::Update(const std::vector<InstanceInfo>& aList)
{
  std::map<std::string, std::unordered_map<UpstreamId, bool>> listed;
  for (const InstanceInfo& info : aList) {
    if (info.kind == InstanceKind::Upstream && info.state != InstanceState::Gone) {
      this->AddOrUpdate(this->GetOrCreateService(info.service), info);
      listed[info.service][info.id] = true;
    }
  }
  for (auto& [name, service] : this->services) {
    this->RemoveUnlisted(service, listed[name]);
    this->RefreshShares(service);
    this->EnforceEjectionLimit(service);
  }
}

void UpstreamTable::AddOrUpdate(Service& aService, const InstanceInfo& aInfo)
{
  auto [found, isNew] = aService.positions.try_emplace(aInfo.id, aService.states.size());
  if (isNew) {
    aService.states.emplace_back();
    aService.details.emplace_back();
    aService.details.back().idHash = UpstreamShare::HashOf(aInfo.id);
  }
  UpstreamState& state = aService.states[found->second];
  state.isLive = aInfo.state == InstanceState::Live;
  state.isOwnDomain = aInfo.failureDomain == this->settings.failureDomain;
  aService.details[found->second].info = aInfo;
}

void UpstreamTable::RemoveUnlisted(Service& aService,
                                   const std::unordered_map<UpstreamId, bool>& aListed)
{
  for (std::size_t i = 0; i < aService.states.size();) {
    if (aListed.count(aService.details[i].info.id) > 0) {
      ++i;
      continue;
    }
    aService.states[i].isLive = false;
    aService.details[i].info.state = InstanceState::Gone;
    if (aService.states[i].usedSlots > 0) {
      // The list may be out of date and name the upstream again while its requests still run.
      ++i;
      continue;
    }
    aService.positions.erase(aService.details[i].info.id);
    if (i + 1 < aService.states.size()) {
      aService.states[i] = aService.states.back();
      aService.details[i] = std::move(aService.details.back());
      aService.positions[aService.details[i].info.id] = i;
    }
    aService.states.pop_back();
    aService.details.pop_back();
  }
}

void UpstreamTable::RefreshShares(Service& aService)
{
  for (std::size_t i = 0; i < aService.states.size(); ++i) {
    aService.states[i].slotShare =
      this->seat ? this->share.MaxRequests(aService.details[i].idHash, *this->seat, aService.limits)
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
  return found != this->services.end() && !found->second.states.empty();
}

bool UpstreamTable::HasLiveUpstream(const std::string& aService) const
{
  auto found = this->services.find(aService);
  return found != this->services.end() &&
         std::any_of(found->second.states.begin(),
                     found->second.states.end(),
                     [](const UpstreamState& aState) { return aState.isLive; });
}

void UpstreamTable::ReleaseExpiredHolds(Service& aService, TimePoint aNow)
{
  while (!aService.heldSlots.empty() && aService.heldSlots.begin()->first <= aNow) {
    auto position = aService.positions.find(aService.heldSlots.begin()->second);
    assert(position != aService.positions.end());
    UpstreamState& state = aService.states[position->second];
    assert(state.usedSlots > 0);
    --state.usedSlots;
    aService.heldSlots.erase(aService.heldSlots.begin());
  }
}

std::uint64_t UpstreamTable::Rank(const UpstreamState& aState,
                                  bool aIsRepeatable,
                                  TimePoint aNow) const
{
  if (!aState.isLive || aState.usedSlots >= aState.slotShare || aState.health == Health::Probing) {
    return kUnusableRank;
  }
  std::uint64_t rank = std::uint64_t{ aState.usedSlots } * 1024 / aState.slotShare;
  if (this->settings.isOwnDomainPreferred && !aState.isOwnDomain) {
    rank += kOtherDomainPenalty;
  }
  if (aState.health == Health::Ejected) {
    if (aNow < aState.ejectedUntil) {
      return kUnusableRank;
    }
    bool isProbeDue = aIsRepeatable || aNow >= aState.ejectedUntil + kProbeFallbackDelay;
    return isProbeDue ? 0 : rank + kProbePenalty;
  }
  // A failing upstream that can't be ejected fails quickly, so it would look least loaded.
  if (this->settings.ejectAfterFailures > 0 &&
      aState.consecutiveFailures >= this->settings.ejectAfterFailures) {
    rank += kFailingPenalty;
  }
  return rank;
}

std::optional<std::size_t> UpstreamTable::SelectUpstream(const Service& aService,
                                                         const SlotRequest& aRequest,
                                                         TimePoint aNow) const
{
  std::optional<std::size_t> best;
  std::uint64_t bestRank = kUnusableRank;
  std::size_t count = aService.states.size();
  for (std::size_t step = 0, i = aService.rotation; step < count; ++step, ++i) {
    i = i >= count ? 0 : i;
    std::uint64_t rank = this->Rank(aService.states[i], aRequest.isRepeatable, aNow);
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
  ReleaseExpiredHolds(service, aNow);
  auto selected = this->SelectUpstream(service, aRequest, aNow);
  if (!selected) {
    return std::nullopt;
  }
  service.rotation = *selected + 1 < service.states.size() ? *selected + 1 : 0;
  UpstreamState& state = service.states[*selected];
  ++state.usedSlots;
  assert(state.usedSlots <= state.slotShare);
  UpstreamSlot slot{ aRequest.service,
                     service.details[*selected].info.id,
                     service.details[*selected].info.endpoint };
  if (state.health == Health::Ejected) {
    state.health = Health::Probing;
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
  ReleaseExpiredHolds(found->second, aNow);
  return this->SelectUpstream(found->second, { aService, aIsRepeatable, {} }, aNow).has_value();
}

void UpstreamTable::Release(const UpstreamSlot& aSlot,
                            SendOutcome aOutcome,
                            TimePoint aSentAt,
                            TimePoint aNow)
{
  Service& service = this->GetOrCreateService(aSlot.service);
  auto position = service.positions.find(aSlot.upstream);
  assert(position != service.positions.end());
  UpstreamState& state = service.states[position->second];
  assert(state.usedSlots > 0);
  TimePoint freeAt = aSentAt + this->settings.maxRequestTimeout;
  if (aOutcome == SendOutcome::NoResponse && this->settings.isUnansweredSlotHeld && freeAt > aNow) {
    service.heldSlots.emplace(freeAt, aSlot.upstream);
  } else {
    --state.usedSlots;
  }
  if (aOutcome == SendOutcome::Responded) {
    this->OnSuccess(service, position->second, aSlot.isProbe, aNow);
  } else {
    this->OnFailure(service, position->second, aSlot.isProbe, aNow);
  }
}

void UpstreamTable::ReleaseUnused(const UpstreamSlot& aSlot)
{
  Service& service = this->GetOrCreateService(aSlot.service);
  auto position = service.positions.find(aSlot.upstream);
  assert(position != service.positions.end());
  UpstreamState& state = service.states[position->second];
  assert(state.usedSlots > 0);
  --state.usedSlots;
  if (aSlot.isProbe && state.health == Health::Probing) {
    state.health = Health::Ejected;
  }
}

bool UpstreamTable::CanEjectAnother(const Service& aService) const
{
  std::size_t live = 0;
  std::size_t ejected = 0;
  for (const UpstreamState& state : aService.states) {
    live += state.isLive ? 1 : 0;
    ejected += state.isLive && state.health != Health::Healthy ? 1 : 0;
  }
  return (ejected + 1) * 2 <= live;
}

void UpstreamTable::EnforceEjectionLimit(Service& aService)
{
  while (true) {
    std::size_t live = 0;
    std::size_t ejected = 0;
    UpstreamState* earliest = nullptr;
    for (UpstreamState& state : aService.states) {
      live += state.isLive ? 1 : 0;
      if (state.isLive && state.health != Health::Healthy) {
        ++ejected;
        earliest = !earliest || state.ejectedUntil < earliest->ejectedUntil ? &state : earliest;
      }
    }
    if (ejected * 2 <= live) {
      return;
    }
    earliest->health = Health::Healthy;
  }
}

void UpstreamTable::OnFailure(Service& aService,
                              std::size_t aPosition,
                              bool aIsProbe,
                              TimePoint aNow)
{
  UpstreamState& state = aService.states[aPosition];
  UpstreamDetail& detail = aService.details[aPosition];
  ++state.consecutiveFailures;
  // Attempts sent before the ejection don't decide the probe that is in flight.
  if (this->settings.ejectAfterFailures == 0 || state.health == Health::Ejected ||
      (state.health == Health::Probing && !aIsProbe)) {
    return;
  }
  if (state.health == Health::Healthy &&
      (state.consecutiveFailures < this->settings.ejectAfterFailures ||
       !this->CanEjectAnother(aService))) {
    return;
  }
  unsigned doublings = std::min(detail.ejections, kMaxDoublings);
  Duration duration = std::min(this->settings.maxEjectionTime,
                               this->settings.baseEjectionTime * (std::int64_t{ 1 } << doublings));
  ++detail.ejections;
  ++this->ejections;
  detail.lastEjection = aNow;
  state.health = Health::Ejected;
  state.ejectedUntil = aNow + duration;
  this->newEjections.push_back(
    { detail.info.service, detail.info.id, state.consecutiveFailures, duration });
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
  UpstreamState& state = aService.states[aPosition];
  UpstreamDetail& detail = aService.details[aPosition];
  if (state.health != Health::Healthy && !aIsProbe) {
    return;
  }
  state.consecutiveFailures = 0;
  state.health = Health::Healthy;
  // A successful probe doesn't reset the number of ejections, so an upstream that soon fails again
  // is ejected for longer.
  if (aNow - detail.lastEjection >= this->settings.maxEjectionTime) {
    detail.ejections = 0;
  }
}

unsigned UpstreamTable::SlotsInUse(TimePoint aNow)
{
  unsigned usedSlots = 0;
  for (auto& [name, service] : this->services) {
    ReleaseExpiredHolds(service, aNow);
    for (const UpstreamState& state : service.states) {
      usedSlots += state.usedSlots;
    }
  }
  return usedSlots;
}

std::optional<TimePoint> UpstreamTable::NextAvailabilityChange(const std::string& aService,
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
  if (!found->second.heldSlots.empty()) {
    consider(found->second.heldSlots.begin()->first);
  }
  for (const UpstreamState& state : found->second.states) {
    if (state.isLive && state.health == Health::Ejected) {
      consider(state.ejectedUntil);
      consider(state.ejectedUntil + kProbeFallbackDelay);
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
  ReleaseExpiredHolds(found->second, aNow);
  for (const UpstreamState& state : found->second.states) {
    counts.live += state.isLive ? 1 : 0;
    counts.leaving += state.isLive ? 0 : 1;
    counts.ejected += state.isLive && state.health != Health::Healthy ? 1 : 0;
    counts.slots += state.isLive ? state.slotShare : 0;
    counts.slotsInUse += state.usedSlots;
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
