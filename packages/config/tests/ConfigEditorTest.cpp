#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "ConfigFixture.h"

#include <set>

namespace daisydrift {
namespace {

/// A FakeStore that can delay writes: the caller gets OutcomeUnknown at once, and the write is
/// carried out when DeliverDelayed is called.
class DelayedWriteStore : public FakeStore
{
public:
  using FakeStore::FakeStore;

  Result<Revision> CompareAndSwap(const std::string& aKey,
                                  const std::string& aValue,
                                  Revision aExpected,
                                  LeaseId aLease,
                                  std::chrono::milliseconds aTimeout) override
  {
    if (this->shouldDelayWrite && this->shouldDelayWrite()) {
      this->delayed.push_back({ aKey, aValue, aExpected });
      return Errc::OutcomeUnknown;
    }
    return this->FakeStore::CompareAndSwap(aKey, aValue, aExpected, aLease, aTimeout);
  }

  void DeliverDelayed()
  {
    // The fault hook may start edits whose writes are delayed as well.
    std::vector<StoreEntry> due = std::move(this->delayed);
    this->delayed.clear();
    for (const StoreEntry& write : due) {
      auto ignored = this->FakeStore::CompareAndSwap(write.key, write.value, write.revision, 0, {});
      static_cast<void>(ignored.HasValue());
    }
  }

  std::function<bool()> shouldDelayWrite;

private:
  std::vector<StoreEntry> delayed;
};

ConfigEditor MakeEditor(
  Store& aStore,
  std::function<void(unsigned)> aBackoff = [](unsigned) {})
{
  ConfigEditor::Options options;
  options.maxAttempts = 6;
  options.now = [] { return At(1000); };
  options.backoff = std::move(aBackoff);
  return ConfigEditor(aStore, options);
}

std::vector<std::string> ReadChunks(Store& aStore, std::uint64_t aCount)
{
  std::vector<std::string> chunks;
  for (std::uint64_t i = 0; i < aCount; ++i) {
    auto chunk = aStore.Get("audit/" + std::to_string(i), {});
    chunks.push_back(chunk ? chunk->value : "");
  }
  return chunks;
}

// Guards against a lost response that is reported as a failure, and against a request that is
// applied twice after it, when the write took effect and when it did not.
TEST(ConfigEditor, ResolvesLostResponses)
{
  for (StoreFault fault : { StoreFault::ResponseLost, StoreFault::RequestLost }) {
    ManualClock clock;
    FakeStore store(clock);
    int writes = 0;
    store.SetFaultHook([&](const std::string& aOperation, const std::string&) {
      return aOperation == "cas" && ++writes == 1 ? fault : StoreFault::None;
    });
    EditOutcome outcome =
      MakeEditor(store).Apply(MakeRequest("e", 0, { PutTeam{ MakeTeam("a") } }));
    EXPECT_FALSE(outcome.error);
    EXPECT_EQ(outcome.version, 1U);
    EXPECT_EQ(MakeEditor(store).Read()->document.audit.size(), 1U);
  }
}

// Guards against errors that mean "not applied" for an edit that was applied or still may be.
TEST(ConfigEditor, DistinguishesNotAppliedFromUnknown)
{
  ManualClock clock;
  FakeStore store(clock);
  StoreFault fault = StoreFault::Unreachable;
  bool isWriteSent = false;
  store.SetFaultHook([&](const std::string& aOperation, const std::string&) {
    if (aOperation == "cas") {
      isWriteSent = true;
      return fault;
    }
    return isWriteSent ? StoreFault::Unreachable : StoreFault::None;
  });
  EditRequest request = MakeRequest("e", 0, { PutTeam{ MakeTeam("a") } });
  EXPECT_EQ(MakeEditor(store).Apply(request).error, Errc::Unreachable);
  fault = StoreFault::ResponseLost;
  isWriteSent = false;
  EXPECT_EQ(MakeEditor(store).Apply(request).error, Errc::OutcomeUnknown);
  store.SetFaultHook({});
  EditOutcome again = MakeEditor(store).Apply(request);
  EXPECT_FALSE(again.error);
  EXPECT_EQ(again.version, 1U);
  store.SetFaultHook([](const std::string&, const std::string&) { return StoreFault::Overloaded; });
  EXPECT_EQ(MakeEditor(store).Apply(request).error, Errc::Overloaded);
}

// Guards against overwriting a document that can't be parsed.
TEST(ConfigEditor, KeepsCorruptDocument)
{
  ManualClock clock;
  FakeStore store(clock);
  ASSERT_TRUE(store.CompareAndSwap(kConfigKey, "{\"format\":2}", 0, 0, {}));
  EditRequest request = MakeRequest("e", 0, { PutTeam{ MakeTeam("a") } });
  EXPECT_EQ(MakeEditor(store).Apply(request).error, Errc::Corrupt);
  EXPECT_EQ(store.Get(kConfigKey, {})->value, "{\"format\":2}");
}

// Guards against edits that are lost or applied twice, versions that decrease, changes without an
// audit entry or the reverse, and gaps in the audit log, when editors run within each other's store
// calls, responses, requests and connections are lost, and writes are delayed.
RC_GTEST_PROP(ConfigEditor, ConcurrentEditsAreNeitherLostNorRepeated, ())
{
  constexpr int kTeams = 3;
  auto choices = *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 100));
  std::size_t used = 0;
  auto choose = [&](int aBound) { return choices[used++ % choices.size()] % aBound; };

