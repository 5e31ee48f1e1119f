// End reports are acknowledged only when all changes that follow from them are stored.

#include "StoredEnds.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace daisydrift::coordination {
namespace {

TEST(StoredEndsTest, AnEndIsStoredWithItsGroup)
{
  StoredEnds ends;
  ends.OnGroupBegun(1, { { "w", 1, 7 } }, { "a" }, {});
  std::vector<TakenEnds> stored = ends.OnGroupStored(1);
  ASSERT_EQ(stored.size(), 1U);
  EXPECT_EQ(stored[0][0].number, 7U);
}

TEST(StoredEndsTest, AnEarlierGroupUnderWayHoldsUpTheConfirmation)
{
  StoredEnds ends;
  ends.OnGroupBegun(1, { { "w", 1, 7 } }, { "a" }, {});
  ends.OnGroupBegun(2, { { "w", 1, 8 } }, { "b" }, {});
  EXPECT_TRUE(ends.OnGroupStored(2).empty());
  EXPECT_EQ(ends.OnGroupStored(1).size(), 2U);
}

TEST(StoredEndsTest, ADeferredJobHoldsUpTheConfirmationUntilItsOwnGroupIsStored)
{
  StoredEnds ends;
  ends.OnGroupBegun(1, {}, { "a" }, {});
  ends.OnGroupBegun(2, { { "w", 1, 7 } }, {}, { "a" });
  EXPECT_TRUE(ends.OnGroupStored(2).empty());
  EXPECT_EQ(ends.OnGroupStored(1).size(), 1U) << "only what came before the deferred change";
  ends.OnGroupBegun(3, {}, { "a" }, {});
  EXPECT_EQ(ends.OnGroupStored(3).size(), 2U);
}

/// Reference model: a plain list of which end report changed which job.
struct Model
{
  struct End
  {
    std::uint64_t number;
    int job;
    /// Batch that contains the change; 0 when none does yet.
    std::uint64_t group = 0;
  };

  void BeginGroup()
  {
    std::uint64_t group = ++this->groups;
    std::set<JobId> taken;
    std::set<JobId> deferred;
    for (int job : std::exchange(this->changed, {})) {
      if (this->underWay.count(job) != 0) {
        this->changed.insert(job);
        deferred.insert(std::to_string(job));
        continue;
      }
      taken.insert(std::to_string(job));
      this->underWay[job] = group;
      for (End& end : this->ends) {
        end.group = end.job == job && end.group == 0 ? group : end.group;
      }
    }
    this->open.insert(group);
    this->stored.OnGroupBegun(group, { { "w", 1, this->ends.size() } }, taken, deferred);
  }

  void StoreGroup(std::uint64_t aGroup)
  {
    this->open.erase(aGroup);
    std::erase_if(this->underWay, [aGroup](const auto& aEntry) { return aEntry.second == aGroup; });
    for (const TakenEnds& taken : this->stored.OnGroupStored(aGroup)) {
      this->confirmed = std::max(this->confirmed, taken[0].number);
    }
    for (const End& end : this->ends) {
      if (end.number <= this->confirmed) {
        RC_ASSERT(end.group != 0);
        RC_ASSERT(this->open.count(end.group) == 0);
      }
    }
  }

  StoredEnds stored;
  std::vector<End> ends;
  std::set<int> changed;
  std::map<int, std::uint64_t> underWay;
  std::set<std::uint64_t> open;
  std::uint64_t groups = 0;
  std::uint64_t confirmed = 0;
};

RC_GTEST_PROP(StoredEndsTest, NoEndIsConfirmedBeforeItsChangeIsStored, ())
{
  Model model;
  for (int step = 0; step < 60; ++step) {
    int action = *rc::gen::inRange(0, 3);
    if (action == 0) {
      int job = *rc::gen::inRange(0, 5);
      model.ends.push_back({ model.ends.size() + 1, job });
      model.changed.insert(job);
    } else if (action == 1) {
      model.BeginGroup();
    } else if (!model.open.empty()) {
      model.StoreGroup(
        *rc::gen::elementOf(std::vector<std::uint64_t>(model.open.begin(), model.open.end())));
    }
  }
  // Once all batches are stored, every end report is acknowledged.
  while (!model.open.empty() || !model.changed.empty()) {
    while (!model.open.empty()) {
      model.StoreGroup(*model.open.begin());
    }
    model.BeginGroup();
    model.StoreGroup(model.groups);
  }
  RC_ASSERT(model.confirmed == model.ends.size());
}

} // namespace
} // namespace daisydrift::coordination
