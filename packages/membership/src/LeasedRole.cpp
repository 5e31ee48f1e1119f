#include "daisydrift/membership/LeasedRole.h"

#include <cassert>

namespace daisydrift {

namespace {

StateChart ParseChart(const char* aText, const std::string& aName)
{
  Findings findings;
  auto chart = StateChart::Parse(aText, aName, findings);
  assert(chart && "an embedded state chart is malformed");
  return std::move(*chart);
}

} // namespace

LeasedRole::LeasedRole(Store& aStore,
                       const Clock& aClock,
                       LeaseOptions aOptions,
                       const char* aChart,
                       const std::string& aChartName)
  : key(aStore, aClock, aOptions)
  , chart(ParseChart(aChart, aChartName))
  , state(this->chart.Initial())
{
}

bool LeasedRole::Fire(const std::string& aEvent)
{
  auto next = this->chart.Next(this->state, aEvent);
  if (!next) {
    return false;
  }
  this->state = *next;
  return true;
}

void LeasedRole::OnClaimed()
{
  this->evidence = {};
  this->evidence.OnLeaseConfirmed(this->key.ValidUntil());
}

std::error_code LeasedRole::Renew()
{
  auto error = this->key.Renew();
  if (!error) {
    this->evidence.OnLeaseConfirmed(this->key.ValidUntil());
  } else if (error == Errc::LeaseExpired) {
    this->OnLost();
  }
  return error;
}

void LeasedRole::Refresh(TimePoint aNow, bool aCanContinue)
{
  if (this->state == this->chart.Initial()) {
    return;
  }
  if (this->key.IsConfirmed(aNow)) {
    this->Fire("confirmed");
    return;
  }
  this->Fire("unconfirmed");
  if (this->evidence.IsSuperseded()) {
    this->OnLost();
    return;
  }
  this->Fire(aCanContinue && this->evidence.CanContinue(aNow) ? "evidence" : "no_evidence");
}

void LeasedRole::OnLost()
{
  this->Fire("lost");
  this->key.Abandon();
}

} // namespace daisydrift
