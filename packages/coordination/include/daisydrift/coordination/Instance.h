#pragma once
// One scheduler instance on a platform with a key-value store.

#include "daisydrift/coordination/AdviceClient.h"
#include "daisydrift/coordination/FleetConfig.h"
#include "daisydrift/coordination/KeyValueStore.h"
#include "daisydrift/coordination/MachineGateway.h"
#include "daisydrift/coordination/PeerTransport.h"
#include "daisydrift/coordination/WorkerGateway.h"
#include "daisydrift/http.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>

namespace daisydrift {

/// Identity and timing of an instance.
struct InstanceSettings
{
  std::string name;
  FailureDomain domain;
  /// Address on which other instances call this one.
  SocketEndpoint peerEndpoint;
  /// Prefix of all keys that the instance writes.
  std::string storePrefix = "daisydrift/";
  /// Prefixes of the operators' keys and of the platform's worker list.
  std::string operatorPrefix;
  std::string workerPrefix;
  DispatchSettings dispatch;
  /// Time to live of the membership and leadership lease; bounds the time without a leader after
  /// one crashes. The platform's store grants no shorter lease.
  Duration membershipLease = std::chrono::milliseconds(1000);
  /// Delay before this instance campaigns for leadership; longer on machines with fewer cores, so
  /// that the larger ones lead.
  Duration campaignDelay{ 0 };
  /// Time between lease renewals; the lease survives two lost renewals.
  Duration renewInterval = std::chrono::milliseconds(300);
  /// Longest time that a watch waits for a change. Well below the time in which operators expect a
  /// change in force, since a dead connection is noticed only after it.
  Duration maxWatchWait = std::chrono::seconds(1);
  /// Time in which operators expect a change of the configuration in force. A request is decided by
  /// an older one only when the newest can't be had, and is then not refused for good.
  Duration maxConfigAge = std::chrono::seconds(2);
  /// Time between reads of the changes to the worker list and to the stored jobs.
  Duration listPollInterval = std::chrono::milliseconds(400);
  /// Greatest age of the list of workers by which a task is started: operators expect that a worker
  /// which is to leave gets no task after a time.
  Duration maxWorkerListAge = std::chrono::milliseconds(1700);
  /// Longest time that a worker delays its response to a poll; each poll renews the worker's lease.
  Duration pollWait = std::chrono::milliseconds(1000);
  /// Least time for which the final state of a job can be queried.
  Duration retention = std::chrono::seconds(130);
  /// Time after its election for which a leader sends no maintenance commands, so that the commands
  /// of two leaders never interleave. Equals the platform's bound on a lease's time to live;
  /// workers' leases have a bound of their own, DispatchSettings::maxLease.
  Duration maintenanceDelay = std::chrono::milliseconds(3000);
  /// Time between announcements of the leader to the other instances.
  Duration announceInterval = std::chrono::milliseconds(700);
  /// Refuse jobs that can't end while they have value, by the leader's forecast.
  bool admission = false;
  /// Multiplies the tracked error of the forecast: with more, fewer jobs are refused.
  double admissionMargin = 1;
};

/// Parsers for the documents that operators and the platform write; provided by the platform
/// adapter.
struct PlatformDecoders
{
  /// Parses the configuration; returns nothing and adds findings when it is invalid.
  std::function<std::optional<FleetConfig>(const std::string& aDocument, Findings& aFindings)>
    config;
  /// Parses an entry of the worker list; nothing when it does not describe a usable worker.
  std::function<std::optional<WorkerListing>(const std::string& aKey, const std::string& aValue)>
    worker;
  /// Key of the configuration, below the operators' prefix.
  std::string configKey;
  /// Prefix of the keys that drain a failure domain; the rest of the key is its name.
  std::string drainPrefix;
  /// Prefix of the keys that request a maintenance wave, and the parser of their values, which
  /// returns nothing when a value is malformed.
  std::string wavePrefix;
  std::function<std::optional<MaintenanceWave>(const std::string& aValue)> wave;
  /// Key prefix of a wave's status, followed by its number, and the value that is written there.
  std::string waveStatusPrefix;
  std::function<std::string(bool aIsCompleted)> waveStatus;
  /// Say in one short line why `worker` or `wave` returned nothing; empty for no reason.
  std::function<std::string(const std::string& aKey, const std::string& aValue)> workerProblem;
  std::function<std::string(const std::string& aValue)> waveProblem;
};

/// Result of a submission.
enum class SubmitOutcome
{
  Accepted,
  /// Not stored, and never will be; the caller may retry.
  Refused,
  /// The job may have been stored.
  Unknown
};

/// A scheduler instance. All callbacks run on the event loop.
class Instance
{
public:
  Instance(EventLoop& aLoop,
           KeyValueStore& aStore,
           WorkerGateway& aWorkers,
           MachineGateway& aMachines,
           AdviceClient& aAdvice,
           PeerTransport& aPeers,
           Metrics& aMetrics,
           PlatformDecoders aDecoders,
           InstanceSettings aSettings);
  ~Instance();
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  void Start();
  /// Resigns from leadership; callers' requests are still served.
  void BeginStop();

