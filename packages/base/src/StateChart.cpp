#include "daisydrift/base/StateChart.h"

#include <set>
#include <sstream>

namespace daisydrift {

namespace {

std::vector<std::string> SplitWords(std::string_view aLine)
{
  std::istringstream in{ std::string(aLine) };
  std::vector<std::string> words;
  std::string word;
  while (in >> word) {
    words.push_back(word);
  }
  return words;
}

unsigned FirstColumn(std::string_view aLine)
{
  auto start = aLine.find_first_not_of(" \t\r");
  return start == std::string_view::npos ? 1 : static_cast<unsigned>(start) + 1;
}

} // namespace

std::optional<StateChart> StateChart::Parse(std::string_view aText,
                                            const std::string& aSource,
                                            Findings& aFindings)
{
  StateChart chart;
  Findings findings;
  unsigned lineNumber = 0;
  while (!aText.empty()) {
    auto end = aText.find('\n');
    std::string_view line = aText.substr(0, end);
    aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
    ++lineNumber;
    chart.ParseLine(line, { aSource, lineNumber, FirstColumn(line) }, findings);
  }
  if (chart.initial.empty()) {
    findings.Add({ aSource, 1, 1 }, "no_initial_state", "expected a line 'initial STATE'");
  } else {
    chart.CheckReachability(aSource, findings);
  }
  aFindings.Append(findings);
  if (!findings.Empty()) {
    return std::nullopt;
  }
  return chart;
}

void StateChart::ParseLine(std::string_view aLine,
                           const SourceLocation& aPlace,
                           Findings& aFindings)
{
  std::vector<std::string> words = SplitWords(aLine);
  if (words.empty() || words[0][0] == '#') {
    return;
  }
  if (words[0] == "initial" && words.size() == 2) {
    if (!this->initial.empty()) {
      aFindings.Add(
        aPlace, "repeated_initial_state", "the initial state is already '" + this->initial + "'");
      return;
    }
    this->initial = words[1];
    this->finalByState.try_emplace(words[1], false);
    return;
  }
  if (words[0] == "final" && words.size() >= 2) {
    for (std::size_t i = 1; i < words.size(); ++i) {
      this->finalByState[words[i]] = true;
    }
    return;
  }
  if (words.size() != 4 || words[2] != "->") {
    aFindings.Add(aPlace,
                  "malformed_line",
                  "expected 'STATE EVENT -> NEXT', 'initial STATE' or 'final STATE...'");
    return;
  }
  if (!this->transitions[words[0]].try_emplace(words[1], words[3]).second) {
    aFindings.Add(aPlace,
                  "duplicate_transition",
                  "'" + words[0] + "' already has the event '" + words[1] + "'");
  }
  this->finalByState.try_emplace(words[0], false);
  this->finalByState.try_emplace(words[3], false);
}

void StateChart::CheckReachability(const std::string& aSource, Findings& aFindings) const
{
  std::set<std::string> reachable{ this->initial };
  std::vector<std::string> unvisited{ this->initial };
  while (!unvisited.empty()) {
    std::string state = unvisited.back();
    unvisited.pop_back();
    auto found = this->transitions.find(state);
    if (found == this->transitions.end()) {
      continue;
    }
    for (const auto& [event, next] : found->second) {
      if (reachable.insert(next).second) {
        unvisited.push_back(next);
      }
    }
  }
  for (const auto& [state, isFinal] : this->finalByState) {
    if (!reachable.contains(state)) {
      aFindings.Add(
        { aSource, 0, 0 }, "unreachable_state", "no transition leads to '" + state + "'");
    }
    if (!isFinal && !this->transitions.contains(state)) {
      aFindings.Add(
        { aSource, 0, 0 }, "dead_end", "'" + state + "' is not final and no event leaves it");
    }
  }
}

std::optional<std::string> StateChart::Next(const std::string& aState,
                                            const std::string& aEvent) const
{
  auto state = this->transitions.find(aState);
  if (state == this->transitions.end()) {
    return std::nullopt;
  }
  auto event = state->second.find(aEvent);
  if (event == state->second.end()) {
    return std::nullopt;
  }
  return event->second;
}

bool StateChart::IsFinal(const std::string& aState) const
{
  auto found = this->finalByState.find(aState);
  return found != this->finalByState.end() && found->second;
}

std::vector<std::string> StateChart::States() const
{
  std::vector<std::string> states;
  for (const auto& [state, isFinal] : this->finalByState) {
    states.push_back(state);
  }
  return states;
}

std::vector<std::string> StateChart::Events() const
{
  std::set<std::string> events;
  for (const auto& [state, byEvent] : this->transitions) {
    for (const auto& [event, next] : byEvent) {
      events.insert(event);
    }
  }
  return { events.begin(), events.end() };
}

} // namespace daisydrift
