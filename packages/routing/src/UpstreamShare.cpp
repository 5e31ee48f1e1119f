#include "daisydrift/routing/UpstreamShare.h"

#include <algorithm>
#include <cassert>

namespace daisydrift {

UpstreamShare::UpstreamShare(unsigned aSeats)
  : seats(aSeats)
{
  assert(aSeats > 0);
}

unsigned UpstreamShare::Slots(std::uint64_t aUpstream, unsigned aSeat, unsigned aLimit) const
{
  assert(aSeat < this->seats);
  bool getsRest = (aSeat + aUpstream % this->seats) % this->seats < aLimit % this->seats;
  return aLimit / this->seats + (getsRest ? 1 : 0);
}

unsigned UpstreamShare::Connections(unsigned aLimit) const
{
  return aLimit / this->seats;
}

unsigned UpstreamShare::Requests(std::uint64_t aUpstream,
                                 unsigned aSeat,
                                 const UpstreamLimits& aLimits) const
{
  return std::min(this->Slots(aUpstream, aSeat, aLimits.slots),
                  this->Connections(aLimits.connections));
}

std::uint64_t UpstreamShare::NumberOf(std::string_view aUpstream)
{
  // FNV-1a: the same on every machine, unlike std::hash.
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (unsigned char byte : aUpstream) {
    hash = (hash ^ byte) * 0x100000001b3ULL;
  }
  return hash;
}

} // namespace daisydrift
