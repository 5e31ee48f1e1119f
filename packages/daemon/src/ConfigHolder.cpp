#include "ConfigHolder.h"

namespace daisydrift {

ConfigHolder::ConfigHolder(const Clock& aClock)
  : clock(aClock)
  , view(MakeRef<const ConfigView>(ConfigDocument{}))
{
}

Ref<const ConfigView> ConfigHolder::View() const
{
  std::lock_guard lock(this->mutex);
  return this->view;
}

ConfigVersion ConfigHolder::Version() const
{
  return this->View()->Document().version;
}

void ConfigHolder::OnStoreDocument(ConfigDocument aDocument, TimePoint aSentAt)
{
  bool isNew = false;
  {
    std::lock_guard lock(this->mutex);
    // The first reply is adopted even if there is no document yet, so that a leader can start.
    isNew = this->freshness.OnStoreResponse(aDocument.version, aSentAt) || !this->isKnown;
    bool isConfirmed = aDocument.version >= this->freshness.Version();
    this->confirmedAt = isConfirmed ? std::max(this->confirmedAt, aSentAt) : this->confirmedAt;
    this->isKnown = true;
    this->hasStoreFailed = false;
  }
  if (isNew) {
    this->Adopt(std::move(aDocument));
  }
}

void ConfigHolder::OnStoreUnchanged(TimePoint aSentAt)
{
  std::lock_guard lock(this->mutex);
  this->hasStoreFailed = false;
  this->freshness.OnWatchUnchanged(aSentAt);
  this->confirmedAt = std::max(this->confirmedAt, aSentAt);
}

void ConfigHolder::OnStoreFailed()
{
  std::lock_guard lock(this->mutex);
  this->hasStoreFailed = true;
}

bool ConfigHolder::WantsPeerDocument(ConfigVersion aVersion) const
{
  std::lock_guard lock(this->mutex);
  return this->hasStoreFailed && aVersion > this->view->Document().version;
}

void ConfigHolder::OnPeerDocument(ConfigDocument aDocument)
{
  bool isNew = false;
  {
    std::lock_guard lock(this->mutex);
    isNew = this->freshness.OnPeerDocument(aDocument.version);
  }
  if (isNew) {
    this->Adopt(std::move(aDocument));
  }
}

void ConfigHolder::OnOutageEvidence(TimePoint aSince)
{
  std::lock_guard lock(this->mutex);
  this->freshness.OnOutageEvidence(aSince);
}

bool ConfigHolder::CanAcceptAuthenticatedRequests() const
{
  std::lock_guard lock(this->mutex);
  return this->isKnown && this->freshness.CanAcceptAuthenticatedRequests(this->clock.Now());
}

bool ConfigHolder::IsKnown() const
{
  std::lock_guard lock(this->mutex);
  return this->isKnown;
}

TimePoint ConfigHolder::ConfirmedAt() const
{
  std::lock_guard lock(this->mutex);
  return this->confirmedAt;
}

void ConfigHolder::Adopt(ConfigDocument aDocument)
{
  auto adopted = MakeRef<const ConfigView>(std::move(aDocument));
  // One adoption at a time, so that the listener gets the versions in their order.
  std::lock_guard adoption(this->adoptionMutex);
  {
    std::lock_guard lock(this->mutex);
    if (adopted->Document().version < this->view->Document().version) {
      return;
    }
    this->view = adopted;
    this->isKnown = true;
  }
  LogLine(LogLevel::Info, "configuration_adopted").Add("version", adopted->Document().version);
  if (this->listener) {
    this->listener(*adopted);
  }
}

} // namespace daisydrift
