// Guards against shares that exceed an upstream's limits, requests to upstreams that are leaving,
// failing or hanging, ejection of most of a service, and ejected upstreams that are never used
// again.

#include "FakeUpstreams.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

// Guards against a division that assigns more or fewer slots than the upstream has.
RC_GTEST_PROP(UpstreamShareTest, SharesSumToTheLimit, ())
{
  auto seats = *rc::gen::inRange(1u, 40u);
  auto limit = *rc::gen::inRange(0u, 200u);
  auto upstream = *rc::gen::arbitrary<std::uint64_t>();
  UpstreamShare share(seats);
  unsigned slots = 0;
  for (unsigned seat = 0; seat < seats; ++seat) {
    unsigned own = share.Slots(upstream, seat, limit);
    RC_ASSERT(own == limit / seats || own == limit / seats + 1);
    slots += own;
  }
  RC_ASSERT(slots == limit);
  RC_ASSERT(share.Connections(limit) * seats <= limit);
}

// Guards against an uneven load of the seats: the remainder of the division must go to different
// seats at different upstreams.
TEST(UpstreamShareTest, RemainderOfTheSlotsIsSpreadOverTheSeats)
{
  UpstreamShare share(7);
  std::vector<unsigned> slots(7, 0);
  for (unsigned upstream = 0; upstream < 50; ++upstream) {
    for (unsigned seat = 0; seat < 7; ++seat) {
      slots[seat] +=
        share.Slots(UpstreamShare::HashOf("runner-" + std::to_string(upstream)), seat, 8);
    }
  }
  for (unsigned seat = 0; seat < 7; ++seat) {
    EXPECT_GE(slots[seat], 51u);
    EXPECT_LE(slots[seat], 65u);
  }
  EXPECT_EQ(UpstreamShare::HashOf(""), 0xcbf29ce484222325ULL);
}

class UpstreamTableTest : public testing::Test
{
protected:
  UpstreamTableTest()
  {
    this->settings.seats = 1;
    this->settings.limits = { 4, 64 };
    this->settings.failureDomain = "hobart";
  }

  UpstreamTable Table(unsigned aUpstreams)
  {
    UpstreamTable table(this->settings);
    table.SetSeat(0);
    table.Update(UpstreamList(aUpstreams));
    return table;
  }

  std::optional<UpstreamSlot> Acquire(UpstreamTable& aTable, bool aIsRepeatable = true)
  {
    return aTable.Acquire({ "desk", aIsRepeatable, {} }, this->now);
  }

  /// Lets an upstream fail until it is ejected, while the others respond.
  void Eject(UpstreamTable& aTable, const UpstreamId& aId)
  {
    auto before = aTable.Ejections();
    for (unsigned i = 0; i < 200 && aTable.Ejections() == before; ++i) {
      auto slot = this->Acquire(aTable);
      ASSERT_TRUE(slot);
      bool isTarget = slot->upstream == aId;
      aTable.Release(
        *slot, isTarget ? SendOutcome::NotSent : SendOutcome::Responded, this->now, this->now);
    }
    EXPECT_GT(aTable.Ejections(), before);
  }

  RoutingSettings settings;
  TimePoint now{ 1h };
};

// Guards against use of another failure domain while the own one has a free slot, and against
// finding no slot while another domain has one.
TEST_F(UpstreamTableTest, PrefersTheOwnDomainThenTheLeastLoaded)
{
  UpstreamTable table = this->Table(4);
  std::map<UpstreamId, unsigned> used;
  for (unsigned i = 0; i < 16; ++i) {
    auto slot = this->Acquire(table);
    ASSERT_TRUE(slot);
    ++used[slot->upstream];
    bool isOwn = slot->upstream == "u2" || slot->upstream == "u4";
    EXPECT_EQ(isOwn, i < 8);
    EXPECT_LE(used["u2"], used["u4"] + 1);
    EXPECT_LE(used["u4"], used["u2"] + 1);
  }
  EXPECT_FALSE(this->Acquire(table));
  this->settings.isOwnDomainPreferred = false;
  UpstreamTable tableWithoutPreference = this->Table(4);
  used.clear();
  for (unsigned i = 0; i < 4; ++i) {
    ++used[this->Acquire(tableWithoutPreference)->upstream];
  }
  EXPECT_EQ(used.size(), 4u);
}

