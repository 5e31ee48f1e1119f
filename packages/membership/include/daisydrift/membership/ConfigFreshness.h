#pragma once
// Version and age of the configuration that an instance holds.

#include "daisydrift/base.h"

#include <cstdint>

namespace daisydrift {

/// Without a confirmation for this long, no keyed work is accepted and no task started (design
/// page, section 2.8).
constexpr std::chrono::seconds kKeyedWorkAge{ 8 };
/// The leader starts no tasks on a configuration confirmed longer ago than this.
constexpr std::chrono::seconds kLeaderStartAge{ 4 };
/// A silent watch is backed by a read after this long.
constexpr std::chrono::seconds kFallbackRead{ 5 };
/// The same on the leader.
constexpr std::chrono::seconds kLeaderFallbackRead{ 2 };

/// Pure bookkeeping; the caller keeps the document itself. Times are those at which the question
/// was sent, so that a delayed answer does not count as recent.
class ConfigFreshness
{
public:
  /// The store answered with aVersion to a read or watch sent at aSentAt. Returns true when the
  /// version is higher than the one held and must be adopted. A lower version is ignored.
  bool OnStoreAnswer(std::uint64_t aVersion, TimePoint aSentAt);
  /// A pending watch ended without a change of the version held; it was sent at aSentAt.
  void OnWatchUnchanged(TimePoint aSentAt);
  /// A peer holds aVersion. Returns true when it is higher and must be fetched from the peer.
  bool OnPeerVersion(std::uint64_t aVersion) const;
  /// The document aVersion was fetched from a peer. Returns true when it must be adopted. It is no
  /// confirmation: the peer's version may be old too.
  bool OnPeerDocument(std::uint64_t aVersion);
  /// Outage evidence of the seats of all regions holds at aSince: no edit can have been made.
  void OnOutageEvidence(TimePoint aSince);

  /// Version held; 0 when none.
  std::uint64_t Version() const { return this->version; }
  /// True while keyed work may be accepted and, on an instance that is not the leader, acted upon.
  bool MayAcceptKeyedWork(TimePoint aNow) const;
  /// True while the leader may start tasks.
  bool MayStartTasks(TimePoint aNow) const;
  /// True when the document should be read because the watch is silent.
  bool IsFallbackReadDue(TimePoint aNow, bool aIsLeader) const;
  /// A fallback read was sent.
  void OnFallbackRead(TimePoint aNow);

private:
  bool IsConfirmedWithin(Duration aAge, TimePoint aNow) const;
  void Confirm(TimePoint aSentAt);

  std::uint64_t version = 0;
  TimePoint confirmedAt = TimePoint::min();
  TimePoint lastRead = TimePoint::min();
};

} // namespace daisydrift
