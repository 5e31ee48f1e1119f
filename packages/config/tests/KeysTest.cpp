#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "ConfigFixture.h"

#include <set>

namespace daisydrift {
namespace {

// Guards against a wrong digest function.
TEST(Digest, MatchesKnownVectors)
{
  EXPECT_EQ(Sha256Hex(""), "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
  EXPECT_EQ(Sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  EXPECT_TRUE(EqualInConstantTime("abc", "abc"));
  EXPECT_FALSE(EqualInConstantTime("abc", "abd"));
  EXPECT_FALSE(EqualInConstantTime("abc", "ab"));
}

// Guards against keys that are short, repeated, or not of the form that people are told.
TEST(Keys, GeneratedKeysHaveTheirForm)
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

// Guards against key material in the document or in its form for people.
TEST(Keys, DocumentHoldsNoKeyMaterial)
{
  Result<GeneratedKey> key = GenerateKey();
  ASSERT_TRUE(key.HasValue());
  key->entry.team = "a";
  ConfigDocument document = MakeDocument({ PutTeam{ MakeTeam("a") }, IssueKey{ key->entry } });
  EXPECT_EQ(EncodeConfig(document).find(key->text.substr(8)), std::string::npos);
  std::string people = EncodeConfig(document, KeyDigests::Omitted);
  EXPECT_EQ(people.find(key->entry.digest), std::string::npos);
  EXPECT_NE(people.find(key->entry.prefix), std::string::npos);
}

/// What happens to a key.
struct Life
{
  /// Before 900: never.
  int expiry = 0;
  bool isRevoked = false;
  bool hasTeam = true;
};

// Guards against a revoked or expired key, or one whose team is gone, that is accepted, and against
// an index that disagrees with the plain search.
RC_GTEST_PROP(Keys, EndedKeysNeverAuthenticate, ())
{
  auto lives = *rc::gen::container<std::vector<Life>>(
    rc::gen::build<Life>(rc::gen::set(&Life::expiry, rc::gen::inRange(850, 1100)),
                         rc::gen::set(&Life::isRevoked),
                         rc::gen::set(&Life::hasTeam)));
  int now = *rc::gen::inRange(900, 1100);
  ConfigDocument document;
  document.teams["here"] = MakeTeam("here");
  for (std::size_t i = 0; i < lives.size(); ++i) {
    KeyEntry key = MakeKey(std::to_string(i), lives[i].hasTeam ? "here" : "gone");
    if (lives[i].expiry >= 900) {
      key.expiry = At(lives[i].expiry);
    }
    if (lives[i].isRevoked) {
      key.revokedAt = At(1);
    }
    document.keys[key.id] = key;
  }
  KeyIndex index(document);
  for (std::size_t i = 0; i < lives.size(); ++i) {
    std::string text = "key " + std::to_string(i);
    Authentication indexed = index.Authenticate(text, At(now));
    Authentication plain = Authenticate(document, text, At(now));
    bool isExpired = lives[i].expiry >= 900 && now >= lives[i].expiry;
    bool isAccepted = !isExpired && !lives[i].isRevoked && lives[i].hasTeam;
    RC_ASSERT((indexed.refusal == KeyRefusal::None) == isAccepted);
    RC_ASSERT(indexed.refusal == plain.refusal);
    RC_ASSERT(indexed.team == (isAccepted ? "here" : ""));
    RC_ASSERT(indexed.keyId == plain.keyId);
  }
  RC_ASSERT(index.Authenticate("no key", At(now)).refusal == KeyRefusal::Unknown);
  RC_ASSERT(index.Authenticate("", At(now)).refusal == KeyRefusal::Unknown);
}

// Guards against a digest that authenticates in place of its key.
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
