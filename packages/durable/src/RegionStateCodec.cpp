#include "Conversions.h"
#include "Envelope.h"
#include "daisydrift/durable/RegionState.h"
#include "generated/journal.capnp.h"

#include <capnp/message.h>

namespace daisydrift {

namespace {

/// Size limits of an encoded state. The two-year load (docs/design.md, section 1.6) needs about a
/// fifth of this.
constexpr EnvelopeLimits kLimits{ kMaxStateBytes, 128 * 1024 * 1024 };

using WorkerIndex = std::map<std::pair<WorkerId, std::string>, unsigned>;

} // namespace

/// Encodes a state. Each worker is written once and referred to by index, so that a running task
/// takes about 20 bytes.
class RegionState::Encoder
{
public:
  Encoder(const RegionState& aState, schema::Snapshot::Builder aOut)
    : state(aState)
    , out(aOut)
  {
  }

  void Run()
  {
    this->out.setPosition(this->state.position);
    this->out.setNextJob(this->state.nextJob);
    this->WriteWorkers();
    auto jobs = this->out.initJobs(static_cast<unsigned>(this->state.jobs.size()));
    unsigned i = 0;
    for (const auto& [number, job] : this->state.jobs) {
      this->WriteJob(job, jobs[i++]);
    }
    auto keys = this->out.initKeys(static_cast<unsigned>(this->state.keys.size()));
    i = 0;
    for (const auto& [id, record] : this->state.keys) {
      auto key = keys[i++];
      key.setTeam(ToText(id.first));
      key.setKeyDigest(ToData(id.second));
      key.setBodyDigest(ToData(record.bodyDigest));
      key.setJob(record.job);
      key.setWallSeconds(record.wallSeconds);
    }
  }

private:
  void WriteWorkers()
  {
    for (const auto& [number, job] : this->state.jobs) {
      for (const TaskRecord& task : job.tasks) {
        if (task.current) {
          this->workers.try_emplace({ task.current->worker, task.current->incarnation }, 0);
        }
      }
    }
    auto list = this->out.initWorkers(static_cast<unsigned>(this->workers.size()));
    unsigned i = 0;
    for (auto& [id, index] : this->workers) {
      list[i].setWorker(ToText(id.first));
      list[i].setIncarnation(ToText(id.second));
      index = i++;
    }
  }

  void WriteJob(const JobRecord& aJob, schema::Snapshot::Job::Builder aOut)
  {
    aOut.setNumber(aJob.number);
    aOut.setTeam(ToText(aJob.team));
    aOut.setSpecification(ToText(aJob.specification));
    aOut.setAcceptedWallSeconds(aJob.acceptedWallSeconds);
    aOut.setCancelled(aJob.isCancelled);
    if (aJob.isFinished) {
      aOut.setFinished(true);
      aOut.setFinalState(aJob.finalState);
      aOut.setReason(ToText(aJob.reason));
      aOut.setEndedWallSeconds(aJob.endedWallSeconds);
    }
    if (aJob.tasks.empty()) {
      return;
    }
    auto tasks = aOut.initTasks(static_cast<unsigned>(aJob.tasks.size()));
    for (unsigned i = 0; i < tasks.size(); ++i) {
      this->WriteTask(aJob.tasks[i], tasks[i]);
    }
  }

  void WriteTask(const TaskRecord& aTask, schema::Snapshot::Task::Builder aOut)
  {
    aOut.setIndex(aTask.index);
    aOut.setAttemptsUsed(aTask.attemptsUsed);
    aOut.setFailures(aTask.failures);
    aOut.setLastOutcome(static_cast<std::uint8_t>(aTask.lastOutcome));
    if (!aTask.current) {
      return;
    }
    aOut.setRunning(true);
    aOut.setWorker(this->workers.at({ aTask.current->worker, aTask.current->incarnation }));
    aOut.setMilliCores(aTask.current->limit.milliCores);
    aOut.setMemoryMiB(aTask.current->limit.memoryMiB);
    aOut.setAccelerators(aTask.current->limit.accelerators);
  }

