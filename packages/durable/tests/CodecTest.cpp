// Stored forms: what is written is read back, and damaged bytes are refused without an exception.

#include "DurableFixtures.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace daisydrift {
namespace {

rc::Gen<std::string> Bytes()
{
  return rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

rc::Gen<AttemptId> Attempt()
{
  return rc::gen::map(
    rc::gen::arbitrary<std::tuple<JobNumber, std::uint32_t, std::uint32_t>>(), [](const auto& aIn) {
      return AttemptId{ { std::get<0>(aIn), std::get<1>(aIn) }, std::get<2>(aIn) };
    });
}

rc::Gen<JournalEntry> Entry()
{
  return rc::gen::exec([]() -> JournalEntry {
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        return JobAccepted{
          *rc::gen::arbitrary<JobNumber>(),   *Bytes(), *Bytes(), *Bytes(), *Bytes(),
          *rc::gen::arbitrary<std::int64_t>()
        };
      case 1:
        return TaskAssigned{ *Attempt(),
                             *Bytes(),
                             *Bytes(),
                             { *rc::gen::arbitrary<std::int64_t>(),
                               *rc::gen::arbitrary<std::int64_t>(),
                               *rc::gen::arbitrary<std::int64_t>() } };
      case 2:
        return AttemptEnded{ *Attempt(),
                             *rc::gen::element(EndOutcome::Succeeded,
                                               EndOutcome::Failed,
                                               EndOutcome::Interrupted,
                                               EndOutcome::Rejected),
                             *Bytes() };
      case 3:
        return JobCancelled{ *rc::gen::arbitrary<JobNumber>() };
      default:
        return JobFinished{ *rc::gen::arbitrary<JobNumber>(),
                            *rc::gen::arbitrary<std::uint8_t>(),
                            *Bytes(),
                            *rc::gen::arbitrary<std::int64_t>() };
    }
  });
}

rc::Gen<JournalRecord> Record()
{
  return rc::gen::exec([] {
    return JournalRecord{ *rc::gen::positive<std::uint64_t>(),
                          *rc::gen::positive<Epoch>(),
                          *Bytes(),
                          *rc::gen::arbitrary<std::uint64_t>(),
                          *rc::gen::container<std::vector<JournalEntry>>(Entry()) };
  });
}

/// Guards against a field that is lost or mixed up in the stored form.
RC_GTEST_PROP(Codec, RecordsAreReadBack, ())
{
  JournalRecord record = *Record();
  auto read = DecodeRecord(*EncodeRecord(record));
  RC_ASSERT(read.HasValue());
  RC_ASSERT(*read == record);
}

/// A state built by the record's entries on a few jobs.
RegionState SomeState()
{
  RegionState state;
  EXPECT_FALSE(state.ApplyEntries(1,
                                  { Accept(1),
                                    Accept(3),
                                    Assign(1),
                                    Assign(3),
                                    AttemptEnded{ { { 3, 0 }, 1 }, EndOutcome::Failed },
                                    Assign(3, 2),
                                    Accept(4),
                                    JobCancelled{ 4 },
                                    JobFinished{ 4, 2, "cancelled", 77 } }));
  EXPECT_EQ(state.IgnoredEntries(), 0u);
  return state;
}

/// Guards against a state that a snapshot changes.
TEST(Codec, StateIsReadBack)
{
  RegionState state = SomeState();
  auto read = RegionState::Decode(*state.Encode());
  ASSERT_TRUE(read);
  EXPECT_EQ(*read, state);
  EXPECT_EQ(read->FindJob(3)->tasks[0].failures, 1u);
  EXPECT_EQ(read->FindJob(3)->tasks[0].current->worker, "worker-3");
}

/// What the decoders say of the same bytes; true when one accepts them.
bool AnyDecodes(const std::string& aBytes)
{
  bool record = DecodeRecord(aBytes).HasValue();
  bool head = DecodeHead(aBytes).HasValue();
  bool state = RegionState::Decode(aBytes).HasValue();
  return record || head || state;
}

/// Guards against random bytes that crash a decoder or are taken for a record.
RC_GTEST_PROP(Codec, GarbageIsRefused, ())
{
  RC_ASSERT(!AnyDecodes(*Bytes()));
}

/// Guards against a changed, shortened or lengthened stored form that is accepted. Every change of
/// one byte and every length is tried.
TEST(Codec, EveryDamageIsRefused)
{
  JournalRecord record{ 7, 3, "writer", 9, { Accept(1), Assign(1), JobCancelled{ 2 } } };
  std::size_t inputs = 0;
  const std::vector<std::string> originals = { *EncodeRecord(record),
                                               *EncodeHead({ 3, 7, 2, "writer", 100, { 1, 2 } }),
                                               *SomeState().Encode() };
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

/// The frame of a stored form with a digest that fits aPayload, so that the decoder behind the
/// digest is reached.
std::string Frame(char aKind, const std::string& aPayload)
{
  std::uint64_t hash = 0xcbf29ce484222325;
  for (char byte : std::string{ aKind, '1' } + aPayload) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3;
  }
  std::string bytes = std::string("dd") + aKind + "1";
  for (int i = 0; i < 8; ++i) {
    bytes += static_cast<char>(hash >> (8 * i));
  }
  return bytes + aPayload;
}

/// Guards against a malformed message with a right digest that crashes the decoder, lets an
/// exception out or makes it use memory without bound. Inputs: random payloads and true ones with
/// random changes; what decodes by chance must at least be encoded again.
TEST(Codec, MalformedMessagesWithARightDigestAreHandled)
{
  std::mt19937_64 generator(20261204);
  JournalRecord record{ 7, 3, "writer", 9, { Accept(1), Assign(1), JobCancelled{ 2 } } };
  std::vector<std::pair<char, std::string>> seeds = {
    { 'R', EncodeRecord(record)->substr(12) },
    { 'H', EncodeHead({ 3, 7, 2, "writer", 100, { 1, 2 } })->substr(12) },
    { 'S', SomeState().Encode()->substr(12) }
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
    accepted += AnyDecodes(Frame(kind, payload)) ? 1 : 0;
  }
  EXPECT_GT(accepted, 0u);
  RecordProperty("inputs", static_cast<int>(inputs));
}

/// Guards against a small message that unpacks to a very large one, and against a large input.
TEST(Codec, OversizedInputIsRefused)
{
  // A packed run of zeros: two bytes stand for up to 256 words.
  std::string bomb;
  for (int i = 0; i < 100'000; ++i) {
    bomb += std::string("\0\xff", 2);
  }
  std::string table("\x01\x00\x00\x00\xff\xff\xff\x0f", 8);
  EXPECT_FALSE(AnyDecodes(Frame('R', bomb)));
  EXPECT_FALSE(AnyDecodes(Frame('R', std::string("\x10\x03", 2) + bomb)));
  EXPECT_FALSE(AnyDecodes(Frame('R', "\xff" + table + '\0' + bomb)));
  std::string frame = Frame('R', std::string(kMaxRecordBytes, 'x'));
  EXPECT_EQ(DecodeRecord(frame).Error(), Errc::Corrupt);
}

/// Guards against a record that is written but can't be read: text of zeros packs to a thousandth.
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

/// Guards against a record with an outcome that this version does not know, or without an epoch.
TEST(Codec, ValuesOutOfRangeAreRefused)
{
  AttemptEnded ended{ { { 1, 0 }, 1 }, static_cast<EndOutcome>(9) };
  EXPECT_EQ(DecodeRecord(*EncodeRecord({ 1, 1, "w", 1, { ended } })).Error(), Errc::Corrupt);
  ended.outcome = EndOutcome::None;
  EXPECT_EQ(DecodeRecord(*EncodeRecord({ 1, 1, "w", 1, { ended } })).Error(), Errc::Corrupt);
  EXPECT_EQ(DecodeRecord(*EncodeRecord({ 1, 0, "w", 1, {} })).Error(), Errc::Corrupt);
  EXPECT_EQ(DecodeRecord(*EncodeRecord({ 0, 1, "w", 1, {} })).Error(), Errc::Corrupt);
}

} // namespace
} // namespace daisydrift
