#include "RecordStore.h"

namespace daisydrift::coordination {

namespace {
/// Delay before a failed write is repeated.
constexpr std::chrono::milliseconds kRetryDelay{ 100 };
/// A transaction without a response after this time is sent a second time in parallel.
constexpr std::chrono::milliseconds kHedgeDelay{ 150 };
/// Most batches in flight, and the time between their starts: with a store that takes 0.3 s to
/// respond, a change waits little longer than that.
constexpr std::size_t kMostGroups = 8;
constexpr std::chrono::milliseconds kGroupInterval{ 40 };
/// Records per transaction; the remaining three entries are the two conditions and the write of the
/// guard key.
constexpr std::size_t kRecordsPerTransaction = kMaxTransactionEntries - 3;
/// Most bytes of values per transaction, well below the size limit of a single value.
constexpr std::size_t kBytesPerTransaction = 256 * 1024;
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

RecordStore::RecordStore(EventLoop& aLoop,
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

RecordStore::~RecordStore()
{
  *this->isAlive = false;
}

std::optional<TimePoint> RecordStore::BusySince() const
{
  return this->underWay.empty() ? std::nullopt
                                : std::optional(this->underWay.begin()->second.begunAt);
}

void RecordStore::Flush()
{
  this->isWanted = true;
  this->BeginIfDue();
}

void RecordStore::BeginIfDue()
{
  if (!this->isWanted || this->underWay.size() >= kMostGroups) {
    return;
  }
  Duration sinceLast = this->loop.Now() - this->lastBegun;
  if (this->underWay.empty() || sinceLast >= kGroupInterval) {
    this->Begin();
    return;
  }
  if (this->isTimerSet) {
    return;
  }
  this->isTimerSet = true;
  this->loop.After(kGroupInterval - sinceLast, [this, alive = this->isAlive] {
    if (*alive) {
      this->isTimerSet = false;
      this->BeginIfDue();
    }
  });
}

std::string RecordStore::GuardKey(std::size_t aPosition) const
{
  return this->guardPrefix + std::to_string(aPosition);
}

std::size_t RecordStore::TakePosition()
{
  if (this->freePositions.empty()) {
    this->guards.push_back(0);
    return this->guards.size() - 1;
  }
  return this->freePositions.extract(this->freePositions.begin()).value();
}

void RecordStore::Begin()
{
  this->isWanted = false;
  std::uint64_t number = ++this->groups;
  std::map<std::string, std::string> records = this->hooks.takeGroup(number);
  if (records.empty()) {
    this->hooks.onStored(number);
    return;
  }
  this->lastBegun = this->loop.Now();
  std::vector<Part> parts;
  std::size_t entries = kRecordsPerTransaction;
  std::size_t bytes = 0;
  for (auto& [key, value] : records) {
    if (entries >= kRecordsPerTransaction || bytes + value.size() > kBytesPerTransaction) {
      Part& part = parts.emplace_back();
      part.group = number;
      part.position = this->TakePosition();
      part.transaction.conditions = {
        this->leadership, { this->GuardKey(part.position), this->guards[part.position] }
      };
      part.transaction.puts.push_back({ this->GuardKey(part.position), std::to_string(number), 0 });
      entries = 0;
      bytes = 0;
    }
    ++entries;
    bytes += value.size();
    if (value.empty()) {
      parts.back().transaction.removals.push_back(key);
    } else {
      parts.back().transaction.puts.push_back({ key, std::move(value), 0 });
    }
  }
  this->underWay[number] = { this->lastBegun, parts.size() };
  for (const Part& part : parts) {
    this->Send(part);
  }
}

void RecordStore::Send(const Part& aPart)
{
  this->store.Commit(aPart.transaction,
                     [this, alive = this->isAlive, aPart](const Result<std::uint64_t>& aRevision) {
                       if (*alive && !*aPart.isStored) {
                         this->OnAnswer(aPart, aRevision);
                       }
                     });
  // A repeated attempt fails on the guard key if an earlier one was applied.
  this->loop.After(kHedgeDelay, [this, alive = this->isAlive, aPart] {
    if (*alive && !*aPart.isStored && *aPart.triesLeft > 0) {
      --*aPart.triesLeft;
      this->Send(aPart);
    }
  });
}

void RecordStore::SendLater(const Part& aPart)
{
  this->loop.After(kRetryDelay, [this, alive = this->isAlive, aPart] {
    if (*alive && !*aPart.isStored) {
      this->Send(aPart);
    }
  });
}

void RecordStore::OnAnswer(const Part& aPart, const Result<std::uint64_t>& aRevision)
{
  if (aRevision) {
    this->OnPartStored(aPart, *aRevision);
  } else if (aRevision.Error() == make_error_code(Errc::Conflict)) {
    this->CheckGuard(aPart);
  } else {
    this->SendLater(aPart);
  }
}

void RecordStore::CheckGuard(const Part& aPart)
{
  this->store.Read(
    this->GuardKey(aPart.position),
    [this, alive = this->isAlive, aPart](const Result<std::optional<KeyValueItem>>& aItem) {
      if (!*alive || *aPart.isStored) {
        return;
      }
      if (!aItem) {
        this->SendLater(aPart);
      } else if (*aItem && (*aItem)->value == std::to_string(aPart.group)) {
        this->OnPartStored(aPart, (*aItem)->revision);
      } else {
        this->hooks.onReplaced();
      }
    });
}

void RecordStore::OnPartStored(const Part& aPart, std::uint64_t aRevision)
{
  *aPart.isStored = true;
  this->guards[aPart.position] = aRevision;
  this->freePositions.insert(aPart.position);
  auto group = this->underWay.find(aPart.group);
  if (--group->second.partsLeft > 0) {
    return;
  }
  this->underWay.erase(group);
  std::shared_ptr<bool> alive = this->isAlive;
  this->hooks.onStored(aPart.group);
  if (*alive) {
    this->BeginIfDue();
  }
}

} // namespace daisydrift::coordination
