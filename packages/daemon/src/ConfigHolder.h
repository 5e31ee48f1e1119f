#pragma once
// The newest configuration known to this instance, and when it was confirmed.

#include "ConfigView.h"

#include "daisydrift/membership.h"

#include <functional>
#include <mutex>

namespace daisydrift {

/// Holds the newest configuration, which is shared by the threads of a daemon. Thread-safe.
class ConfigHolder
{
public:
  /// Called with each newly adopted configuration, in the order of their versions. Must not pass a
  /// document to this object.
  using Listener = std::function<void(const ConfigView& aView)>;

  explicit ConfigHolder(const Clock& aClock);

  /// Sets the listener. Must be called before any other thread uses this object.
  void SetListener(Listener aListener) { this->listener = std::move(aListener); }
  /// Returns the newest configuration: an empty one of version 0 until the first was read.
  Ref<const ConfigView> View() const;
  /// Version of View().
  ConfigVersion Version() const;

  /// Takes the document that the store returned for a read sent at aSentAt.
  void OnStoreDocument(ConfigDocument aDocument, TimePoint aSentAt);
  /// A watch sent at aSentAt ended without a change.
  void OnStoreUnchanged(TimePoint aSentAt);
  /// A call for the configuration failed, or returned a document that can't be read. Until the
  /// store responds again, newer documents of other instances are wanted.
  void OnStoreFailed();
  /// Returns true when a document of aVersion should be fetched from another instance: it is newer,
  /// and the store does not deliver it.
  bool WantsPeerDocument(ConfigVersion aVersion) const;
  /// Takes the document of another instance.
  void OnPeerDocument(ConfigDocument aDocument);
  /// Evidence at aSince shows that all seats are cut off from the store, so no edit can have been
  /// made: the configuration counts as confirmed at that time.
  void OnOutageEvidence(TimePoint aSince);

  /// Returns true while authenticated requests may be accepted: the configuration is known and was
  /// confirmed recently.
  bool CanAcceptAuthenticatedRequests() const;
  /// Returns true once a document was adopted or the store has replied that there is none.
  bool IsKnown() const;
  /// When the store last confirmed the configuration as the newest.
  TimePoint ConfirmedAt() const;

private:
  void Adopt(ConfigDocument aDocument);

  const Clock& clock;
  Listener listener;
  /// Held while a document is adopted and passed to the listener; locked before `mutex`.
  std::mutex adoptionMutex;
  mutable std::mutex mutex;
  ConfigFreshness freshness;
  Ref<const ConfigView> view;
  TimePoint confirmedAt;
  bool isKnown = false;
  bool hasStoreFailed = false;
};

} // namespace daisydrift
