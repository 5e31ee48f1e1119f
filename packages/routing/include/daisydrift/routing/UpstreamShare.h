#pragma once
// The fixed share of an upstream's capacity that belongs to one seat.

#include "daisydrift/base.h"
#include "daisydrift/routing/RoutingSettings.h"

#include <cstdint>
#include <string_view>

namespace daisydrift {

/// Divides the limits of each upstream among the seats. Every instance computes the same division,
/// so the instances exchange no messages about it. See RoutingSettings::seats for what a seat is.
class UpstreamShare
{
public:
  /// aSeats is the number of seats, at least 1.
  explicit UpstreamShare(unsigned aSeats);

  /// Slots that aSeat may use at an upstream. aUpstreamHash comes from HashOf() and decides which
  /// seats get one slot more when aLimit isn't divisible by the number of seats. Over all seats the
  /// slots sum to aLimit.
  unsigned Slots(std::uint64_t aUpstreamHash, unsigned aSeat, unsigned aLimit) const;
  /// Connections of each seat at any upstream, rounded down. Over all seats they sum to at most
  /// aLimit.
  unsigned Connections(unsigned aLimit) const;
  /// Most concurrent requests of aSeat at the upstream; each needs a slot and a connection.
  unsigned MaxRequests(std::uint64_t aUpstreamHash,
                       unsigned aSeat,
                       const UpstreamLimits& aLimits) const;

  /// Hash of an upstream for Slots(). It depends on the id alone: a position in the directory's
  /// list differs between instances while their lists are out of date, and the shares could then
  /// sum to more than the limit.
  static std::uint64_t HashOf(std::string_view aUpstreamId);

private:
  unsigned seats;
};

} // namespace daisydrift