  /// True when this instance leads and has loaded the stored jobs.
  bool IsLeading() const;

  /// The newest configuration, or null before the first one was read.
  const FleetConfig* Config() const;
  /// Time since that configuration is known to have been the newest in the store.
  Duration ConfigAge() const;
  /// Makes sure that the configuration was the newest within InstanceSettings::maxConfigAge, if
  /// need be by a read of the store. Calls aDone with true, at once when it is known, or with
  /// false: at once while the store is unavailable, otherwise after aTimeout or some 0.3 s.
  void ConfirmConfig(Duration aTimeout, std::function<void(bool)> aDone);
  /// Sets the action that runs after each change of the configuration.
  void OnConfigChange(std::function<void(const FleetConfig&)> aAction);
  /// True when callers' requests can be served.
  bool IsReady() const;

  /// Decides whether a job is to be submitted or refused because of the load. A job that is refused
  /// is not stored, and no job is stored under its id. aDone runs within half of aTimeout, at once
  /// when the job is admitted by the forecast.
  void Admit(const JobDefinition& aDefinition,
             Duration aTimeout,
             std::function<void(const std::optional<AdmissionRefusal>&)> aDone);
  /// Stores a job. The callback runs within aTimeout.
  void Submit(const JobDefinition& aDefinition,
              Duration aTimeout,
              std::function<void(SubmitOutcome)> aDone);
  /// Returns the state of a job. Errors: NotFound (no such job), Corrupt (its stored progress is
  /// malformed), and the store's error when aTimeout ends without an answer.
  void Query(const JobId& aJob,
             Duration aTimeout,
             const std::function<void(const Result<DispatchState>&)>& aDone);
  /// Cancels a job; aDone runs once that is stored. Errors: NotFound (no such job), OutcomeUnknown
  /// (not confirmed; the job may be cancelled), Unreachable (not carried out, and never will be).
  void Cancel(const JobId& aJob,
              Duration aTimeout,
              const std::function<void(std::error_code)>& aDone);
  /// Answers all open submissions and cancellations at once, before the process ends. Those that
  /// have had no effect so far have none later.
  void EndOpenRequests();
  /// Counts the accepted jobs of a queue that have not started. Error Unreachable: no leader has
  /// answered within aTimeout.
  void CountPending(const QueueName& aQueue,
                    Duration aTimeout,
                    const std::function<void(const Result<std::size_t>&)>& aDone);

  /// Handles a call from another instance. The caller receives the value or the error that is
  /// passed to aReply.
  void OnPeerCall(const std::string& aMethod,
                  const nlohmann::json& aArguments,
                  const std::function<void(const Result<nlohmann::json>&)>& aReply);

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace daisydrift
