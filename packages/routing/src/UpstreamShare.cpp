#include "daisydrift/routing/UpstreamShare.h"

#include <algorithm>
#include <cassert>

namespace daisydrift {

UpstreamShare::UpstreamShare(unsigned aSeats)
  : seats(aSeats)
{
  assert(aSeats > 0);
}

unsigned UpstreamShare::Slots(std::uint64_t aUpstreamHash, unsigned aSeat, unsigned aLimit) const
{
  assert(aSeat < this->seats);
  bool getsRemainder = (aSeat + aUpstreamHash % this->seats) % this->seats < aLimit % this->seats;
  return aLimit / this->seats + (getsRemainder ? 1 : 0);
}

unsigned UpstreamShare::Connections(unsigned aLimit) const
{
  return aLimit / this->seats;
}

unsigned UpstreamShare::MaxRequests(std::uint64_t aUpstreamHash,
                                    unsigned aSeat,
                                    const UpstreamLimits& aLimits) const
{
  return std::min(this->Slots(aUpstreamHash, aSeat, aLimits.slots),
                  this->Connections(aLimits.connections));
}

std::uint64_t UpstreamShare::HashOf(std::string_view aUpstreamId)
{
  // FNV-1a gives the same value on every machine, unlike std::hash.
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (unsigned char byte : aUpstreamId) {
    hash = (hash ^ byte) * 0x100000001b3ULL;
  }
  return hash;
}

} // namespace daisydrift
