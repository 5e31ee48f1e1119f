// Contract of InstanceDirectory with the HTTP adapter and the stand-in server. Guards against a
// field lost in transit, and against a wrong state: "gone" proves that nothing runs on the
// instance.

#include "daisydrift/external.h"
#include "daisydrift/standins.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

constexpr auto kTimeout = 30s;

std::vector<InstanceInfo> AllKindsAndStates()
{
  std::vector<InstanceInfo> instances;
  for (auto kind : { InstanceKind::Worker, InstanceKind::Upstream, InstanceKind::Entry }) {
    for (auto state : { InstanceState::Live, InstanceState::Leaving, InstanceState::Gone }) {
      InstanceInfo instance;
      instance.id = "i" + std::to_string(instances.size()) + " \"\u00e9\"";
      instance.kind = kind;
      instance.endpoint = { "10.1.2.3", static_cast<std::uint16_t>(65'535 - instances.size()) };
      instance.failureDomain = "hobart";
      instance.region = "lutruwita";
      instance.rack = kind == InstanceKind::Worker ? "r1" : "";
      instance.service = kind == InstanceKind::Upstream ? "bursary-desk" : "";
      instance.state = state;
      instances.push_back(instance);
    }
  }
  return instances;
}

void ExpectSame(const std::vector<InstanceInfo>& aActual,
                const std::vector<InstanceInfo>& aExpected)
{
  ASSERT_EQ(aActual.size(), aExpected.size());
  for (std::size_t i = 0; i < aActual.size(); ++i) {
    SCOPED_TRACE(i);
    EXPECT_EQ(aActual[i].id, aExpected[i].id);
    EXPECT_EQ(aActual[i].kind, aExpected[i].kind);
    EXPECT_EQ(aActual[i].endpoint, aExpected[i].endpoint);
    EXPECT_EQ(aActual[i].failureDomain, aExpected[i].failureDomain);
    EXPECT_EQ(aActual[i].region, aExpected[i].region);
    EXPECT_EQ(aActual[i].rack, aExpected[i].rack);
    EXPECT_EQ(aActual[i].service, aExpected[i].service);
    EXPECT_EQ(aActual[i].state, aExpected[i].state);
  }
}

TEST(DirectoryContract, ListPreservesEveryFieldAndReflectsChanges)
{
  DirectoryServer server(AllKindsAndStates());
  ASSERT_TRUE(server.Start({ "127.0.0.1", 0 }));
  HttpInstanceDirectory directory(server.Address());
  auto listed = directory.List(kTimeout);
  ASSERT_TRUE(listed);
  ExpectSame(*listed, AllKindsAndStates());
  server.SetInstances({});
  auto empty = directory.List(kTimeout);
  ASSERT_TRUE(empty);
  EXPECT_TRUE(empty->empty());
}

// Guards against skipping an item with unknown content and taking the rest for the complete list.
TEST(DirectoryContract, MalformedListsAreCorrupt)
{
  const std::string kValidItem =
    R"({"id":"a","kind":"worker","address":"10.0.0.1:1","failure_domain":"f","region":"r",)"
    R"("state":"live"})";
  ASSERT_TRUE(DecodeInstances("{\"instances\":[" + kValidItem + "]}"));
  const std::pair<const char*, const char*> kReplacements[] = {
    { "\"live\"", "\"resting\"" },
    { "\"live\"", "1" },
    { "\"worker\"", "\"store\"" },
    { "10.0.0.1:1", "10.0.0.1" },
    { "10.0.0.1:1", "10.0.0.1:65536" },
    { "10.0.0.1:1", "somewhere:1" },
    { "\"id\":\"a\",", "" },
    { "\"region\":\"r\",", "" },
    { "\"failure_domain\":\"f\",", "" },
  };
  for (const auto& [from, to] : kReplacements) {
    std::string bad = kValidItem;
    bad.replace(bad.find(from), std::string(from).size(), to);
    EXPECT_EQ(DecodeInstances("{\"instances\":[" + kValidItem + "," + bad + "]}").Error(),
              Errc::Corrupt)
      << bad;
  }
}

} // namespace
} // namespace daisydrift