  ManualClock clock;
  DelayedWriteStore store(clock);
  ConfigVersion highestVersion = 0;
  std::set<std::string> accepted;
  std::set<std::string> refused;
  std::set<std::string> unknown;
  int number = 0;
  int depth = 0;
  std::vector<ConfigVersion> seen{ 0 };

  std::function<void()> edit = [&] {
    std::string id = "e" + std::to_string(number++);
    std::string team = "t" + std::to_string(choose(kTeams));
    auto base = seen[static_cast<std::size_t>(choose(static_cast<int>(seen.size())))];
    // The weight identifies the edit, so that the final rows can be compared with the audit log.
    std::vector<Edit> edits{ PutTeam{ MakeTeam(team, static_cast<std::uint32_t>(number)) } };
    EditOutcome outcome = MakeEditor(store).Apply(MakeRequest(id, base, edits));
    if (!outcome.error) {
      accepted.insert(id);
      seen.push_back(outcome.version);
    } else if (outcome.error == Errc::OutcomeUnknown) {
      unknown.insert(id);
    } else {
      refused.insert(id);
    }
  };
  store.SetFaultHook([&](const std::string& aOperation, const std::string&) {
    if (depth < 2 && choose(100) < 20) {
      ++depth;
      edit();
      --depth;
    }
    int faultChoice = choose(100);
    if (faultChoice < 8) {
      return StoreFault::Unreachable;
    }
    if (faultChoice < 20) {
      return StoreFault::ResponseLost;
    }
    if (faultChoice < 28) {
      return StoreFault::RequestLost;
    }
    return aOperation == "cas" && faultChoice < 32 ? StoreFault::Overloaded : StoreFault::None;
  });
  store.shouldDelayWrite = [&] { return choose(100) < 10; };

  auto checkVersion = [&] {
    Result<StoreEntry> entry = store.Get(kConfigKey, {});
    if (entry) {
      Findings findings;
      std::optional<ConfigDocument> document = ParseConfig(entry->value, "f", findings);
      RC_ASSERT(document.has_value());
      RC_ASSERT(document->version >= highestVersion);
      highestVersion = document->version;
      seen.push_back(highestVersion);
    }
  };
  for (int i = 0; i < 12; ++i) {
    edit();
    checkVersion();
    if (choose(2) == 0) {
      store.DeliverDelayed();
      checkVersion();
    }
  }
  store.shouldDelayWrite = nullptr;
  store.SetFaultHook({});
  store.DeliverDelayed();

  ConfigDocument document = MakeEditor(store).Read()->document;
  RC_ASSERT(VerifyAudit(document, ReadChunks(store, document.auditChunks)).Empty());
  std::map<std::string, int> timesApplied;
  ConfigVersion version = 0;
  std::map<std::string, std::string> rows;
  for (const AuditEntry& entry : document.audit) {
    RC_ASSERT(entry.version == ++version);
    ++timesApplied[entry.editId];
    for (const AuditChange& change : entry.changes) {
      RC_ASSERT(rows[change.row] == change.before);
      rows[change.row] = change.after;
    }
  }
  for (const auto& [id, times] : timesApplied) {
    RC_ASSERT(times == 1);
    RC_ASSERT(refused.count(id) == 0U);
  }
  for (const std::string& id : accepted) {
    RC_ASSERT(timesApplied.count(id) == 1U);
  }
  RC_ASSERT(rows.size() == document.teams.size());
  for (const auto& [name, team] : document.teams) {
    RC_ASSERT(rows[TeamRow(name)].find("\"weight\":" + std::to_string(team.weight) + ",") !=
              std::string::npos);
  }
}

// Guards against audit entries that are lost between the document and the chunks when editors run
// concurrently while the tail is moved, and responses or requests are lost.
TEST(ConfigEditor, ChunksAreCompleteAfterRacesAndLostResponses)
{
  ManualClock clock;
  FakeStore store(clock);
  int depth = 0;
  int number = 0;
  std::uint64_t state = 20261204;
  auto isOneIn = [&state](unsigned aCount) {
    state = state * 6364136223846793005U + 1442695040888963407U;
    return (state >> 33) % aCount == 0;
  };
  std::function<void()> edit = [&] {
    int id = number++;
    std::vector<Edit> edits{ PutTeam{ MakeTeam("t" + std::to_string(id % 7), 1 + id) } };
    auto outcome = MakeEditor(store).Apply(MakeRequest("e" + std::to_string(id), {}, edits));
    EXPECT_TRUE(!outcome.error || outcome.error == Errc::OutcomeUnknown) << outcome.error;
  };
  store.SetFaultHook([&](const std::string& aOperation, const std::string& aKey) {
    bool isChunk = aKey.rfind("audit/", 0) == 0;
    if (depth == 0 && (isChunk || isOneIn(5))) {
      ++depth;
      edit();
      --depth;
    }
    if (aOperation == "cas" && isOneIn(isChunk ? 2 : 7)) {
      return isOneIn(2) ? StoreFault::ResponseLost : StoreFault::RequestLost;
    }
    return StoreFault::None;
  });
  for (int i = 0; i < 500; ++i) {
    edit();
  }
  store.SetFaultHook({});
  ConfigDocument document = MakeEditor(store).Read()->document;
  EXPECT_GE(document.auditChunks, 2U);
  EXPECT_EQ(VerifyAudit(document, ReadChunks(store, document.auditChunks)).ToText(), "");
}

} // namespace
} // namespace daisydrift
