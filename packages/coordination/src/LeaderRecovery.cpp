// The leader's reads from the store: recovery at the start of a term, and following the job and
// worker lists.

#include "Leader.h"

#include "RecordCodec.h"

#include <iterator>

namespace daisydrift::coordination {

namespace {
/// Delay before a failed store call is repeated.
constexpr std::chrono::milliseconds kStoreRetryDelay{ 100 };
/// Delay before the list of workers is read again while starts wait for it.
constexpr std::chrono::milliseconds kRefreshRetryDelay{ 50 };

/// True when the store answered at once that it does not carry out the call. After any other error
/// the response may have been too long for the time limit. The changes since a revision only become
/// more, so the list is then read in pages, whose size is bounded.
bool WasRefused(std::error_code aError)
{
  return aError == make_error_code(Errc::Unreachable) ||
         aError == make_error_code(Errc::Overloaded) ||
         aError == make_error_code(Errc::DeadlineExceeded);
}
} // namespace

void Leader::ReadPrefix(const std::string& aPrefix,
                        const std::function<void(const KeyValueItem&)>& aOnItem,
                        const std::function<void(std::uint64_t)>& aOnDone)
{
  this->ReadNextPage({ aPrefix, "", 0, aOnItem, aOnDone });
}

void Leader::ReadNextPage(const PagedRead& aRead)
{
  this->env.store.ReadPage(aRead.prefix,
                           aRead.after,
                           [this, alive = this->isAlive, aRead](const Result<KeyValuePage>& aPage) {
                             if (!*alive || this->hasEnded) {
                               return;
                             }
                             if (!aPage) {
                               LogLine(LogLevel::Warning, "list_page_failed")
                                 .Add("range", aRead.prefix)
                                 .Add("after", aRead.after)
                                 .Add("error", aPage.Error());
                               this->After(kStoreRetryDelay,
                                           [this, aRead] { this->ReadNextPage(aRead); });
                               return;
                             }
                             for (const KeyValueItem& item : aPage->items) {
                               aRead.onItem(item);
                             }
                             // Watch from the revision of the first page: changes made since then
                             // may be missing from later pages.
                             PagedRead next = aRead;
                             next.revision = aRead.after.empty() ? aPage->revision : aRead.revision;
                             if (aPage->hasMore && !aPage->items.empty()) {
                               next.after = aPage->items.back().key;
                               this->ReadNextPage(next);
                             } else {
                               next.onDone(next.revision);
                             }
                           },
                           {});
}

void Leader::LoadProgress()
{
  this->ReadPrefix(
    ProgressPrefix(this->env.settings.storePrefix),
    [this](const KeyValueItem& aItem) { this->LoadProgressItem(aItem); },
    [this](std::uint64_t) { this->LoadDefinitions(); });
}

void Leader::LoadProgressItem(const KeyValueItem& aItem)
{
  const std::string& prefix = this->env.settings.storePrefix;
  std::string error;
  if (auto part = ParseProgressPartKey(prefix, aItem.key)) {
    this->storedParts[part->first].insert(part->second);
    std::optional<std::vector<StepProgress>> steps = ProgressPartFromText(aItem.value, &error);
    if (steps) {
      JobProgress& known = this->progress[part->first];
      known.isDivided = true;
      std::move(steps->begin(), steps->end(), std::back_inserter(known.steps));
    }
  } else if (std::optional<JobProgress> head = JobProgressFromText(aItem.value, &error)) {
    JobId id = aItem.key.substr(ProgressPrefix(prefix).size());
    if (IsFinal(head->state)) {
      this->finished[id] = { head->state, head->finishedAt };
    }
    JobProgress& known = this->progress[id];
    head->isDivided = head->isDivided || known.isDivided;
    std::move(known.steps.begin(), known.steps.end(), std::back_inserter(head->steps));
    known = std::move(*head);
  }
  if (!error.empty()) {
    this->env.membership.Unreadable().AddEntry("progress", aItem.key, aItem.revision, error);
  }
}

void Leader::LoadDefinitions()
{
  if (this->env.config.Config() == nullptr) {
    // Without the queue's policy a restored job would fail on the first failure of a task.
    this->After(kStoreRetryDelay, [this] { this->LoadDefinitions(); });
    return;
  }
  this->dispatcher->SetPolicy(this->env.config.Config()->policy);
  this->dispatcher->SetDrainedDomains(this->env.config.DrainedDomains());
  this->ReadPrefix(
    DefinitionPrefix(this->env.settings.storePrefix),
    [this](const KeyValueItem& aItem) {
      if (aItem.value == kWithdrawnTombstone) {
        this->ApplyDefinition(aItem.key, aItem.value, aItem.revision, "recovery");
      } else if (std::optional<JobDefinition> job =
                   this->ReadDefinition(aItem.key, aItem.value, aItem.revision)) {
        this->dispatcher->RestoreJob(
          *job, this->progress[job->id], this->env.loop.Now(), this->env.loop.WallClockNow());
      }
    },
    [this, sentAt = this->env.loop.Now()](std::uint64_t aRevision) {
      this->jobsRevision = aRevision;
      this->jobsKnownAt = sentAt;
      this->progress.clear();
      this->DropPartsOfClosedJobs();
      this->LoadWorkers();
    });
}

void Leader::DropPartsOfClosedJobs()
{
  std::vector<JobId> closed;
  for (const auto& [id, parts] : this->storedParts) {
    if (!this->dispatcher->State(id)) {
      closed.push_back(id);
    }
  }
  for (const JobId& id : closed) {
    this->DropParts(id, std::nullopt);
  }
}

std::string Leader::WorkerIdOfKey(const std::string& aKey) const
{
  return aKey.substr(this->env.settings.workerPrefix.size());
}

void Leader::LoadWorkers()
{
  this->listedWorkers.clear();
  this->ReadPrefix(
    this->env.settings.workerPrefix,
    [this](const KeyValueItem& aItem) {
      this->listedWorkers.insert(this->WorkerIdOfKey(aItem.key));
      this->ApplyWorker(aItem.key, aItem.value, aItem.revision);
    },
    [this, sentAt = this->env.loop.Now()](std::uint64_t aRevision) {
      this->workersRevision = aRevision;
      for (const WorkerId& id : this->dispatcher->Workers()) {
        if (this->listedWorkers.count(id) == 0) {
          this->dispatcher->UnlistWorker(id);
        }
      }
      std::erase_if(this->oddWorkers, [this](const auto& aEntry) {
        return this->listedWorkers.count(this->WorkerIdOfKey(aEntry.first)) == 0;
      });
      this->workerPoller->Refresh();
      this->OnWorkersKnown(sentAt);
      if (!this->isRecovered) {
        this->OnRecovered();
      }
      this->After(this->env.settings.listPollInterval, [this] { this->PollWorkerChanges(); });
    });
}

void Leader::OnRecovered()
{
  this->isRecovered = true;
  LogLine(LogLevel::Info, "term_recovered")
    .Add("term", this->record.term)
    .Add("jobs", this->dispatcher->Counts(this->env.loop.Now()).jobs)
    .Add("finished_jobs", this->finished.size())
    .Add("workers", this->dispatcher->Workers().size());
  this->maintenance->SetWaves(this->env.config.Waves());
  this->StoreLeases();
  this->PollJobChanges();
  this->Tick();
}

void Leader::PollJobChanges()
{
  std::string prefix = DefinitionPrefix(this->env.settings.storePrefix);
  this->env.store.Watch(
    prefix,
    this->jobsRevision,
    Duration(0),
    [this, alive = this->isAlive, prefix, sentAt = this->env.loop.Now()](
      const Result<KeyValueChanges>& aChanges) {
      if (!*alive || this->hasEnded) {
        return;
      }
      if (aChanges) {
        for (const KeyValueChange& change : aChanges->changes) {
          this->ApplyDefinition(change.key, change.value, change.revision, "changes");
        }
        this->jobsRevision = aChanges->revision;
        this->jobsKnownAt = sentAt;
      } else if (aChanges.Error() == make_error_code(Errc::NotFound)) {
        LogLine(LogLevel::Warning, "job_history_lost");
        this->ReloadDefinitions();
        return;
      } else {
        this->OnListPollFailed("jobs", aChanges.Error(), sentAt, this->jobsKnownAt);
        if (!WasRefused(aChanges.Error())) {
          this->ReloadDefinitions();
          return;
        }
      }
      this->After(this->env.settings.listPollInterval, [this] { this->PollJobChanges(); });
    },
    {});
}

void Leader::ReloadDefinitions()
{
  this->ReadPrefix(
    DefinitionPrefix(this->env.settings.storePrefix),
    [this](const KeyValueItem& aItem) {
      this->ApplyDefinition(aItem.key, aItem.value, aItem.revision, "reload");
    },
    [this, sentAt = this->env.loop.Now()](std::uint64_t aRevision) {
      this->jobsRevision = aRevision;
      this->jobsKnownAt = sentAt;
      this->After(this->env.settings.listPollInterval, [this] { this->PollJobChanges(); });
    });
}

std::optional<JobDefinition> Leader::ReadDefinition(const std::string& aKey,
                                                    const std::string& aRecord,
                                                    std::uint64_t aRevision) const
{
  std::string error;
  std::optional<JobDefinition> job = OpenDefinitionFromText(aRecord, &error);
  if (!error.empty()) {
    this->env.membership.Unreadable().AddEntry("jobs", aKey, aRevision, error);
  }
  return job;
}

void Leader::ApplyDefinition(const std::string& aKey,
                             const std::optional<std::string>& aValue,
                             std::uint64_t aRevision,
                             const char* aSource)
{
  JobId id = aKey.substr(DefinitionPrefix(this->env.settings.storePrefix).size());
  if (aValue == kWithdrawnTombstone) {
    this->OnJobWithdrawn(id, aRevision);
    return;
  }
  this->withdrawnJobs.erase(id);
  if (!aValue || this->State(id)) {
    return;
  }
  if (std::optional<JobDefinition> job = this->ReadDefinition(aKey, *aValue, aRevision)) {
    this->AddJob(*job, aSource);
  }
}

void Leader::OnJobWithdrawn(const JobId& aJob, std::uint64_t aRevision)
{
  if (!this->withdrawnJobs.try_emplace(aJob, this->env.loop.Now()).second) {
    return;
  }
  bool isKnown = this->State(aJob).has_value();
  LogLine(isKnown ? LogLevel::Warning : LogLevel::Info, "job_withdrawal_known")
    .Add("job", aJob)
    .Add("revision", aRevision)
    .Add("term", this->record.term)
    .Add("is_known", isKnown);
  // An instance of an earlier version may have announced a job whose write had failed.
  if (isKnown) {
    this->dispatcher->CancelJob(aJob, this->env.loop.Now(), this->env.loop.WallClockNow());
  }
}

void Leader::OnListPollFailed(const char* aList,
                              std::error_code aError,
                              TimePoint aSentAt,
                              TimePoint aKnownAt)
{
  TimePoint now = this->env.loop.Now();
  this->env.metrics.Count(std::string("list_polls_failed_total{list=\"") + aList + "\"}");
  LogLine(LogLevel::Warning, "list_poll_failed")
    .Add("list", aList)
    .Add("error", aError)
    .Add("spent_ms", now - aSentAt)
    .Add("age_ms", now - aKnownAt);
}

void Leader::ApplyWorkerChanges(const KeyValueChanges& aChanges, TimePoint aSentAt)
{
  if (aChanges.revision < this->workersRevision) {
    return; // A later read has been answered before.
  }
  for (const KeyValueChange& change : aChanges.changes) {
    this->ApplyWorker(change.key, change.value, change.revision);
  }
  this->workersRevision = aChanges.revision;
  this->workerPoller->Refresh();
  this->OnWorkersKnown(aSentAt);
}

void Leader::OnWorkersKnown(TimePoint aSentAt)
{
  this->workersKnownAt = std::max(this->workersKnownAt, aSentAt);
  this->SendStarts(std::exchange(this->startsAwaitingWorkers, {}));
}

void Leader::RefreshWorkerList()
{
  if (this->isRefreshingWorkers) {
    return;
  }
  this->isRefreshingWorkers = true;
  LogLine(LogLevel::Warning, "starts_await_workers")
    .Add("term", this->record.term)
    .Add("starts", this->startsAwaitingWorkers.size())
    .Add("workers_age_ms", this->env.loop.Now() - this->workersKnownAt);
  this->env.store.Watch(this->env.settings.workerPrefix,
                        this->workersRevision,
                        Duration(0),
                        [this, alive = this->isAlive, sentAt = this->env.loop.Now()](
                          const Result<KeyValueChanges>& aChanges) {
                          if (!*alive || this->hasEnded) {
                            return;
                          }
                          this->isRefreshingWorkers = false;
                          if (aChanges) {
                            this->ApplyWorkerChanges(*aChanges, sentAt);
                          }
                          if (!this->startsAwaitingWorkers.empty()) {
                            this->After(kRefreshRetryDelay, [this] { this->RefreshWorkerList(); });
                          }
                        },
                        {});
}

void Leader::PollWorkerChanges()
{
  this->env.store.Watch(
    this->env.settings.workerPrefix,
    this->workersRevision,
    Duration(0),
    [this, alive = this->isAlive, sentAt = this->env.loop.Now()](
      const Result<KeyValueChanges>& aChanges) {
      if (!*alive || this->hasEnded) {
        return;
      }
      if (aChanges) {
        this->ApplyWorkerChanges(*aChanges, sentAt);
      } else if (aChanges.Error() == make_error_code(Errc::NotFound)) {
        LogLine(LogLevel::Warning, "worker_history_lost");
        this->LoadWorkers();
        return;
      } else {
        this->OnListPollFailed("workers", aChanges.Error(), sentAt, this->workersKnownAt);
        if (!WasRefused(aChanges.Error())) {
          this->LoadWorkers();
          return;
        }
      }
      this->After(this->env.settings.listPollInterval, [this] { this->PollWorkerChanges(); });
    },
    {});
}

} // namespace daisydrift::coordination
