// Contract of Store, checked for the in-memory fake and for the HTTP adapter with the stand-in
// server. Guards against an adapter that behaves differently from the fake that other tests use.

#include "daisydrift/external.h"
#include "daisydrift/standins.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

struct StoreFixture
{
  virtual ~StoreFixture() = default;
  virtual Store& Get() = 0;
};

struct FakeFixture : StoreFixture
{
  ManualClock clock;
  FakeStore store{ clock };
  Store& Get() override { return this->store; }
};

struct HttpFixture : StoreFixture
{
  StoreServer server{ { 100'000, 100'000 } };
  std::unique_ptr<HttpStore> store;
  HttpFixture()
  {
    this->server.Start({ "127.0.0.1", 0 });
    this->store = std::make_unique<HttpStore>(this->server.Address());
  }
  Store& Get() override { return *this->store; }
};

using Factory = std::function<std::unique_ptr<StoreFixture>()>;

class StoreContract : public testing::TestWithParam<std::pair<std::string, Factory>>
{
protected:
  std::unique_ptr<StoreFixture> fixture = GetParam().second();
  Store& store = this->fixture->Get();
};

TEST_P(StoreContract, MissingKeyIsNotFound)
{
  EXPECT_EQ(this->store.Get("a", 1s).Error(), Errc::NotFound);
  EXPECT_EQ(this->store.Delete("a", 1, 1s), Errc::NotFound);
}

TEST_P(StoreContract, WriteRequiresExpectedRevision)
{
  auto first = this->store.CompareAndSwap("dir/a b", "one", 0, 0, 1s);
  ASSERT_TRUE(first);
  EXPECT_EQ(this->store.CompareAndSwap("dir/a b", "two", 0, 0, 1s).Error(), Errc::Conflict);
  auto second = this->store.CompareAndSwap("dir/a b", "two", *first, 0, 1s);
  ASSERT_TRUE(second);
  EXPECT_GT(*second, *first);
  auto read = this->store.Get("dir/a b", 1s);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->value, "two");
  EXPECT_EQ(read->revision, *second);
}

TEST_P(StoreContract, ValuesAreBinarySafe)
{
  std::string value("\0\xff\r\n%&=+", 8);
  ASSERT_TRUE(this->store.CompareAndSwap("k/1", value, 0, 0, 1s));
  EXPECT_EQ(this->store.Get("k/1", 1s)->value, value);
  auto listed = this->store.List("k/", 1s);
  ASSERT_TRUE(listed);
  ASSERT_EQ(listed->size(), 1u);
  EXPECT_EQ((*listed)[0].value, value);
}

TEST_P(StoreContract, EmptyValueIsStored)
{
  ASSERT_TRUE(this->store.CompareAndSwap("empty", "", 0, 0, 1s));
  auto read = this->store.Get("empty", 1s);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->value, "");
}

TEST_P(StoreContract, ListIsSortedAndLimitedToPrefix)
{
  for (const char* key : { "p/2", "p/1", "q/1", "p" }) {
    ASSERT_TRUE(this->store.CompareAndSwap(key, key, 0, 0, 1s));
  }
  auto listed = this->store.List("p/", 1s);
  ASSERT_TRUE(listed);
  ASSERT_EQ(listed->size(), 2u);
  EXPECT_EQ((*listed)[0].key, "p/1");
  EXPECT_EQ((*listed)[1].key, "p/2");
}

TEST_P(StoreContract, WatchReportsWritesAndDeletions)
{
  auto before = this->store.Watch("w/", 0, 0ms);
  ASSERT_TRUE(before);
  auto written = this->store.CompareAndSwap("w/1", "x", 0, 0, 1s);
  auto changes = this->store.Watch("w/", before->revision, 100ms);
  ASSERT_TRUE(changes);
  ASSERT_EQ(changes->changes.size(), 1u);
  EXPECT_EQ(changes->changes[0].revision, *written);
  ASSERT_FALSE(this->store.Delete("w/1", *written, 1s));
  auto deletion = this->store.Watch("w/", changes->revision, 100ms);
  ASSERT_TRUE(deletion);
  ASSERT_EQ(deletion->changes.size(), 1u);
  EXPECT_EQ(deletion->changes[0].revision, 0u);
}

TEST_P(StoreContract, RevokedLeaseDeletesItsKeys)
{
  auto lease = this->store.GrantLease(10s, 1s);
  ASSERT_TRUE(lease);
  ASSERT_TRUE(this->store.CompareAndSwap("leased", "x", 0, *lease, 1s));
  EXPECT_FALSE(this->store.RenewLease(*lease, 1s));
  EXPECT_FALSE(this->store.RevokeLease(*lease, 1s));
  EXPECT_EQ(this->store.Get("leased", 1s).Error(), Errc::NotFound);
  EXPECT_EQ(this->store.RenewLease(*lease, 1s), Errc::LeaseExpired);
  EXPECT_EQ(this->store.CompareAndSwap("leased", "x", 0, *lease, 1s).Error(), Errc::LeaseExpired);
}

TEST_P(StoreContract, OversizedValueIsRejected)
{
  std::string value(kMaxStoreValueBytes + 1, 'x');
  EXPECT_EQ(this->store.CompareAndSwap("big", value, 0, 0, 5s).Error(), Errc::InvalidArgument);
}

INSTANTIATE_TEST_SUITE_P(
  Implementations,
  StoreContract,
  testing::Values(
    std::pair<std::string, Factory>("Fake", [] { return std::make_unique<FakeFixture>(); }),
    std::pair<std::string, Factory>("Http", [] { return std::make_unique<HttpFixture>(); })),
  [](const auto& aInfo) { return aInfo.param.first; });

} // namespace
} // namespace daisydrift
