#pragma once
// State of a role held under a lease, interpreted from a state chart.

#include "daisydrift/membership/LeasedKey.h"
#include "daisydrift/membership/OutageEvidence.h"

#include <string>

namespace daisydrift {

/// A leased key, the evidence for going on without it, and the state that follows from both.
class LeaseState
{
public:
  /// aChart: text of a chart with the events unconfirmed, confirmed, evidence, no_evidence and
  /// lost.
  LeaseState(Store& aStore,
             const Clock& aClock,
             LeaseOptions aOptions,
             const char* aChart,
             const std::string& aChartName);

  LeasedKey& Key() { return this->key; }
  const LeasedKey& Key() const { return this->key; }
  OutageEvidence& Evidence() { return this->evidence; }
  /// Name of the current state.
  const std::string& Name() const { return this->state; }
  /// Fires an event; returns false when the chart has no such event in the current state.
  bool Fire(const std::string& aEvent);
  /// The key was just claimed: starts with fresh evidence.
  void OnClaimed();
  /// Renews the lease; errors as LeasedKey::Renew. The caller has read the table just before.
  std::error_code Renew();
  /// Fires the events that are due at aNow. aMayContinue: whether evidence may be used at all.
  void Refresh(TimePoint aNow, bool aMayContinue);
  /// The role is lost; calls no store.
  void Lose();

private:
  LeasedKey key;
  OutageEvidence evidence;
  StateChart chart;
  std::string state;
};

} // namespace daisydrift
