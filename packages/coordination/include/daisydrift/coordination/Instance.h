#pragma once
// One instance of the product on a platform with a store.

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

/// What an instance knows of itself, and its times.
struct InstanceSettings
{
  std::string name;
  FailureDomain domain;
  /// Where other instances call it.
  SocketEndpoint peerEndpoint;
  /// Prefix of everything that it writes to the store.
  std::string storePrefix = "daisydrift/";
  /// Prefix of the operators' keys, and of the platform's list of workers.
  std::string operatorPrefix;
  std::string workerPrefix;
  DispatchSettings dispatch;
  /// Lease of membership and leadership: bounds the gap after a leader that vanishes. Source: the
  /// shortest one that the platform's store grants.
  Duration membershipLease = std::chrono::milliseconds(1000);
  /// Weak instances stand for leadership later, so that strong ones lead.
  Duration standDelay{ 0 };
  /// Time between renewals: two may be lost.
  Duration renewInterval = std::chrono::milliseconds(300);
  /// Longest wait of a watch for rare changes: bounds the time that a silent connection hides them.
  Duration watchWait = std::chrono::seconds(3);
  /// Time between looks at the lists of workers and of new jobs.
  Duration listInterval = std::chrono::milliseconds(400);
  /// Wait of a look at a worker where nothing ends; renews its lease.
  Duration lookWait = std::chrono::milliseconds(1000);
  /// Final states are shown at least this long.
  Duration retention = std::chrono::seconds(130);
  /// Time for which a new leader gives no orders about machines, so that two leaders never take
  /// turns at one. Source: the platform's bound on a lease.
  Duration orderPause = std::chrono::milliseconds(3000);
  /// Time between announcements of the leader to the other instances.
  Duration announceInterval = std::chrono::milliseconds(700);
};

/// Reads what operators and the platform write; implemented by the adapter.
struct PlatformDecoders
{
  /// The configuration, or findings.
  std::function<std::optional<FleetConfig>(const std::string& aDocument, Findings& aFindings)>
    config;
  /// A listed worker; nothing when the entry names none that can be used.
  std::function<std::optional<WorkerListing>(const std::string& aKey, const std::string& aValue)>
    worker;
  /// Key of the configuration, below the operators' prefix.
  std::string configKey;
  /// Prefix of keys that take a failure domain out of service; the rest of the key is its name.
  std::string drainPrefix;
  /// Prefix of keys that ask for a wave of upkeep, and what one asks for; nothing when unreadable.
  std::string wavePrefix;
  std::function<std::optional<UpkeepWave>(const std::string& aValue)> wave;
  /// Prefix under which the state of a wave is written, by its number, and its text.
  std::string waveStatusPrefix;
  std::function<std::string(bool aIsCompleted)> waveStatus;
};

/// Answer to a submission.
enum class SubmitOutcome
{
  Accepted,
  /// Not stored and never will be; the caller may come back.
  Refused,
  /// May have been stored.
  Unknown
};

/// An instance. All callbacks run on the event loop.
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
  /// Gives up leadership; callers are still served.
  void BeginStop();

  /// True when this instance leads and knows the stored jobs.
  bool IsLeading() const;

  /// The configuration in force, or null before the first.
  const FleetConfig* Config() const;
  /// Called after each change of the configuration.
  void OnConfigChange(std::function<void(const FleetConfig&)> aAction);
  /// True when callers can be served.
  bool IsReady() const;

  /// Stores a job. Within aTimeout the callback is called.
  void Submit(const JobDefinition& aDefinition,
              Duration aTimeout,
              std::function<void(SubmitOutcome)> aDone);
  /// State of a job; NotFound when no such job exists.
  void Query(const JobId& aJob,
             Duration aTimeout,
             const std::function<void(const Result<DispatchState>&)>& aDone);
  /// Cancels a job; done when that is stored. Error NotFound: no such job.
  void Cancel(const JobId& aJob,
              Duration aTimeout,
              const std::function<void(std::error_code)>& aDone);
  /// Accepted jobs of a queue that have not begun.
  void CountPending(const QueueName& aQueue,
                    Duration aTimeout,
                    const std::function<void(const Result<std::size_t>&)>& aDone);

  /// Answers a call of another instance. Error: what the caller gets instead of an answer.
  void OnPeerCall(const std::string& aMethod,
                  const nlohmann::json& aArguments,
                  const std::function<void(const Result<nlohmann::json>&)>& aReply);

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace daisydrift
