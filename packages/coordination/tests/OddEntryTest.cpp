// Entries of the group that another writer left or that have been damaged end no instance and leave
// the group able to work.

#include "Cluster.h"

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string NestedList(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

struct OddEntry
{
  const char* key;
  std::string value;
};

/// Values below `daisydrift/group/` that no instance writes.
std::vector<OddEntry> OddEntries()
{
  std::string address = R"("endpoint":"10.0.0.9:9009")";
  return { { "members/x", R"({"endpoint":7})" },
           { "members/x", "{" + address + R"(,"domain":5})" },
           { "members/x", "{" + address + R"(,"stand_delay_us":"a"})" },
           { "members/x", "{" + address + R"(,"stand_delay_us":-9223372036854775808})" },
           { "members/x", "{" + address + R"(,"stand_delay_us":9223372036854775807})" },
           { "members/x", R"({"endpoint":"10.0.0.9:65536"})" },
           { "members/x", NestedList(200000) },
           { "members/x", R"({"endpoint":"10.0.0.9:9009","x":)" + NestedList(200000) + "}" },
           { "leases", R"({"term":"x"})" },
           { "leases", R"({"term":1,"longest_us":9223372036854775807})" },
           { "leases", R"({"term":1,"longest_us":-9223372036854775808})" },
           { "leases", R"({"term":1,"earlier_ended":1})" },
           { "leases", NestedList(200000) },
           { "leader", "{" + address + R"(,"term":"x"})" },
           { "leader", "{" + address + R"(,"name":5,"term":1})" },
           { "leader", "{" + address + R"(,"term":18446744073709551615})" },
           { "leader", "{" + address + R"(,"term":-1})" },
           { "leader", "{" + address + R"(,"term":1,"earlier":{"longest_us":"x"}})" },
           { "leader", R"({"endpoint":"10.0.0.9:65536","term":1})" },
           { "leader", R"({"endpoint":)" + NestedList(200000) + "}" },
           { "leader", "odd" },
           { "term", "18446744073709551615" },
           { "term", "1e300" },
           { "term", "-1" },
           { "term", R"("x")" },
           { "term", NestedList(200000) } };
}

class OddEntryTest : public Cluster
{
protected:
  void StartInstances()
  {
    for (int number = 0; number < 3; ++number) {
      this->StartInstance(number, milliseconds(100) * number);
    }
  }
  void PutOddEntry(const OddEntry& aEntry)
  {
    this->store.Put(std::string("daisydrift/group/") + aEntry.key, aEntry.value);
  }
  /// A job that is submitted now is added by a leader, and runs to its end.
  void ExpectWork(const JobId& aId)
  {
    ASSERT_GE(this->LeaderNumber(), 0);
    EXPECT_EQ(this->Submit(1, aId, 2), SubmitOutcome::Accepted);
    this->loop.RunFor(seconds(20));
    Result<DispatchState> state = this->State(2, aId);
    ASSERT_TRUE(state) << state.Error().message();
    EXPECT_EQ(*state, DispatchState::Completed);
  }
};

/// Each entry in a cluster of its own.
class EachOddEntryTest
  : public OddEntryTest
  , public ::testing::WithParamInterface<OddEntry>
{};

// Guards against a group that ends again at each start, or gets no leader.
TEST_P(EachOddEntryTest, PresentBeforeTheStart)
{
  this->PutOddEntry(GetParam());
  this->StartInstances();
  this->loop.RunFor(seconds(15));
  this->ExpectWork("job");
}

// Guards against a group that ends when the entry arrives, or no longer gets a leader.
TEST_P(EachOddEntryTest, ArrivesWhileRunning)
{
  this->StartInstances();
  this->loop.RunFor(seconds(5));
  this->PutOddEntry(GetParam());
  this->loop.RunFor(seconds(15));
  this->ExpectWork("job");
  int leader = this->LeaderNumber();
  ASSERT_GE(leader, 0);
  this->KillInstance(leader);
  this->loop.RunFor(seconds(20));
  ASSERT_GE(this->LeaderNumber(), 0) << "no election after the entry";
}

INSTANTIATE_TEST_SUITE_P(Entries, EachOddEntryTest, ::testing::ValuesIn(OddEntries()));

// Guards against a writer that can't be found: the entry is named once, and counted.
TEST_F(OddEntryTest, IsCountedOnceForEachRevision)
{
  this->StartInstances();
  this->loop.RunFor(seconds(5));
  this->PutOddEntry({ "members/x", R"({"endpoint":7})" });
  this->loop.RunFor(seconds(5));
  EXPECT_EQ(this->metrics.CounterValue("entries_unreadable_total{source=\"group\"}"), 3U);
}

// Guards against an odd entry that hides the others of the same range.
TEST_F(OddEntryTest, OddJobsAndProgressLeaveTheOthersInPlace)
{
  std::string deep = NestedList(200000);
  this->store.Put("daisydrift/jobs/odd1", deep);
  this->store.Put("daisydrift/jobs/odd2", R"({"id":5})");
  this->store.Put("daisydrift/progress/odd3", R"({"state":"x"})");
  this->store.Put("daisydrift/progress/odd4", R"({"state":1,"steps":)" + deep + "}");
  this->StartInstances();
  this->loop.RunFor(seconds(5));
  this->ExpectWork("job");
  this->store.Put("daisydrift/jobs/odd5", R"({"id":"odd5","queue":5})");
  this->store.Put("daisydrift/jobs/odd6",
                  R"({"id":"odd6","queue":"queue","team":"team","payload":"","accepted_ms":0,)"
                  R"("steps":[{"tasks":4294967295,"size":[1,1,0],"estimate_us":1}]})");
  this->store.Put("daisydrift/jobs/odd7",
                  R"({"id":"odd7","queue":"queue","team":"team","payload":"","accepted_ms":0,)"
                  R"("steps":[{"tasks":1,"size":[1,1,0],"estimate_us":1,"after":[7]}]})");
  this->loop.RunFor(seconds(5));
  this->ExpectWork("job2");
  EXPECT_GE(this->metrics.CounterValue("entries_unreadable_total{source=\"jobs\"}"), 3U);
}

} // namespace
} // namespace daisydrift
