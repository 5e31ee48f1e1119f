// Encodings of records, snapshot heads and states: round trips, and damaged bytes are refused
// without an exception.

#include "DurableFixtures.h"
#include "Envelope.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace daisydrift {
namespace {

rc::Gen<std::string> GenBytes()
{
  return rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

rc::Gen<AttemptId> GenAttemptId()
{
  return rc::gen::map(
    rc::gen::arbitrary<std::tuple<JobNumber, std::uint32_t, std::uint32_t>>(), [](const auto& aIn) {
      return AttemptId{ { std::get<0>(aIn), std::get<1>(aIn) }, std::get<2>(aIn) };
    });
}

rc::Gen<JournalEntry> GenEntry()
{
  return rc::gen::exec([]() -> JournalEntry {
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        return JobAccepted{
          *rc::gen::arbitrary<JobNumber>(),   *GenBytes(), *GenBytes(), *GenBytes(), *GenBytes(),
          *rc::gen::arbitrary<std::int64_t>()
        };
      case 1:
        return TaskAssigned{ *GenAttemptId(),
                             *GenBytes(),
                             *GenBytes(),
                             { *rc::gen::arbitrary<std::int64_t>(),
                               *rc::gen::arbitrary<std::int64_t>(),
                               *rc::gen::arbitrary<std::int64_t>() } };
      case 2:
        return AttemptEnded{ *GenAttemptId(),
                             *rc::gen::element(StoredAttemptOutcome::Succeeded,
                                               StoredAttemptOutcome::Failed,
                                               StoredAttemptOutcome::Interrupted,
                                               StoredAttemptOutcome::Rejected),
                             *GenBytes() };
      case 3:
        return JobCancelled{ *rc::gen::arbitrary<JobNumber>() };
      default:
        return JobFinished{ *rc::gen::arbitrary<JobNumber>(),
                            *rc::gen::arbitrary<std::uint8_t>(),
                            *GenBytes(),
                            *rc::gen::arbitrary<std::int64_t>() };
    }
  });
}

rc::Gen<JournalRecord> GenRecord()
{
  return rc::gen::exec([] {
    return JournalRecord{ *rc::gen::positive<std::uint64_t>(),
                          *rc::gen::positive<Epoch>(),
                          *GenBytes(),
                          *rc::gen::arbitrary<std::uint64_t>(),
                          *rc::gen::container<std::vector<JournalEntry>>(GenEntry()) };
  });
}

/// Guards against fields that are lost or swapped in the encoding.
RC_GTEST_PROP(Codec, RecordsAreReadBack, ())
{
  JournalRecord record = *GenRecord();
  auto read = DecodeRecord(*EncodeRecord(record));
  RC_ASSERT(read.HasValue());
  RC_ASSERT(*read == record);
}

/// A state with a few jobs, a failed attempt, a running attempt and a cancelled job.
RegionState MakeState()
{
  RegionState state;
  EXPECT_FALSE(state.ApplyEntries(1,
                                  { Accept(1),
                                    Accept(3),
                                    Assign(1),
                                    Assign(3),
                                    AttemptEnded{ { { 3, 0 }, 1 }, StoredAttemptOutcome::Failed },
                                    Assign(3, 2),
                                    Accept(4),
                                    JobCancelled{ 4 },
                                    JobFinished{ 4, 2, "cancelled", 77 } }));
  EXPECT_EQ(state.IgnoredEntries(), 0u);
  return state;
}

/// Guards against parts of the state that are lost or changed in the encoding.
TEST(Codec, StateIsReadBack)
{
  RegionState state = MakeState();
  auto read = RegionState::Decode(*state.Encode());
  ASSERT_TRUE(read);
  EXPECT_EQ(*read, state);
  EXPECT_EQ(read->FindJob(3)->tasks[0].failures, 1u);
  EXPECT_EQ(read->FindJob(3)->tasks[0].current->worker, "worker-3");
}

/// True when any of the decoders accepts the bytes.
bool AnyDecodes(const std::string& aBytes)
{
  bool record = DecodeRecord(aBytes).HasValue();
  bool head = DecodeHead(aBytes).HasValue();
  bool state = RegionState::Decode(aBytes).HasValue();
  return record || head || state;
}

/// Guards against random bytes that crash a decoder or are accepted.
RC_GTEST_PROP(Codec, GarbageIsRefused, ())
{
  RC_ASSERT(!AnyDecodes(*GenBytes()));
}

/// Guards against changed, truncated or extended encodings that are accepted. Tries each change of
/// one byte, each truncation and each extension by a prefix of the encoding.
TEST(Codec, EveryDamageIsRefused)
{
  JournalRecord record{ 7, 3, "writer", 9, { Accept(1), Assign(1), JobCancelled{ 2 } } };
  std::size_t inputs = 0;
  const std::vector<std::string> originals = { *EncodeRecord(record),
                                               *EncodeHead({ 3, 7, 2, "writer", 100, { 1, 2 } }),
                                               *MakeState().Encode() };
  for (const std::string& good : originals) {
    ASSERT_TRUE(AnyDecodes(good));
    for (std::size_t i = 0; i < good.size(); ++i) {
      for (int change = 1; change < 256; ++change, ++inputs) {
        std::string bad = good;
        bad[i] = static_cast<char>(bad[i] ^ change);
        ASSERT_FALSE(AnyDecodes(bad)) << i << " " << change;
      }
      ASSERT_FALSE(AnyDecodes(good.substr(0, i)));
      ASSERT_FALSE(AnyDecodes(good + good.substr(0, i + 1)));
      inputs += 2;
    }
  }
  EXPECT_GT(inputs, 100'000u);
  RecordProperty("inputs", static_cast<int>(inputs));
}

/// An envelope with a matching digest for aPayload, so that the payload reaches the decoder.
std::string MakeEnvelope(char aKind, const std::string& aPayload)
{
  std::uint64_t hash = Digest64(aPayload, Digest64(std::string{ aKind, '1' }));
  std::string bytes = std::string("dd") + aKind + "1";
  for (int i = 0; i < 8; ++i) {
    bytes += static_cast<char>(hash >> (8 * i));
  }
  return bytes + aPayload;
}

/// Guards against malformed messages with a matching digest that crash the decoder, make it throw
/// or use unbounded memory. Inputs are random payloads and valid payloads with random changes.
TEST(Codec, MalformedMessagesWithAMatchingDigestAreHandled)
{
  std::mt19937_64 generator(20261204);
  JournalRecord record{ 7, 3, "writer", 9, { Accept(1), Assign(1), JobCancelled{ 2 } } };
  std::vector<std::pair<char, std::string>> seeds = {
    { 'R', EncodeRecord(record)->substr(12) },
    { 'H', EncodeHead({ 3, 7, 2, "writer", 100, { 1, 2 } })->substr(12) },
    { 'S', MakeState().Encode()->substr(12) }
  };
  std::size_t accepted = 0;
  std::size_t inputs = 0;
  for (; inputs < 150'000; ++inputs) {
    auto [kind, payload] = seeds[inputs % seeds.size()];
    if (inputs % 4 == 0) {
      payload.resize(generator() % 200);
      for (char& byte : payload) {
        byte = static_cast<char>(generator());
      }
    }
    for (std::uint64_t changes = generator() % 4; changes > 0 && !payload.empty(); --changes) {
      payload[generator() % payload.size()] = static_cast<char>(generator());
    }
    accepted += AnyDecodes(MakeEnvelope(kind, payload)) ? 1 : 0;
  }
  EXPECT_GT(accepted, 0u);
  RecordProperty("inputs", static_cast<int>(inputs));
}

/// Guards against a small message that unpacks to a very large one (decompression bomb), and
/// against an input above the size limit.
TEST(Codec, OversizedInputIsRefused)
{
  // A packed run of zeros: two bytes encode up to 256 words.
  std::string bomb;
  for (int i = 0; i < 100'000; ++i) {
    bomb += std::string("\0\xff", 2);
  }
  std::string table("\x01\x00\x00\x00\xff\xff\xff\x0f", 8);
  EXPECT_FALSE(AnyDecodes(MakeEnvelope('R', bomb)));
  EXPECT_FALSE(AnyDecodes(MakeEnvelope('R', std::string("\x10\x03", 2) + bomb)));
  EXPECT_FALSE(AnyDecodes(MakeEnvelope('R', "\xff" + table + '\0' + bomb)));
  std::string envelope = MakeEnvelope('R', std::string(kMaxRecordBytes, 'x'));
  EXPECT_EQ(DecodeRecord(envelope).Error(), Errc::Corrupt);
}

/// Guards against records that are encoded but exceed the decoder's limit on the unpacked size, as
/// zeros, which pack to about a thousandth of their size, could.
TEST(Codec, WhatCanBeWrittenCanBeRead)
{
  for (std::size_t size = 1024; size < 8 * kMaxUnpackedRecordBytes; size *= 2) {
    JournalRecord record{ 1, 1, "writer", 1, { Accept(1, std::string(size, '\0')) } };
    auto bytes = EncodeRecord(record);
    EXPECT_EQ(bytes.HasValue(), size < kMaxUnpackedRecordBytes);
    if (bytes) {
      auto read = DecodeRecord(*bytes);
      ASSERT_TRUE(read) << size;
      EXPECT_EQ(*read, record);
    }
  }
}

/// Guards against records that are accepted with an outcome unknown to this version, or without an
/// epoch or number.
TEST(Codec, ValuesOutOfRangeAreRefused)
{
  AttemptEnded ended{ { { 1, 0 }, 1 }, static_cast<StoredAttemptOutcome>(9) };
  EXPECT_EQ(DecodeRecord(*EncodeRecord({ 1, 1, "w", 1, { ended } })).Error(), Errc::Corrupt);
  ended.outcome = StoredAttemptOutcome::None;
  EXPECT_EQ(DecodeRecord(*EncodeRecord({ 1, 1, "w", 1, { ended } })).Error(), Errc::Corrupt);
  EXPECT_EQ(DecodeRecord(*EncodeRecord({ 1, 0, "w", 1, {} })).Error(), Errc::Corrupt);
  EXPECT_EQ(DecodeRecord(*EncodeRecord({ 0, 1, "w", 1, {} })).Error(), Errc::Corrupt);
}

} // namespace
} // namespace daisydrift
