// Proofs of leadership: until when a leader has led, and when no earlier one can be confirmed.

#include "daisydrift/dispatch.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

using std::chrono::seconds;
using Voters = LeadershipConfirmation::Voters;

class LeadershipConfirmationTest : public ::testing::Test
{
protected:
  static TimePoint At(int aSeconds) { return TimePoint(seconds(1000 + aSeconds)); }
  /// The worker accepts a poll that is sent and answered at that time.
  void Accept(const WorkerId& aWorker, int aSeconds, std::int64_t aIncarnation = 1)
  {
    this->confirmation.OnPollAccepted(aWorker, aIncarnation, At(aSeconds), At(aSeconds));
  }
  void Store(const Voters& aVoters)
  {
    this->confirmation.OnVotersSent(aVoters);
    this->confirmation.OnVotersStored();
  }
  /// All workers accept a poll at 1 s, and the store confirms the leadership at 2 s.
  void AcceptAllOnce()
  {
    for (const char* id : { "w1", "w2", "w3", "w4" }) {
      this->Accept(id, 1);
    }
    this->confirmation.OnStoreConfirmed(At(2));
  }

  LeadershipConfirmation confirmation{ Voters() };
};

TEST_F(LeadershipConfirmationTest, StoreConfirmsAndATimeNeverGoesBack)
{
  EXPECT_EQ(this->confirmation.ConfirmedAt(), TimePoint());
  this->confirmation.OnStoreConfirmed(At(2));
  this->confirmation.OnStoreConfirmed(At(1));
  EXPECT_EQ(this->confirmation.ConfirmedAt(), At(2));
}

// Guards against two leaders that are both confirmed: exactly half of the workers is not enough.
TEST_F(LeadershipConfirmationTest, MoreThanHalfOfTheVotersMustAccept)
{
  this->Store({ "w1", "w2", "w3", "w4" });
  this->AcceptAllOnce();
  this->Accept("w1", 5);
  this->Accept("w2", 6);
  EXPECT_EQ(this->confirmation.ConfirmedAt(), At(2));
  this->Accept("w3", 7);
  EXPECT_EQ(this->confirmation.ConfirmedAt(), At(5)) << "three have accepted a poll since then";
  EXPECT_EQ(this->confirmation.CountAccepted(At(6)), 2U);
}

TEST_F(LeadershipConfirmationTest, WorkersThatAreNoVotersProveNothing)
{
  this->AcceptAllOnce();
  this->Accept("w1", 5);
  EXPECT_EQ(this->confirmation.ConfirmedAt(), At(2)) << "no voters are stored";
  this->Store({ "w1" });
  this->Accept("w2", 6);
  this->Accept("w1", 7);
  EXPECT_EQ(this->confirmation.ConfirmedAt(), At(7));
}

// Guards against a later leader that reads the former voters or the new ones: while it is not known
// which are stored, more than half of both must accept.
TEST_F(LeadershipConfirmationTest, BothSetsMustAcceptWhileTheNewOneMayBeStored)
{
  this->Store({ "w1", "w2", "w3" });
  this->AcceptAllOnce();
  this->confirmation.OnVotersSent({ "w3", "w4" });
  this->Accept("w1", 5);
  this->Accept("w2", 5);
  EXPECT_EQ(this->confirmation.ConfirmedAt(), At(2));
  this->Accept("w3", 6);
  this->Accept("w4", 6);
  EXPECT_EQ(this->confirmation.ConfirmedAt(), At(5));
  this->confirmation.OnVotersStored();
  this->Accept("w4", 7);
  EXPECT_EQ(this->confirmation.ConfirmedAt(), At(6));
}

// Guards against a worker that has forgotten the poll of a later leader.
TEST_F(LeadershipConfirmationTest, RestartedWorkerCountsAfterTheStoreHasConfirmedAgain)
{
  this->Store({ "w1", "w2", "w3" });
  this->AcceptAllOnce();
  this->Accept("w1", 5);
  this->Accept("w2", 5, 2);
  this->Accept("w2", 6, 2);
  EXPECT_EQ(this->confirmation.ConfirmedAt(), At(2));
  this->confirmation.OnStoreConfirmed(At(5));
  this->Accept("w1", 7);
  EXPECT_EQ(this->confirmation.ConfirmedAt(), At(5)) << "not after the first answer";
  this->confirmation.OnStoreConfirmed(At(8));
  this->Accept("w2", 9, 2);
  this->Accept("w1", 10);
  EXPECT_EQ(this->confirmation.ConfirmedAt(), At(9));
}

TEST_F(LeadershipConfirmationTest, EarlierLeadersHaveEndedWhenHalfOfTheirVotersHaveAnswered)
{
  LeadershipConfirmation next(Voters{ "w1", "w2", "w3" });
  next.OnPollAccepted("w1", 1, At(1), At(1));
  next.OnPollAccepted("w1", 2, At(2), At(2));
  next.OnPollAccepted("w4", 1, At(3), At(3));
  EXPECT_FALSE(next.HaveEarlierLeadersEnded()) << "two may still be more than half";
  next.OnPollAccepted("w2", 1, At(4), At(4));
  EXPECT_TRUE(next.HaveEarlierLeadersEnded());
}

TEST_F(LeadershipConfirmationTest, LeadersOfAnEarlierVersionAreNeverKnownToHaveEnded)
{
  LeadershipConfirmation next(std::nullopt);
  next.OnPollAccepted("w1", 1, At(1), At(1));
  EXPECT_FALSE(next.HaveEarlierLeadersEnded());
}

// Guards against a leader of a large fleet that counts the votes of all workers after each poll,
// which takes all of its time while the store is silent.
TEST_F(LeadershipConfirmationTest, VotesOfALargeFleetAreCountedFromTimeToTimeAndStayRecent)
{
  constexpr int kVoters = 3000;
  constexpr int kRounds = 20;
  std::vector<WorkerId> workers;
  for (int number = 0; number < kVoters; ++number) {
    workers.push_back("w" + std::to_string(number));
  }
  this->Store(Voters(workers.begin(), workers.end()));
  for (const WorkerId& worker : workers) {
    this->Accept(worker, 0);
  }
  this->confirmation.OnStoreConfirmed(At(1));
  std::uint64_t before = this->confirmation.Counts();
  for (int round = 2; round < 2 + kRounds; ++round) {
    for (const WorkerId& worker : workers) {
      this->Accept(worker, round);
    }
    EXPECT_EQ(this->confirmation.ConfirmedAt(), At(round));
  }
  EXPECT_LE(this->confirmation.Counts() - before, 40U * kRounds);
}

} // namespace
} // namespace daisydrift
