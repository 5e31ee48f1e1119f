#pragma once
// Writes job records in batches, conditional on this instance's leadership.

#include "daisydrift/coordination/Instance.h"

#include <deque>
#include <functional>
#include <map>
#include <set>

namespace daisydrift::coordination {

/// Keys of a job's records.
std::string DefinitionKey(const std::string& aPrefix, const JobId& aJob);
std::string ProgressKey(const std::string& aPrefix, const JobId& aJob);
/// Key of one part of a job's progress, and the reverse: the job and the part. Nothing for the key
/// of a whole record.
std::string ProgressPartKey(const std::string& aPrefix, const JobId& aJob, std::uint64_t aPart);
std::optional<std::pair<JobId, std::uint64_t>> ParseProgressPartKey(const std::string& aPrefix,
                                                                    const std::string& aKey);
std::string DefinitionPrefix(const std::string& aPrefix);
std::string ProgressPrefix(const std::string& aPrefix);

/// Writes each batch as several transactions in parallel. A batch starts at once when none is in
/// flight, otherwise a short interval after the previous one, so that a slow store or a lost
/// response delays few records. A key must not be part of two batches in flight. A transaction is
/// retried until it is stored or another instance leads. A transaction whose response was lost may
/// still be applied seconds later; every transaction therefore checks and changes a guard key, so
/// that a late one cannot overwrite newer records. One that the store refuses as invalid is
/// divided; a single record that it refuses again and again is given up, so that it holds back no
/// others.
class RecordWriter
{
public:
  struct Hooks
  {
    /// Returns the records of a batch that is about to start, by key; an empty value deletes the
    /// key. Batch numbers start at 1.
    std::function<std::map<std::string, std::string>(std::uint64_t aBatch)> takeBatch;
    /// A batch is stored. Batches may finish out of order.
    std::function<void(std::uint64_t aBatch)> onBatchStored;
    /// Another instance leads.
    std::function<void()> onLeadershipLost;
    /// This instance led when a transaction that was sent at aSentAt was applied.
    std::function<void(TimePoint aSentAt)> onLeadershipConfirmed;
    /// The store refuses a record of the batch, whose value has aBytes bytes. Called before
    /// onBatchStored of the batch, which is then stored without it.
    std::function<void(std::uint64_t aBatch, const std::string& aKey, std::size_t aBytes)>
      onRecordRefused;
  };

  RecordWriter(EventLoop& aLoop,
               KeyValueStore& aStore,
               KeyValueTransaction::Condition aLeadership,
               std::string aGuardPrefix,
               Hooks aHooks);
  ~RecordWriter();

  /// Requests a batch for records that are new or were deferred while in flight.
  void Flush();
  /// Start time of the oldest batch in flight; nothing when there is none.
  std::optional<TimePoint> OldestBatchStart() const;

private:
  /// One transaction of a batch, with the position of its guard key.
  struct BatchPart
  {
    std::uint64_t batch = 0;
    std::size_t position = 0;
    KeyValueTransaction transaction;
    /// Size of the values.
    std::size_t bytes = 0;
    std::shared_ptr<bool> isStored = std::make_shared<bool>(false);
    /// Remaining attempts that may be sent in parallel to an unanswered one.
    std::shared_ptr<int> hedgesLeft = std::make_shared<int>(3);
    /// Attempts that the store has refused as invalid.
    std::shared_ptr<int> refusals = std::make_shared<int>(0);
  };

  struct Batch
  {
    TimePoint startedAt;
    std::size_t partsLeft = 0;
  };

  void StartBatchIfDue();
  void StartBatch();
  /// Reserves a guard position that no transaction in flight uses.
  std::size_t ReserveGuardPosition();
  /// Sends the parts that wait, as far as the limit of bytes in flight allows.
  void SendWaiting();
  void Send(const BatchPart& aPart);
  void SendAfterDelay(const BatchPart& aPart);
  void OnResponse(const BatchPart& aPart, const Result<std::uint64_t>& aRevision);
  /// Handles a failed condition: either an earlier attempt was applied, or another instance leads.
  void ResolveConflict(const BatchPart& aPart);
  void OnPartStored(const BatchPart& aPart, std::uint64_t aRevision);
  /// Handles a transaction that the store refuses as invalid, whatever the other ones are.
  void OnPartRefused(const BatchPart& aPart);
  /// The part needs no more attempts.
  void FinishPart(const BatchPart& aPart);
  /// Adds a record to a part; an empty value deletes the key.
  static void AddRecord(BatchPart& aPart, const std::string& aKey, std::string aValue);
  /// An empty part of a batch with its conditions.
  BatchPart NewPart(std::uint64_t aBatch);
  std::string GuardKey(std::size_t aPosition) const;

  EventLoop& loop;
  KeyValueStore& store;
  KeyValueTransaction::Condition leadership;
  std::string guardPrefix;
  Hooks hooks;
  /// Revisions of the guard keys by position; 0 when the key does not exist yet.
  std::vector<std::uint64_t> guardRevisions;
  std::set<std::size_t> freeGuardPositions;
  std::uint64_t batchCount = 0;
  std::map<std::uint64_t, Batch> inFlight;
  /// Parts that have not been sent yet, and the size of those that have and are not stored.
  std::deque<BatchPart> waiting;
  std::size_t bytesInFlight = 0;
  TimePoint lastBatchStart;
  bool isBatchRequested = false;
  bool isTimerSet = false;
  std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

} // namespace daisydrift::coordination
