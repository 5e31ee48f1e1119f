// Cost of authentication, of an edit and of parsing with the teams and keys of the two-year load:
// 61 teams and 1,000 keys.

#include "daisydrift/config.h"

#include <chrono>
#include <cstdio>
#include <functional>

namespace {

using namespace daisydrift;

constexpr int kTeams = 61;
constexpr int kKeys = 1000;

std::string KeyText(int aKey)
{
  return "dd_" + std::to_string(1'000'000 + aKey) + std::string(36, 'x');
}

ConfigDocument MakeDocument()
{
  ConfigDocument document;
  for (int i = 0; i < kTeams; ++i) {
    std::string name = "team-" + std::to_string(i);
    document.teams[name] = { name, 10, { 16'000, 65'536, 2 }, 100, false };
  }
  for (int i = 0; i < kKeys; ++i) {
    KeyEntry key;
    key.id = Sha256Hex(std::to_string(i)).substr(0, 32);
    key.team = "team-" + std::to_string(i % kTeams);
    key.prefix = "dd_" + std::to_string(10'000 + i);
    key.digest = KeyDigest(KeyText(i));
    document.keys[key.id] = key;
  }
  return document;
}

double MicrosecondsEach(int aCount, const std::function<void(int)>& aCall)
{
  auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < aCount; ++i) {
    aCall(i);
  }
  std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
  return elapsed.count() / aCount;
}

} // namespace

int main()
{
  ConfigDocument document = MakeDocument();
  const WallTime kNow{ std::chrono::seconds(1'000'000) };
  KeyIndex index(document);
  int accepted = 0;
  double authenticate = MicrosecondsEach(200'000, [&](int aCall) {
    accepted += index.Authenticate(KeyText(aCall % kKeys), kNow).team.empty() ? 0 : 1;
  });
  double linear = MicrosecondsEach(2'000, [&](int aCall) {
    accepted += Authenticate(document, KeyText(aCall % kKeys), kNow).team.empty() ? 0 : 1;
  });
  double edit = MicrosecondsEach(500, [&](int aCall) {
    TeamEntry team = document.teams.at("team-" + std::to_string(aCall % kTeams));
    team.weight = 11 + static_cast<std::uint32_t>(aCall);
    EditRequest request{ {}, "bench", "edit-" + std::to_string(aCall), { PutTeam{ team } } };
    ApplyEdits(document, request, kNow);
  });
  std::string text = EncodeConfig(document);
  double parse = MicrosecondsEach(50, [&](int) {
    Findings findings;
    ParseConfig(text, "bench", findings);
  });
  std::printf("teams=%d keys=%d accepted=%d document_bytes=%zu audit_entries=%zu\n",
              kTeams,
              kKeys,
              accepted,
              text.size(),
              document.audit.size());
  std::printf(
    "authenticate_us=%.2f authenticate_without_index_us=%.1f edit_us=%.0f parse_us=%.0f\n",
    authenticate,
    linear,
    edit,
    parse);
  return accepted == 202'000 ? 0 : 1;
}
