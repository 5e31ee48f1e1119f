#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "ConfigFixture.h"

#include <set>

namespace daisydrift {
namespace {

// Guards against a wrong digest algorithm.
TEST(Digest, MatchesKnownVectors)
{
  EXPECT_EQ(Sha256Hex(""), "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
  EXPECT_EQ(Sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  EXPECT_TRUE(EqualInConstantTime("abc", "abc"));
  EXPECT_FALSE(EqualInConstantTime("abc", "abd"));
  EXPECT_FALSE(EqualInConstantTime("abc", "ab"));
}

// Guards against keys that are too short, repeated, or not in the documented format.
TEST(Keys, GeneratedKeysHaveTheDocumentedFormat)
{
  std::set<std::string> texts;
  for (int i = 0; i < 200; ++i) {
    Result<GeneratedKey> key = GenerateKey();
    ASSERT_TRUE(key.HasValue());
    EXPECT_EQ(key->text.size(), 46U);
    EXPECT_EQ(key->text.substr(0, 3), "dd_");
    EXPECT_EQ(key->entry.prefix, key->text.substr(0, 8));
    EXPECT_EQ(key->entry.digest, Sha256Hex(key->text));
    texts.insert(key->text);
  }
  EXPECT_EQ(texts.size(), 200U);
}

// Guards against key material in the document, and digests in its text for display.
TEST(Keys, DocumentHoldsNoKeyMaterial)
{
  Result<GeneratedKey> key = GenerateKey();
  ASSERT_TRUE(key.HasValue());
  key->entry.team = "a";
  ConfigDocument document = MakeDocument({ PutTeam{ MakeTeam("a") }, IssueKey{ key->entry } });
  EXPECT_EQ(EncodeConfig(document).find(key->text.substr(8)), std::string::npos);
  std::string displayText = EncodeConfig(document, KeyDigests::Omitted);
  EXPECT_EQ(displayText.find(key->entry.digest), std::string::npos);
  EXPECT_NE(displayText.find(key->entry.prefix), std::string::npos);
}

/// State of a key in the test below.
struct KeyCase
{
  /// Expiry in seconds; a value below 900 means that the key does not expire.
  int expiry = 0;
  bool isRevoked = false;
  bool hasTeam = true;
};

// Guards against a revoked or expired key, or a key of a removed team, that is accepted, and
// against differences between the index and the linear search.
RC_GTEST_PROP(Keys, InactiveKeysNeverAuthenticate, ())
{
  auto keyCases = *rc::gen::container<std::vector<KeyCase>>(
    rc::gen::build<KeyCase>(rc::gen::set(&KeyCase::expiry, rc::gen::inRange(850, 1100)),
                            rc::gen::set(&KeyCase::isRevoked),
                            rc::gen::set(&KeyCase::hasTeam)));
  int now = *rc::gen::inRange(900, 1100);
  ConfigDocument document;
  document.teams["here"] = MakeTeam("here");
  for (std::size_t i = 0; i < keyCases.size(); ++i) {
    KeyEntry key = MakeKey(std::to_string(i), keyCases[i].hasTeam ? "here" : "gone");
    if (keyCases[i].expiry >= 900) {
      key.expiry = At(keyCases[i].expiry);
    }
    if (keyCases[i].isRevoked) {
      key.revokedAt = At(1);
    }
    document.keys[key.id] = key;
  }
  KeyIndex index(document);
  for (std::size_t i = 0; i < keyCases.size(); ++i) {
    std::string text = "key " + std::to_string(i);
    Authentication indexed = index.Authenticate(text, At(now));
    Authentication linear = Authenticate(document, text, At(now));
    bool isExpired = keyCases[i].expiry >= 900 && now >= keyCases[i].expiry;
    bool isAccepted = !isExpired && !keyCases[i].isRevoked && keyCases[i].hasTeam;
    RC_ASSERT((indexed.refusal == KeyRefusal::None) == isAccepted);
    RC_ASSERT(indexed.refusal == linear.refusal);
    RC_ASSERT(indexed.team == (isAccepted ? "here" : ""));
    RC_ASSERT(indexed.keyId == linear.keyId);
  }
  RC_ASSERT(index.Authenticate("no key", At(now)).refusal == KeyRefusal::Unknown);
  RC_ASSERT(index.Authenticate("", At(now)).refusal == KeyRefusal::Unknown);
}

// Guards against a digest that is accepted as a key.
TEST(Keys, DigestIsNoKey)
{
  ConfigDocument document =
    MakeDocument({ PutTeam{ MakeTeam("a") }, IssueKey{ MakeKey("1", "a") } });
  EXPECT_EQ(KeyIndex(document).Authenticate(KeyDigest("key 1"), At(0)).refusal,
            KeyRefusal::Unknown);
  EXPECT_EQ(KeyIndex(document).Authenticate("key 1", At(0)).team, "a");
}

} // namespace
} // namespace daisydrift
