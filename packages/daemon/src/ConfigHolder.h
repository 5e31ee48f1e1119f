#pragma once
// The newest configuration known to this instance and its age.

#include "ConfigView.h"

#include "daisydrift/membership.h"

#include <functional>
#include <mutex>

namespace daisydrift {

/// Shared by the threads of a daemon. Thread-safe.
class ConfigHolder
{
public:
  /// Called after a newer configuration was adopted, without a lock held.
  using Listener = std::function<void(const ConfigView& aView)>;

  explicit ConfigHolder(const Clock& aClock);

  /// Sets the listener; before any thread runs.
  void SetListener(Listener aListener) { this->listener = std::move(aListener); }
  /// The newest configuration; version 0 and empty before the first one was read.
  Ref<const ConfigView> View() const;
  /// Version of View().
  ConfigVersion Version() const;

  /// The store answered a question sent at aSentAt with this document.
  void OnStoreDocument(ConfigDocument aDocument, TimePoint aSentAt);
  /// The store answered a watch sent at aSentAt: nothing has changed.
  void OnStoreUnchanged(TimePoint aSentAt);
  /// A peer sent its document.
  void OnPeerDocument(ConfigDocument aDocument);
  /// Evidence of an outage for all seats holds at aSince: no edit can have been made.
  void OnOutageEvidence(TimePoint aSince);

  /// True while keyed work may be accepted.
  bool CanAcceptAuthenticatedRequests() const;
  /// True once a document was adopted, or the store told that there is none.
  bool IsKnown() const;
  /// When the document was last confirmed by the store.
  TimePoint ConfirmedAt() const;

private:
  void Adopt(ConfigDocument aDocument);

  const Clock& clock;
  Listener listener;
  mutable std::mutex mutex;
  ConfigFreshness freshness;
  Ref<const ConfigView> view;
  TimePoint confirmedAt;
  bool isKnown = false;
};

} // namespace daisydrift
