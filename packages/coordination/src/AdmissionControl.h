#pragma once
// Refuses jobs that can't end while they have value, by the leader's forecast.

#include "ConfigFollower.h"
#include "ForecastCodec.h"
#include "Membership.h"

#include <deque>
#include <set>

namespace daisydrift::coordination {

/// Keeps the newest forecast of the leaders and decides on new jobs by it (AdmissionPolicy). A job
/// is refused only after a read of the store has shown that no job is stored under its id, since an
/// earlier request with that id may have been accepted.
class AdmissionControl
{
public:
  AdmissionControl(EventLoop& aLoop,
                   KeyValueStore& aStore,
                   const Membership& aMembership,
                   const ConfigFollower& aConfig,
                   const InstanceSettings& aSettings,
                   Metrics& aMetrics);

  /// Keeps a forecast that was computed aAge ago, unless a newer one is known.
  void Adopt(FleetForecast aForecast, Duration aAge);
  /// Reads a forecast of an announcement; drops and counts one that can't be read.
  void Receive(const nlohmann::json& aDocument);
  /// Decides on a job that is to be submitted. aDone runs within half of aTimeout, at once if
  /// the job is admitted by the forecast.
  void Decide(const JobDefinition& aDefinition,
              Duration aTimeout,
              std::function<void(const std::optional<AdmissionRefusal>&)> aDone);

private:
  using Done = std::function<void(const std::optional<AdmissionRefusal>&)>;
  struct Reading;

  std::optional<AdmissionRefusal> DecideByForecast(const JobDefinition& aDefinition);
  /// Admits a job whose id may be stored; refuses it otherwise.
  void ConfirmByStore(const JobDefinition& aDefinition,
                      const AdmissionRefusal& aRefusal,
                      Duration aTimeout,
                      Done aDone);
  void Admit(const JobId& aJob, const Done& aDone);
  void Refuse(const JobDefinition& aDefinition,
              const AdmissionRefusal& aRefusal,
              const Done& aDone);

  EventLoop& loop;
  KeyValueStore& store;
  const Membership& membership;
  const ConfigFollower& config;
  const InstanceSettings& settings;
  Metrics& metrics;
  AdmissionPolicy policy;
  LogSampler sampler;
  std::optional<FleetForecast> forecast;
  TimePoint computedAt;
  bool wasUnreadableLogged = false;
  /// The last jobs that were admitted here, in this order. A write of one of them may still be on
  /// its way, so a read that does not find it proves nothing.
  std::set<JobId> admitted;
  std::deque<JobId> admittedOrder;
};

} // namespace daisydrift::coordination
