#pragma once
// Version and age of the configuration that an instance holds.

#include "daisydrift/base.h"

#include <cstdint>

namespace daisydrift {

/// Requests with an API key are accepted and tasks started only while the configuration was
/// confirmed less than this long ago, since a key may have been revoked meanwhile (docs/design.md,
/// section 2.8).
constexpr std::chrono::seconds kMaxConfigAge{ 8 };
/// The leader starts tasks only while the configuration was confirmed less than this long ago.
constexpr std::chrono::seconds kMaxLeaderConfigAge{ 4 };
/// The document is read again when neither a watch nor a read has confirmed it for this long.
constexpr std::chrono::seconds kFallbackReadInterval{ 5 };
/// kFallbackReadInterval of the leader.
constexpr std::chrono::seconds kLeaderFallbackReadInterval{ 2 };

/// Tracks the version and the time of the last confirmation; the caller keeps the document itself.
/// A confirmation counts from the time the request was sent, so that a delayed response does not
/// count as recent. Not thread-safe.
class ConfigFreshness
{
public:
  /// The store returned aVersion for a read or watch sent at aSentAt. Returns true when the version
  /// is higher than the one held and must be adopted. A lower version is ignored.
  bool OnStoreResponse(std::uint64_t aVersion, TimePoint aSentAt);
  /// A watch sent at aSentAt ended without a change.
  void OnWatchUnchanged(TimePoint aSentAt);
  /// Returns true when aVersion, held by a peer, is higher and must be fetched from the peer.
  bool OnPeerVersion(std::uint64_t aVersion) const;
  /// The document aVersion was fetched from a peer. Returns true when it must be adopted. It does
  /// not confirm the configuration, since the peer's version may be old too.
  bool OnPeerDocument(std::uint64_t aVersion);
  /// The seats of all regions showed at aSince that the store is unreachable, so no edit can have
  /// been made by then. Counts as a confirmation.
  void OnOutageEvidence(TimePoint aSince);

  /// Version held; 0 when none.
  std::uint64_t Version() const { return this->version; }
  /// True while requests with an API key may be accepted and, on an instance that is not the
  /// leader, processed.
  bool CanAcceptAuthenticatedRequests(TimePoint aNow) const;
  /// True while the leader may start tasks.
  bool CanStartTasks(TimePoint aNow) const;
  /// True when the document should be read because no watch has confirmed it lately.
  bool IsFallbackReadDue(TimePoint aNow, bool aIsLeader) const;
  /// A fallback read was sent at aNow.
  void OnFallbackRead(TimePoint aNow);

private:
  bool IsConfirmedWithin(Duration aAge, TimePoint aNow) const;
  void Confirm(TimePoint aSentAt);

  std::uint64_t version = 0;
  TimePoint confirmedAt = TimePoint::min();
  TimePoint lastRead = TimePoint::min();
};

} // namespace daisydrift