// Guards against new requests to an upstream that is leaving, gone or missing from the list, and
// against losing count of the slots of one that is missing for a while.
TEST_F(UpstreamTableTest, LeavingUpstreamsGetNoRequestsAndKeepTheirSlotCount)
{
  for (InstanceState state : { InstanceState::Leaving, InstanceState::Gone }) {
    UpstreamTable table = this->Table(2);
    auto slot = this->Acquire(table);
    ASSERT_TRUE(slot);
    auto list = UpstreamList(2);
    for (InstanceInfo& info : list) {
      info.state = info.id == slot->upstream ? state : InstanceState::Live;
    }
    table.Update(list);
    for (unsigned i = 0; i < 4; ++i) {
      auto other = this->Acquire(table);
      ASSERT_TRUE(other);
      EXPECT_NE(other->upstream, slot->upstream);
    }
    EXPECT_FALSE(this->Acquire(table));
    table.Update(UpstreamList(2));
    EXPECT_EQ(table.SlotsInUse(this->now), 5u);
    table.Release(*slot, SendOutcome::Responded, this->now, this->now);
    EXPECT_EQ(table.SlotsInUse(this->now), 4u);
  }
}

// Guards against use of an ejected upstream, a return without a probe, more than one probe at a
// time, and an ejection time that doesn't grow.
TEST_F(UpstreamTableTest, EjectedUpstreamReturnsAfterOneProbe)
{
  UpstreamTable table = this->Table(2);
  this->Eject(table, "u2");
  Duration ejection = 1s;
  for (unsigned round = 0; round < 8; ++round) {
    this->now += ejection - Duration(1);
    auto before = this->Acquire(table);
    EXPECT_EQ(before->upstream, "u1");
    table.Release(*before, SendOutcome::Responded, this->now, this->now);
    this->now += Duration(1);
    auto probe = this->Acquire(table);
    ASSERT_EQ(probe->upstream, "u2");
    EXPECT_TRUE(probe->isProbe);
    auto other = this->Acquire(table);
    EXPECT_EQ(other->upstream, "u1");
    table.Release(*other, SendOutcome::Responded, this->now, this->now);
    table.Release(*probe, SendOutcome::NotSent, this->now, this->now);
    ejection = std::min<Duration>(ejection * 2, 60s);
  }
  this->now += ejection;
  auto probe = this->Acquire(table);
  ASSERT_EQ(probe->upstream, "u2");
  table.Release(*probe, SendOutcome::Responded, this->now, this->now);
  EXPECT_EQ(table.Counts("desk", this->now).ejected, 0u);
}

// Guards against one bad client or network switch taking most of a service out of use.
RC_GTEST_FIXTURE_PROP(UpstreamTableTest, AtMostHalfAreEjected, ())
{
  // RapidCheck generates only small numbers unless resized.
  auto count = *rc::gen::resize(100, rc::gen::inRange(1u, 12u));
  auto steps = *rc::gen::resize(
    100, rc::gen::container<std::vector<unsigned>>(400, rc::gen::inRange(0u, 1000u)));
  // With the preference, only upstreams of the own failure domain (every second one of the list)
  // would be ejected, and the limit would hold even if it weren't enforced.
  this->settings.isOwnDomainPreferred = false;
  UpstreamTable table = this->Table(count);
  for (unsigned step : steps) {
    this->now += std::chrono::milliseconds(step / 10);
    if (step % 20 == 19) {
      table.Update(UpstreamList(1 + step / 20 % count));
    }
    auto slot = this->Acquire(table, step % 2 == 0);
    RC_ASSERT(slot.has_value());
    SendOutcome outcome = step % 10 == 0 ? SendOutcome::Responded : SendOutcome::NotStarted;
    table.Release(*slot, outcome, this->now, this->now);
    UpstreamCounts counts = table.Counts("desk", this->now);
    RC_ASSERT(counts.ejected * 2 <= counts.live);
  }
}

// Guards against an ejected upstream that is never probed because its service has no repeatable
// requests.
TEST_F(UpstreamTableTest, OverdueProbeIsSentWithAnyRequest)
{
  UpstreamTable table = this->Table(2);
  this->Eject(table, "u2");
  this->now += 1s;
  EXPECT_EQ(this->Acquire(table, false)->upstream, "u1");
  this->now += 5s;
  EXPECT_EQ(this->Acquire(table, false)->upstream, "u2");
}

// Guards against a response to an attempt sent before the ejection that ends the ejection.
TEST_F(UpstreamTableTest, LateResponsesDoNotEndAnEjection)
{
  UpstreamTable table = this->Table(2);
  auto early = this->Acquire(table);
  ASSERT_EQ(early->upstream, "u2");
  this->Eject(table, "u2");
  table.Release(*early, SendOutcome::Responded, this->now, this->now);
  EXPECT_EQ(table.Counts("desk", this->now).ejected, 1u);
  EXPECT_EQ(this->Acquire(table)->upstream, "u1");
}

} // namespace
} // namespace daisydrift
