// Records of roles that another writer has changed. Guards against an epoch that wraps around, so
// that the next leader would have epoch 0, and against a process that ends.

#include "Records.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <random>

namespace daisydrift {
namespace {

std::string WithEpoch(std::string aText, const std::string& aEpoch)
{
  auto at = aText.find("\"epoch\":3");
  EXPECT_NE(at, std::string::npos) << aText;
  return aText.replace(at, 9, "\"epoch\":" + aEpoch);
}

const std::string kHistory = SerializeHistory({ 3, { { "a", "10.0.0.1:1", 2 } } });
const std::string kLeader = SerializeLeader({ "a", "10.0.0.1:1", 3 }, 4);

std::string Seat()
{
  SeatRecord seat;
  seat.instance = "a";
  seat.address = "10.0.0.1:1";
  seat.epoch = 3;
  return SerializeSeat(seat, 4);
}

TEST(OddRecord, EpochOutOfRangeIsRefused)
{
  RoleTerm history;
  RoleHolder leader;
  SeatRecord seat;
  ASSERT_TRUE(ParseHistory(kHistory, history) && ParseLeader(kLeader, leader) &&
              ParseSeat(Seat(), seat));
  for (const char* epoch : { "18446744073709551615",
                             "99999999999999999999999",
                             "1e300",
                             "-1",
                             "2.5",
                             "true",
                             "\"3\"",
                             "null" }) {
    EXPECT_FALSE(ParseHistory(WithEpoch(kHistory, epoch), history)) << epoch;
    EXPECT_FALSE(ParseLeader(WithEpoch(kLeader, epoch), leader)) << epoch;
    EXPECT_FALSE(ParseSeat(WithEpoch(Seat(), epoch), seat)) << epoch;
  }
  EXPECT_EQ(history.epoch, 3U);
  EXPECT_EQ(leader.epoch, 3U);
  EXPECT_EQ(seat.epoch, 3U);
}

TEST(OddRecord, RefusedSeatLeavesTheKnownOneAsItWas)
{
  SeatRecord seat;
  ASSERT_TRUE(ParseSeat(Seat(), seat));
  EXPECT_FALSE(ParseSeat(R"({"instance":"b","address":7})", seat));
  EXPECT_EQ(seat.instance, "a");
}

// More runs by hand: ODD_ENTRY_RUNS.
TEST(OddRecord, MutatedRecordsEndNoProcessAndHaveEpochsInRange)
{
  const char* runs = std::getenv("ODD_ENTRY_RUNS");
  unsigned count = runs != nullptr ? std::strtoul(runs, nullptr, 10) : 20'000;
  std::mt19937 random(20261205);
  const std::string kTexts[] = { kHistory, kLeader, Seat() };
  const char* const kOdd[] = { "18446744073709551615",
                               "1e300",
                               "-1",
                               "1e999",
                               "null",
                               "{}",
                               "[]",
                               "\"",
                               "{",
                               "[",
                               "}",
                               ":",
                               ",",
                               "9" };
  unsigned accepted = 0;
  for (unsigned i = 0; i < count; ++i) {
    std::string text = kTexts[random() % 3];
    for (unsigned changes = random() % 3; changes > 0; --changes) {
      std::size_t at = random() % text.size();
      text.replace(at, random() % 3, kOdd[random() % std::size(kOdd)]);
    }
    if (random() % 16 == 0) {
      text.insert(random() % text.size(), std::string(random() % 100'000, '['));
    }
    RoleTerm history;
    RoleHolder leader;
    SeatRecord seat;
    bool isAccepted = ParseHistory(text, history);
    isAccepted = ParseLeader(text, leader) || isAccepted;
    isAccepted = ParseSeat(text, seat) || isAccepted;
    ASSERT_LT(history.epoch + 1, Epoch{ 1 } << 63U) << text;
    ASSERT_LT(leader.epoch + 1, Epoch{ 1 } << 63U) << text;
    ASSERT_LT(seat.epoch + 1, Epoch{ 1 } << 63U) << text;
    accepted += isAccepted ? 1 : 0;
  }
  EXPECT_GT(accepted, 0U);
}

} // namespace
} // namespace daisydrift
