#include "daisydrift/durable/Snapshot.h"

#include "Conversions.h"
#include "Envelope.h"
#include "StoreRetry.h"
#include "generated/journal.capnp.h"

namespace daisydrift {

namespace {

/// Largest number of parts of a snapshot; 64 parts of kMaxPartBytes take half of a daemon's memory
/// limit.
constexpr std::size_t kMaxParts = kMaxStateBytes / kMaxPartBytes;
/// Size limits of an encoded head; identity and 64 digests take less than 1 KB.
constexpr EnvelopeLimits kHeadLimits{ 16 * 1024, 64 * 1024 };

/// Number of parts of an encoded state of aBytes.
std::size_t PartCount(std::size_t aBytes)
{
  return (aBytes + kMaxPartBytes - 1) / kMaxPartBytes;
}

} // namespace

std::string SnapshotHeadKey(const std::string& aRegion)
{
  return "snapshot/" + aRegion + "/head";
}

std::string SnapshotPartKey(const std::string& aRegion,
                            std::uint64_t aGeneration,
                            std::size_t aPart)
{
  return "snapshot/" + aRegion + "/" + std::to_string(aGeneration % 2) + "/" +
         std::to_string(aPart);
}

Result<std::string> EncodeHead(const SnapshotHead& aHead)
{
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<schema::SnapshotHead>();
  out.setGeneration(aHead.generation);
  out.setPosition(aHead.position);
  out.setEpoch(aHead.epoch);
  out.setWriter(ToText(aHead.writer));
  out.setTotalBytes(aHead.totalBytes);
  auto digests = out.initPartDigests(static_cast<unsigned>(aHead.partDigests.size()));
  for (unsigned i = 0; i < digests.size(); ++i) {
    digests.set(i, aHead.partDigests[i]);
  }
  return EncodeEnvelope(EnvelopeKind::SnapshotHead, kHeadLimits, message);
}

Result<SnapshotHead> DecodeHead(std::string_view aBytes)
{
  SnapshotHead head;
  auto read = [&](capnp::MessageReader& aMessage) {
    auto in = aMessage.getRoot<schema::SnapshotHead>();
    head.generation = in.getGeneration();
    head.position = in.getPosition();
    head.epoch = in.getEpoch();
    head.writer = FromText(in.getWriter());
    head.totalBytes = in.getTotalBytes();
    for (std::uint64_t digest : in.getPartDigests()) {
      head.partDigests.push_back(digest);
    }
    return head.epoch != 0 && head.partDigests.size() <= kMaxParts;
  };
  if (auto error = DecodeEnvelope(EnvelopeKind::SnapshotHead, kHeadLimits, aBytes, read)) {
    return error;
  }
  return head;
}

Result<RegionState> ReadSnapshot(Store& aStore,
                                 const std::string& aRegion,
                                 const DurableOptions& aOptions,
                                 SnapshotHead& aHead)
{
  auto get = [&](const std::string& aKey) {
    return RetryRead(aOptions.maxAttempts, [&] { return aStore.Get(aKey, aOptions.callTimeout); });
  };
  aHead = {};
  auto headEntry = get(SnapshotHeadKey(aRegion));
  if (headEntry.Error() == Errc::NotFound) {
    return RegionState();
  }
  if (!headEntry) {
    return headEntry.Error();
  }
  auto head = DecodeHead(headEntry->value);
  if (!head) {
    return head.Error();
  }
  aHead = *head;
  if (head->generation == 0) {
    return RegionState();
  }
  std::string bytes;
  for (std::size_t i = 0; i < head->partDigests.size(); ++i) {
    auto part = get(SnapshotPartKey(aRegion, head->generation, i));
    if (!part) {
      return part.Error() == Errc::NotFound ? make_error_code(Errc::Corrupt) : part.Error();
    }
    if (Digest64(part->value) != head->partDigests[i]) {
      // Either the snapshot was replaced twice during the read, so that the head has changed, or
      // the part is damaged.
      auto again = get(SnapshotHeadKey(aRegion));
      bool isReplaced = again && again->revision != headEntry->revision;
      return isReplaced || !again ? Errc::Conflict : Errc::Corrupt;
    }
    bytes += part->value;
  }
  auto state = RegionState::Decode(bytes);
  if (state && state->Position() != head->position) {
    return Errc::Corrupt;
  }
  return state;
}

SnapshotWriter::SnapshotWriter(Store& aStore,
                               std::string aRegion,
                               Epoch aEpoch,
                               InstanceId aWriter,
                               DurableOptions aOptions)
  : store(aStore)
  , region(std::move(aRegion))
  , epoch(aEpoch)
  , writer(std::move(aWriter))
  , options(aOptions)
{
}

Result<std::uint64_t> SnapshotWriter::Write(const RegionState& aState)
{
  if (auto error = this->Begin(aState)) {
    return error;
  }
  unsigned failures = 0;
  for (;;) {
    auto isDone = this->Step();
    if (isDone && *isDone) {
      return this->head.position;
    }
    if (!isDone && (!IsTransient(isDone.Error()) || ++failures >= this->options.maxAttempts)) {
      return isDone.Error();
    }
  }
}

std::error_code SnapshotWriter::Begin(const RegionState& aState)
{
  auto bytes = aState.Encode();
  if (!bytes) {
    return bytes.Error();
  }
  if (PartCount(bytes->size()) > kMaxParts) {
    return Errc::InvalidArgument;
  }
  this->encoded = std::move(*bytes);
  this->nextPart = 0;
  // If the outcome of the last switch is unknown, either generation may be in use, so the head is
  // claimed again before a part is written.
  this->isClaimed = this->isClaimed && !this->isSwitchAmbiguous;
  this->isSwitchAmbiguous = false;
  this->nextHead = { 0, aState.Position(), this->epoch, this->writer, this->encoded.size(), {} };
  for (std::size_t i = 0; i < PartCount(this->encoded.size()); ++i) {
    this->nextHead.partDigests.push_back(Digest64(this->Part(i)));
  }
  return {};
}

Result<bool> SnapshotWriter::Step()
{
  if (this->isFenced) {
    return Errc::Fenced;
  }
  assert(!this->encoded.empty());
  if (!this->isClaimed) {
    if (auto error = this->ClaimHead()) {
      return error;
    }
    return false;
  }
  if (this->nextPart < this->nextHead.partDigests.size()) {
    if (auto error = this->WritePart()) {
      return error;
    }
    ++this->nextPart;
    return false;
  }
  if (auto error = this->SwitchHead()) {
    return error;
  }
  this->encoded = {};
  return true;
}

std::error_code SnapshotWriter::ReadHead()
{
  auto entry = RetryRead(this->options.maxAttempts, [&] {
    return this->store.Get(SnapshotHeadKey(this->region), this->options.callTimeout);
  });
  if (entry.Error() == Errc::NotFound) {
    this->head = {};
    this->headRevision = 0;
    return {};
  }
  if (!entry) {
    return entry.Error();
  }
  auto read = DecodeHead(entry->value);
  if (!read) {
    return read.Error();
  }
  this->head = *read;
  this->headRevision = entry->revision;
  return {};
}

Result<Revision> SnapshotWriter::WriteHead(const SnapshotHead& aHead)
{
  auto bytes = EncodeHead(aHead);
  if (!bytes) {
    return bytes.Error();
  }
  return this->store.CompareAndSwap(
    SnapshotHeadKey(this->region), *bytes, this->headRevision, 0, this->options.callTimeout);
}

std::error_code SnapshotWriter::ClaimHead()
{
  if (auto error = this->ReadHead()) {
    return error;
  }
  if (this->head.epoch > this->epoch ||
      (this->head.epoch == this->epoch && this->head.writer != this->writer)) {
    return this->Fence();
  }
  // The head is written even if it already holds this epoch: the new revision keeps an earlier
  // write of this leader whose response was lost from taking effect later.
  SnapshotHead claim = this->head;
  claim.epoch = this->epoch;
  claim.writer = this->writer;
  auto written = this->WriteHead(claim);
  if (!written) {
    // A conflict means that the old leader switched the head just before: the next step reads it
    // again.
    return written.Error() == Errc::Conflict ? make_error_code(Errc::OutcomeUnknown)
                                             : written.Error();
  }
  this->head = claim;
  this->headRevision = *written;
  this->isClaimed = true;
  return {};
}

std::error_code SnapshotWriter::CheckOwnership()
{
  if (auto error = this->ReadHead()) {
    return error;
  }
  bool isOwn = this->head.epoch == this->epoch && this->head.writer == this->writer;
  return isOwn ? std::error_code() : this->Fence();
}

std::error_code SnapshotWriter::LoadPartRevision(const std::string& aKey)
{
  auto entry = RetryRead(this->options.maxAttempts,
                         [&] { return this->store.Get(aKey, this->options.callTimeout); });
  if (!entry && entry.Error() != Errc::NotFound) {
    return entry.Error();
  }
  // The revision may be used only after this check; see the comment at the top of Snapshot.h.
  if (auto error = this->CheckOwnership()) {
    return error;
  }
  this->partRevisions[aKey] = entry ? entry->revision : 0;
  return {};
}

std::string SnapshotWriter::Part(std::size_t aIndex) const
{
  return this->encoded.substr(aIndex * kMaxPartBytes, kMaxPartBytes);
}

std::error_code SnapshotWriter::WritePart()
{
  std::string key = SnapshotPartKey(this->region, this->head.generation + 1, this->nextPart);
  if (!this->partRevisions.contains(key)) {
    if (auto error = this->LoadPartRevision(key)) {
      return error;
    }
  }
  // The part is written even if it already holds the same bytes: the new revision makes a delayed
  // write of a deposed leader, which expects the old revision, fail.
  auto written = this->store.CompareAndSwap(
    key, this->Part(this->nextPart), this->partRevisions[key], 0, this->options.callTimeout);
  if (written) {
    this->partRevisions[key] = *written;
    return {};
  }
  if (written.Error() == Errc::Conflict || written.Error() == Errc::OutcomeUnknown) {
    // Written by a deposed leader, or by this writer with the response lost: the next step reads
    // the revision and writes the part again.
    this->partRevisions.erase(key);
    return Errc::OutcomeUnknown;
  }
  return written.Error();
}

std::error_code SnapshotWriter::SwitchHead()
{
  if (this->isSwitchAmbiguous) {
    SnapshotHead wanted = this->nextHead;
    if (auto error = this->CheckOwnership()) {
      return error;
    }
    if (this->head == wanted) {
      this->isSwitchAmbiguous = false;
      return {};
    }
  }
  this->nextHead.generation = this->head.generation + 1;
  auto written = this->WriteHead(this->nextHead);
  if (written) {
    this->isSwitchAmbiguous = false;
    this->head = this->nextHead;
    this->headRevision = *written;
    return {};
  }
  if (written.Error() == Errc::Conflict || written.Error() == Errc::OutcomeUnknown) {
    this->isSwitchAmbiguous = true;
    return Errc::OutcomeUnknown;
  }
  return written.Error();
}

std::error_code SnapshotWriter::Fence()
{
  this->isFenced = true;
  return Errc::Fenced;
}

} // namespace daisydrift