  const RegionState& state;
  schema::Snapshot::Builder out;
  WorkerIndex workers;
};

/// Decodes a state; every method returns false when a value is out of range.
class RegionState::Decoder
{
public:
  Decoder(schema::Snapshot::Reader aIn, RegionState& aState)
    : in(aIn)
    , state(aState)
  {
  }

  bool Run()
  {
    this->state.position = this->in.getPosition();
    this->state.nextJob = this->in.getNextJob();
    for (auto worker : this->in.getWorkers()) {
      this->workers.emplace_back(FromText(worker.getWorker()), FromText(worker.getIncarnation()));
    }
    for (auto job : this->in.getJobs()) {
      if (!this->ReadJob(job)) {
        return false;
      }
    }
    for (auto key : this->in.getKeys()) {
      this->state.keys[{ FromText(key.getTeam()), FromData(key.getKeyDigest()) }] = {
        key.getJob(), FromData(key.getBodyDigest()), key.getWallSeconds()
      };
    }
    return this->state.nextJob != 0;
  }

private:
  bool ReadJob(schema::Snapshot::Job::Reader aIn)
  {
    JobNumber number = aIn.getNumber();
    if (number == 0 || number >= this->state.nextJob || this->state.jobs.contains(number)) {
      return false;
    }
    JobRecord& job = this->state.jobs[number];
    job.number = number;
    job.team = FromText(aIn.getTeam());
    job.specification = FromText(aIn.getSpecification());
    job.acceptedWallSeconds = aIn.getAcceptedWallSeconds();
    job.isCancelled = aIn.getCancelled();
    job.isFinished = aIn.getFinished();
    job.finalState = aIn.getFinalState();
    job.reason = FromText(aIn.getReason());
    job.endedWallSeconds = aIn.getEndedWallSeconds();
    for (auto task : aIn.getTasks()) {
      if (!this->ReadTask(task, job.tasks)) {
        return false;
      }
    }
    return true;
  }

  bool ReadTask(schema::Snapshot::Task::Reader aIn, std::vector<TaskRecord>& aTasks)
  {
    if (!aTasks.empty() && aIn.getIndex() <= aTasks.back().index) {
      return false;
    }
    auto outcome = static_cast<StoredAttemptOutcome>(aIn.getLastOutcome());
    if (outcome > StoredAttemptOutcome::Rejected ||
        (aIn.getRunning() && aIn.getWorker() >= workers.size())) {
      return false;
    }
    TaskRecord& task = aTasks.emplace_back();
    task.index = aIn.getIndex();
    task.attemptsUsed = aIn.getAttemptsUsed();
    task.failures = aIn.getFailures();
    task.lastOutcome = outcome;
    if (aIn.getRunning()) {
      const auto& [worker, incarnation] = this->workers[aIn.getWorker()];
      task.current = { worker,
                       incarnation,
                       { aIn.getMilliCores(), aIn.getMemoryMiB(), aIn.getAccelerators() } };
    }
    return true;
  }

  schema::Snapshot::Reader in;
  RegionState& state;
  std::vector<std::pair<WorkerId, std::string>> workers;
};

Result<std::string> RegionState::Encode() const
{
  capnp::MallocMessageBuilder message;
  Encoder(*this, message.initRoot<schema::Snapshot>()).Run();
  return EncodeEnvelope(EnvelopeKind::Snapshot, kLimits, message);
}

Result<RegionState> RegionState::Decode(std::string_view aBytes)
{
  RegionState state;
  auto read = [&](capnp::MessageReader& aMessage) {
    return Decoder(aMessage.getRoot<schema::Snapshot>(), state).Run();
  };
  if (auto error = DecodeEnvelope(EnvelopeKind::Snapshot, kLimits, aBytes, read)) {
    return error;
  }
  return state;
}

} // namespace daisydrift
