#pragma once
// A role (seat or leadership) held under a lease, with its state chart.

#include "daisydrift/membership/LeasedKey.h"
#include "daisydrift/membership/OutageEvidence.h"

#include <string>

namespace daisydrift {

/// A leased key, the evidence for continuing after the end of the lease, and the state that follows
/// from both. Not thread-safe.
class LeasedRole
{
public:
  /// aChart: text of a state chart with the events unconfirmed, confirmed, evidence, no_evidence
  /// and lost. aChartName: its name in error messages.
  LeasedRole(Store& aStore,
             const Clock& aClock,
             LeaseOptions aOptions,
             const char* aChart,
             const std::string& aChartName);

  LeasedKey& Key() { return this->key; }
  const LeasedKey& Key() const { return this->key; }
  OutageEvidence& Evidence() { return this->evidence; }
  /// Name of the current state.
  const std::string& StateName() const { return this->state; }
  /// Applies an event; returns false when the current state has no transition for it.
  bool Fire(const std::string& aEvent);
  /// The key was just claimed: discards the evidence of the previous term.
  void OnClaimed();
  /// Renews the lease; errors as LeasedKey::Renew. The caller must have read the seat table just
  /// before.
  std::error_code Renew();
  /// Applies the events that are due at aNow. aCanContinue: whether the role may continue on
  /// evidence of an outage at all.
  void Refresh(TimePoint aNow, bool aCanContinue);
  /// The role is lost. Makes no store call.
  void OnLost();

private:
  LeasedKey key;
  OutageEvidence evidence;
  StateChart chart;
  std::string state;
};

} // namespace daisydrift
