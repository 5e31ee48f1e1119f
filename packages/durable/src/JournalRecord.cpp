#include "daisydrift/durable/JournalRecord.h"

#include "Conversions.h"
#include "Envelope.h"
#include "generated/journal.capnp.h"

namespace daisydrift {

namespace {

constexpr EnvelopeLimits kLimits{ kMaxRecordBytes, kMaxUnpackedRecordBytes };

/// Encodes one entry; one overload of operator() for each type of entry.
class EntryWriter
{
public:
  explicit EntryWriter(schema::Entry::Builder aOut)
    : out(aOut)
  {
  }

  void operator()(const JobAccepted& aEntry)
  {
    this->out.setJob(aEntry.job);
    auto body = this->out.initJobAccepted();
    body.setTeam(ToText(aEntry.team));
    body.setSpecification(ToText(aEntry.specification));
    body.setIdempotencyKeyDigest(ToData(aEntry.idempotencyKeyDigest));
    body.setBodyDigest(ToData(aEntry.bodyDigest));
    body.setWallSeconds(aEntry.wallSeconds);
  }

  void operator()(const TaskAssigned& aEntry)
  {
    this->SetAttempt(aEntry.attempt);
    auto body = this->out.initTaskAssigned();
    body.setWorker(ToText(aEntry.worker));
    body.setIncarnation(ToText(aEntry.incarnation));
    body.setMilliCores(aEntry.limit.milliCores);
    body.setMemoryMiB(aEntry.limit.memoryMiB);
    body.setAccelerators(aEntry.limit.accelerators);
  }

  void operator()(const AttemptEnded& aEntry)
  {
    this->SetAttempt(aEntry.attempt);
    auto body = this->out.initAttemptEnded();
    body.setOutcome(static_cast<std::uint8_t>(aEntry.outcome));
    body.setDetail(ToText(aEntry.detail));
  }

  void operator()(const JobCancelled& aEntry)
  {
    this->out.setJob(aEntry.job);
    this->out.setJobCancelled();
  }

  void operator()(const JobFinished& aEntry)
  {
    this->out.setJob(aEntry.job);
    auto body = this->out.initJobFinished();
    body.setFinalState(aEntry.finalState);
    body.setReason(ToText(aEntry.reason));
    body.setWallSeconds(aEntry.wallSeconds);
  }

private:
  void SetAttempt(const AttemptId& aId)
  {
    this->out.setJob(aId.task.job);
    this->out.setIndex(aId.task.index);
    this->out.setAttempt(aId.attempt);
  }

  schema::Entry::Builder out;
};

AttemptId ReadAttempt(schema::Entry::Reader aIn)
{
  return { { aIn.getJob(), aIn.getIndex() }, aIn.getAttempt() };
}

JobAccepted ReadJobAccepted(schema::Entry::Reader aIn)
{
  auto body = aIn.getJobAccepted();
  return { aIn.getJob(),
           FromText(body.getTeam()),
           FromText(body.getSpecification()),
           FromData(body.getIdempotencyKeyDigest()),
           FromData(body.getBodyDigest()),
           body.getWallSeconds() };
}

TaskAssigned ReadTaskAssigned(schema::Entry::Reader aIn)
{
  auto body = aIn.getTaskAssigned();
  return { ReadAttempt(aIn),
           FromText(body.getWorker()),
           FromText(body.getIncarnation()),
           { body.getMilliCores(), body.getMemoryMiB(), body.getAccelerators() } };
}

/// Decodes an entry and appends it to aOut; returns false when a value is out of range or the type
/// is unknown.
bool ReadEntry(schema::Entry::Reader aIn, std::vector<JournalEntry>& aOut)
{
  switch (aIn.which()) {
    case schema::Entry::JOB_ACCEPTED:
      aOut.emplace_back(ReadJobAccepted(aIn));
      return true;
    case schema::Entry::TASK_ASSIGNED:
      aOut.emplace_back(ReadTaskAssigned(aIn));
      return true;
    case schema::Entry::ATTEMPT_ENDED: {
      auto body = aIn.getAttemptEnded();
      auto outcome = static_cast<StoredAttemptOutcome>(body.getOutcome());
      if (outcome == StoredAttemptOutcome::None || outcome > StoredAttemptOutcome::Rejected) {
        return false;
      }
      aOut.emplace_back(AttemptEnded{ ReadAttempt(aIn), outcome, FromText(body.getDetail()) });
      return true;
    }
    case schema::Entry::JOB_CANCELLED:
      aOut.emplace_back(JobCancelled{ aIn.getJob() });
      return true;
    case schema::Entry::JOB_FINISHED: {
      auto body = aIn.getJobFinished();
      aOut.emplace_back(JobFinished{
        aIn.getJob(), body.getFinalState(), FromText(body.getReason()), body.getWallSeconds() });
      return true;
    }
  }
  return false;
}

} // namespace

Result<std::string> EncodeRecord(const JournalRecord& aRecord)
{
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<schema::Record>();
  out.setNumber(aRecord.number);
  out.setEpoch(aRecord.epoch);
  out.setWriter(ToText(aRecord.writer));
  out.setWriteNumber(aRecord.writeNumber);
  auto entries = out.initEntries(static_cast<unsigned>(aRecord.entries.size()));
  for (unsigned i = 0; i < entries.size(); ++i) {
    std::visit(EntryWriter(entries[i]), aRecord.entries[i]);
  }
  return EncodeEnvelope(EnvelopeKind::Record, kLimits, message);
}

Result<JournalRecord> DecodeRecord(std::string_view aBytes)
{
  JournalRecord record;
  auto read = [&](capnp::MessageReader& aMessage) {
    auto in = aMessage.getRoot<schema::Record>();
    record.number = in.getNumber();
    record.epoch = in.getEpoch();
    record.writer = FromText(in.getWriter());
    record.writeNumber = in.getWriteNumber();
    for (auto entry : in.getEntries()) {
      if (!ReadEntry(entry, record.entries)) {
        return false;
      }
    }
    return record.number != 0 && record.epoch != 0;
  };
  if (auto error = DecodeEnvelope(EnvelopeKind::Record, kLimits, aBytes, read)) {
    return error;
  }
  return record;
}

} // namespace daisydrift
