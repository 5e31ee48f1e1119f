#pragma once
// Static share of an upstream that belongs to one seat.

#include "daisydrift/base.h"
#include "daisydrift/routing/RoutingSettings.h"

#include <cstdint>
#include <string_view>

namespace daisydrift {

/// Splits the limits of each upstream among the seats without any traffic between instances.
class UpstreamShare
{
public:
  /// aSeats is the number of seats, at least 1.
  explicit UpstreamShare(unsigned aSeats);

  /// Slots of aSeat at the upstream with number aUpstream. Over all seats they sum to aLimit.
  unsigned Slots(std::uint64_t aUpstreamHash, unsigned aSeat, unsigned aLimit) const;
  /// Connections of a seat at any upstream, rounded down. Over all seats they sum to at most
  /// aLimit.
  unsigned Connections(unsigned aLimit) const;
  /// Requests aSeat may have at the upstream at once: each needs a slot and a connection.
  unsigned MaxRequests(std::uint64_t aUpstreamHash,
                       unsigned aSeat,
                       const UpstreamLimits& aLimits) const;

  /// Number of an upstream for Slots(). It depends on the id alone: a position in the directory's
  /// list differs between instances while the list lags, and shares would then sum to more than
  /// the limit.
  static std::uint64_t HashOf(std::string_view aUpstreamId);

private:
  unsigned seats;
};

} // namespace daisydrift
