#include "RecordWriter.h"

#include <charconv>

namespace daisydrift::coordination {

namespace {
/// Delay before a failed write is repeated.
constexpr std::chrono::milliseconds kRetryDelay{ 100 };
/// A transaction without a response after this time is sent again in parallel.
constexpr std::chrono::milliseconds kHedgeDelay{ 150 };
/// Most batches in flight, and the time between their starts: with a store that takes 0.3 s to
/// respond, a change waits little longer than that.
constexpr std::size_t kMaxBatchesInFlight = 8;
constexpr std::chrono::milliseconds kBatchInterval{ 40 };
/// Records per transaction; the remaining three entries are the two conditions and the write of the
/// guard key.
constexpr std::size_t kRecordsPerTransaction = kMaxTransactionEntries - 3;
/// Most bytes of values per transaction, well below the size limit of a single value.
constexpr std::size_t kBytesPerTransaction = 256 * 1024;
/// Most bytes of values in flight, unless one transaction has more: on a slow link, transactions
/// that are sent side by side all reach their time limits.
constexpr std::size_t kMaxBytesInFlight = kBytesPerTransaction;
/// Rate by which the delay of a repetition grows with the size; the slowest links are faster.
constexpr double kHedgeBytesPerSecond = 512 * 1024;
/// Attempts to write a single record that the store refuses as invalid, before it is given up.
constexpr int kMaxRefusals = 3;

/// Time for the transfer of a transaction before it is sent again.
Duration HedgeDelay(std::size_t aBytes)
{
  std::chrono::duration<double> transfer(static_cast<double>(aBytes) / kHedgeBytesPerSecond);
  return kHedgeDelay + std::chrono::duration_cast<Duration>(transfer);
}
} // namespace

std::string DefinitionPrefix(const std::string& aPrefix)
{
  return aPrefix + "jobs/";
}

std::string ProgressPrefix(const std::string& aPrefix)
{
  return aPrefix + "progress/";
}

std::string DefinitionKey(const std::string& aPrefix, const JobId& aJob)
{
  return DefinitionPrefix(aPrefix) + aJob;
}

std::string ProgressKey(const std::string& aPrefix, const JobId& aJob)
{
  return ProgressPrefix(aPrefix) + aJob;
}

std::string ProgressPartKey(const std::string& aPrefix, const JobId& aJob, std::uint64_t aPart)
{
  return ProgressKey(aPrefix, aJob) + "/" + std::to_string(aPart);
}

std::optional<std::pair<JobId, std::uint64_t>> ParseProgressPartKey(const std::string& aPrefix,
                                                                    const std::string& aKey)
{
  std::size_t begin = ProgressPrefix(aPrefix).size();
  std::size_t slash = aKey.rfind('/');
  if (slash == std::string::npos || slash < begin) {
    return std::nullopt;
  }
  std::uint64_t part = 0;
  const char* end = aKey.data() + aKey.size();
  auto [last, error] = std::from_chars(aKey.data() + slash + 1, end, part);
  if (error != std::errc() || last != end) {
    return std::nullopt;
  }
  return std::make_pair(aKey.substr(begin, slash - begin), part);
}

RecordWriter::RecordWriter(EventLoop& aLoop,
                           KeyValueStore& aStore,
                           KeyValueTransaction::Condition aLeadership,
                           std::string aGuardPrefix,
                           Hooks aHooks)
  : loop(aLoop)
  , store(aStore)
  , leadership(std::move(aLeadership))
  , guardPrefix(std::move(aGuardPrefix))
  , hooks(std::move(aHooks))
{
}

RecordWriter::~RecordWriter()
{
  *this->isAlive = false;
}

std::optional<TimePoint> RecordWriter::OldestBatchStart() const
{
  return this->inFlight.empty() ? std::nullopt
                                : std::optional(this->inFlight.begin()->second.startedAt);
}

void RecordWriter::Flush()
{
  this->isBatchRequested = true;
  this->StartBatchIfDue();
}

void RecordWriter::StartBatchIfDue()
{
  if (!this->isBatchRequested || this->inFlight.size() >= kMaxBatchesInFlight) {
    return;
  }
  Duration sinceLast = this->loop.Now() - this->lastBatchStart;
  if (this->inFlight.empty() || sinceLast >= kBatchInterval) {
    this->StartBatch();
    return;
  }
  if (this->isTimerSet) {
    return;
  }
  this->isTimerSet = true;
  this->loop.After(kBatchInterval - sinceLast, [this, alive = this->isAlive] {
    if (*alive) {
      this->isTimerSet = false;
      this->StartBatchIfDue();
    }
  });
}

std::string RecordWriter::GuardKey(std::size_t aPosition) const
{
  return this->guardPrefix + std::to_string(aPosition);
}

std::size_t RecordWriter::ReserveGuardPosition()
{
  if (this->freeGuardPositions.empty()) {
    this->guardRevisions.push_back(0);
    return this->guardRevisions.size() - 1;
  }
  return this->freeGuardPositions.extract(this->freeGuardPositions.begin()).value();
}

void RecordWriter::StartBatch()
{
  this->isBatchRequested = false;
  std::uint64_t number = ++this->batchCount;
  std::map<std::string, std::string> records = this->hooks.takeBatch(number);
  if (records.empty()) {
    this->hooks.onBatchStored(number);
    return;
  }
  this->lastBatchStart = this->loop.Now();
  std::vector<BatchPart> parts;
  std::size_t entries = kRecordsPerTransaction;
  std::size_t bytes = 0;
  for (auto& [key, value] : records) {
    if (entries >= kRecordsPerTransaction || bytes + value.size() > kBytesPerTransaction) {
      parts.push_back(this->NewPart(number));
      entries = 0;
      bytes = 0;
    }
    ++entries;
    bytes += value.size();
    AddRecord(parts.back(), key, std::move(value));
  }
  this->inFlight[number] = { this->lastBatchStart, parts.size() };
  this->waiting.insert(this->waiting.end(), parts.begin(), parts.end());
  this->SendWaiting();
}

RecordWriter::BatchPart RecordWriter::NewPart(std::uint64_t aBatch)
{
  BatchPart part;
  part.batch = aBatch;
  part.position = this->ReserveGuardPosition();
  std::string guard = this->GuardKey(part.position);
  part.transaction.conditions = { this->leadership,
                                  { guard, this->guardRevisions[part.position] } };
  part.transaction.puts.push_back({ guard, std::to_string(aBatch), 0 });
  return part;
}

void RecordWriter::AddRecord(BatchPart& aPart, const std::string& aKey, std::string aValue)
{
  aPart.bytes += aValue.size();
  if (aValue.empty()) {
    aPart.transaction.removals.push_back(aKey);
  } else {
    aPart.transaction.puts.push_back({ aKey, std::move(aValue), 0 });
  }
}

void RecordWriter::SendWaiting()
{
  while (!this->waiting.empty()) {
    const BatchPart& next = this->waiting.front();
    if (this->bytesInFlight > 0 && this->bytesInFlight + next.bytes > kMaxBytesInFlight) {
      return;
    }
    this->bytesInFlight += next.bytes;
    this->Send(next);
    this->waiting.pop_front();
  }
}

void RecordWriter::Send(const BatchPart& aPart)
{
  this->store.Commit(aPart.transaction,
                     [this, alive = this->isAlive, aPart, sentAt = this->loop.Now()](
                       const Result<std::uint64_t>& aRevision) {
                       if (!*alive || *aPart.isStored) {
                         return;
                       }
                       if (aRevision) {
                         this->hooks.onLeadershipConfirmed(sentAt);
                       }
                       this->OnResponse(aPart, aRevision);
                     });
  // A repeated attempt fails on the guard key if an earlier one was applied.
  this->loop.After(HedgeDelay(aPart.bytes), [this, alive = this->isAlive, aPart] {
    if (*alive && !*aPart.isStored && *aPart.hedgesLeft > 0) {
      --*aPart.hedgesLeft;
      this->Send(aPart);
    }
  });
}

void RecordWriter::SendAfterDelay(const BatchPart& aPart)
{
  this->loop.After(kRetryDelay, [this, alive = this->isAlive, aPart] {
    if (*alive && !*aPart.isStored) {
      this->Send(aPart);
    }
  });
}

void RecordWriter::OnResponse(const BatchPart& aPart, const Result<std::uint64_t>& aRevision)
{
  if (aRevision) {
    this->OnPartStored(aPart, *aRevision);
  } else if (aRevision.Error() == make_error_code(Errc::Conflict)) {
    this->ResolveConflict(aPart);
  } else if (aRevision.Error() == make_error_code(Errc::InvalidArgument)) {
    this->OnPartRefused(aPart);
  } else {
    this->SendAfterDelay(aPart);
  }
}

void RecordWriter::OnPartRefused(const BatchPart& aPart)
{
  const KeyValueTransaction& transaction = aPart.transaction;
  std::size_t records = transaction.puts.size() - 1 + transaction.removals.size();
  if (records == 1 && ++*aPart.refusals < kMaxRefusals) {
    this->SendAfterDelay(aPart);
    return;
  }
  // The guard position is not used again: an attempt whose response was lost may change it yet.
  *aPart.isStored = true;
  std::shared_ptr<bool> alive = this->isAlive;
  if (records == 1) {
    bool isRemoval = !transaction.removals.empty();
    const std::string& key = isRemoval ? transaction.removals[0] : transaction.puts[1].key;
    this->hooks.onRecordRefused(aPart.batch, key, aPart.bytes);
    if (*alive) {
      this->FinishPart(aPart);
    }
    return;
  }
  this->inFlight[aPart.batch].partsLeft += records;
  auto addPart = [this, &aPart](const std::string& aKey, const std::string& aValue) {
    AddRecord(this->waiting.emplace_back(this->NewPart(aPart.batch)), aKey, aValue);
  };
  for (std::size_t index = 1; index < transaction.puts.size(); ++index) {
    addPart(transaction.puts[index].key, transaction.puts[index].value);
  }
  for (const std::string& key : transaction.removals) {
    addPart(key, "");
  }
  this->FinishPart(aPart);
}

void RecordWriter::ResolveConflict(const BatchPart& aPart)
{
  this->store.Read(
    this->GuardKey(aPart.position),
    [this, alive = this->isAlive, aPart](const Result<std::optional<KeyValueItem>>& aItem) {
      if (!*alive || *aPart.isStored) {
        return;
      }
      if (!aItem) {
        this->SendAfterDelay(aPart);
      } else if (*aItem && (*aItem)->value == std::to_string(aPart.batch)) {
        this->OnPartStored(aPart, (*aItem)->revision);
      } else {
        this->hooks.onLeadershipLost();
      }
    });
}

void RecordWriter::OnPartStored(const BatchPart& aPart, std::uint64_t aRevision)
{
  *aPart.isStored = true;
  this->guardRevisions[aPart.position] = aRevision;
  this->freeGuardPositions.insert(aPart.position);
  this->FinishPart(aPart);
}

void RecordWriter::FinishPart(const BatchPart& aPart)
{
  this->bytesInFlight -= aPart.bytes;
  this->SendWaiting();
  auto batch = this->inFlight.find(aPart.batch);
  if (--batch->second.partsLeft > 0) {
    return;
  }
  this->inFlight.erase(batch);
  std::shared_ptr<bool> alive = this->isAlive;
  this->hooks.onBatchStored(aPart.batch);
  if (*alive) {
    this->StartBatchIfDue();
  }
}

} // namespace daisydrift::coordination
