#pragma once
// Helpers shared by the tests of this package.

#include "daisydrift/config.h"

#include <string>

namespace daisydrift {

inline WallTime At(std::int64_t aSeconds)
{
  return WallTime(std::chrono::seconds(aSeconds));
}

inline TeamEntry MakeTeam(const std::string& aName, std::uint32_t aWeight = 1)
{
  return { aName, aWeight, { 16'000, 65'536, 2 }, 100, false };
}

/// A key entry with a unique digest.
inline KeyEntry MakeKey(const std::string& aId, const std::string& aTeam)
{
  return { aId, aTeam, ("dd_" + aId + "00000").substr(0, 8), KeyDigest("key " + aId), {}, {} };
}

inline EditRequest MakeRequest(const std::string& aId,
                               std::optional<ConfigVersion> aBase,
                               std::vector<Edit> aEdits)
{
  return { aBase, "ada", aId, std::move(aEdits) };
}

/// A document after aEdits, which must be accepted.
inline ConfigDocument MakeDocument(std::vector<Edit> aEdits)
{
  ConfigDocument document;
  EditOutcome outcome = ApplyEdits(document, MakeRequest("first", 0, std::move(aEdits)), At(1000));
  EXPECT_FALSE(outcome.error) << outcome.findings.ToText();
  return document;
}

} // namespace daisydrift
