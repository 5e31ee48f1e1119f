#include "daisydrift/checker/HistoryEvent.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <set>

namespace daisydrift {

namespace {

using Json = nlohmann::json;

enum class ValueType
{
  Text,
  Number,
  Flag,
  Attempt,
  Outcome,
  Verdict
};

struct KeyRule
{
  const char* key;
  ValueType type;
  bool isRequired;
};

using KeyRules = std::vector<KeyRule>;

constexpr bool kRequired = true;
constexpr bool kOptional = false;
/// Maximum time in milliseconds; a larger one can't be represented as a Duration.
constexpr double kMaxTimeMs = 9e12;

KeyRules Concat(KeyRules aRules, const KeyRules& aMore)
{
  aRules.insert(aRules.end(), aMore.begin(), aMore.end());
  return aRules;
}

const std::map<std::string, KeyRules, std::less<>>& RulesByKind()
{
  static const KeyRules sResources = { { "milli_cores", ValueType::Number, kRequired },
                                       { "memory_mib", ValueType::Number, kRequired },
                                       { "accelerators", ValueType::Number, kRequired } };
  static const KeyRules sWorker = { { "worker", ValueType::Text, kRequired } };
  static const KeyRules sAttempt = { { "worker", ValueType::Text, kRequired },
                                     { "attempt", ValueType::Attempt, kRequired },
                                     { "region", ValueType::Text, kOptional } };
  static const KeyRules sUpstream = { { "upstream", ValueType::Text, kRequired } };
  static const KeyRules sRequest = { { "request", ValueType::Text, kRequired } };
  static const KeyRules sInstance = { { "instance", ValueType::Text, kRequired } };
  static const KeyRules sDomain = { { "domain", ValueType::Text, kRequired } };
  static const KeyRules sConnection =
    Concat(sUpstream, { { "connection", ValueType::Text, kRequired } });
  static const KeyRules sCredentials = { { "team", ValueType::Text, kOptional },
                                         { "key", ValueType::Text, kOptional },
                                         { "queue", ValueType::Text, kOptional } };
  static const KeyRules sVersion = { { "version", ValueType::Number, kRequired },
                                     { "digest", ValueType::Text, kOptional } };
  static const std::map<std::string, KeyRules, std::less<>> sRules = {
    { "worker",
      Concat(Concat(sWorker, { { "failure_domain", ValueType::Text, kRequired } }), sResources) },
    { "worker_gone", sWorker },
    { "task_start",
      Concat(Concat(sAttempt, sResources),
             { { "team", ValueType::Text, kRequired },
               { "repeatable", ValueType::Flag, kOptional },
               { "submission", ValueType::Text, kOptional } }) },
    { "task_resized", Concat(sAttempt, sResources) },
    { "task_end", sAttempt },
    { "upstream",
      Concat(sUpstream,
             { { "slots", ValueType::Number, kRequired },
               { "connections", ValueType::Number, kRequired } }) },
    { "upstream_start", Concat(sUpstream, sRequest) },
    { "upstream_end",
      Concat(Concat(sUpstream, sRequest), { { "answer", ValueType::Text, kOptional } }) },
    { "connection_open", sConnection },
    { "connection_close", sConnection },
    { "submission",
      Concat(sCredentials,
             { { "submission", ValueType::Text, kRequired },
               { "verdict", ValueType::Verdict, kRequired },
               { "outcome", ValueType::Outcome, kOptional } }) },
    { "request_sent",
      Concat(Concat(sRequest, sCredentials),
             { { "repeatable", ValueType::Flag, kRequired },
               { "instance", ValueType::Text, kOptional } }) },
    { "request_answered",
      Concat(sRequest,
             { { "status", ValueType::Number, kRequired },
               { "outcome", ValueType::Outcome, kRequired },
               { "complete", ValueType::Flag, kRequired },
               { "answer", ValueType::Text, kOptional } }) },
    { "request_broken", Concat(sRequest, { { "instance", ValueType::Text, kOptional } }) },
    { "key_issued",
      { { "key", ValueType::Text, kRequired }, { "team", ValueType::Text, kRequired } } },
    { "key_revoked", { { "key", ValueType::Text, kRequired } } },
    { "queue",
      { { "queue", ValueType::Text, kRequired }, { "open", ValueType::Flag, kRequired } } },
    { "ceiling",
      Concat(
        sResources,
        { { "team", ValueType::Text, kRequired }, { "tasks", ValueType::Number, kRequired } }) },
    { "domain_drained", sDomain },
    { "domain_returned", sDomain },
    { "upstream_leaving", sUpstream },
    { "upstream_returned", sUpstream },
    { "edit_accepted", sVersion },
    { "instance_started", sInstance },
    { "instance_stop_planned", sInstance },
    { "instance_stopped", sInstance },
    { "instance_crashed", sInstance },
    { "instance_suspended", sInstance },
    { "instance_resumed", sInstance },
    { "config_in_force", Concat(sInstance, sVersion) },
    { "end", {} },
  };
  return sRules;
}

bool ParseNumber(const std::string& aText, std::int64_t& aOut)
{
  auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), aOut);
  return error == std::errc() && end == aText.data() + aText.size() && aOut >= 0;
}

bool ParseTime(const std::string& aText, Duration& aOut)
{
  double value = 0;
  auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (error != std::errc() || end != aText.data() + aText.size() || !(value >= 0) ||
      value > kMaxTimeMs) {
    return false;
  }
  aOut = Duration(std::llround(value * 1000));
  return true;
}

/// Description of the expected format if aValue is malformed; null when it is well-formed.
const char* ExpectedFormat(ValueType aType, const std::string& aValue)
{
  std::int64_t number = 0;
  AttemptId attempt;
  switch (aType) {
    case ValueType::Text:
      return aValue.empty() ? "a non-empty value" : nullptr;
    case ValueType::Number:
      return ParseNumber(aValue, number) ? nullptr : "a non-negative integer";
    case ValueType::Flag:
      return aValue == "true" || aValue == "false" ? nullptr : "true or false";
    case ValueType::Attempt:
      return ParseAttemptId(aValue, attempt) ? nullptr : "JOB.INDEX.ATTEMPT";
    case ValueType::Outcome:
      return aValue == "ran" || aValue == "not_run" || aValue == "unknown"
               ? nullptr
               : "ran, not_run or unknown";
    case ValueType::Verdict:
      return aValue == "accepted" || aValue == "refused" || aValue == "unknown"
               ? nullptr
               : "accepted, refused or unknown";
  }
  return "a known type";
}

/// Parser of one line.
class LineParser
{
public:
  LineParser(std::string_view aText, unsigned aLine, std::string aSource, Findings& aFindings)
    : text(aText)
    , source(std::move(aSource))
    , findings(aFindings)
  {
    this->event.line = aLine;
  }

  /// Returns false when the line is malformed.
  bool Parse(HistoryEvent& aOut)
  {
    bool isRead = this->text.front() == '{' ? this->ReadJson() : this->ReadPairs();
    if (!isRead || !this->CheckDuplicates() || !this->ReadKindAndTime() || !this->CheckKeys()) {
      return false;
    }
    aOut = std::move(this->event);
    return true;
  }

private:
  bool Fail(std::size_t aOffset, const char* aCode, const std::string& aMessage)
  {
    this->findings.Add(
      { this->source, this->event.line, static_cast<unsigned>(aOffset + 1) }, aCode, aMessage);
    return false;
  }

  bool ReadPairs()
  {
    std::size_t position = 0;
    while (true) {
      position = this->text.find_first_not_of(" \t", position);
      if (position == std::string_view::npos) {
        return true;
      }
      std::size_t equals = this->text.find_first_of("= \t\"", position);
      if (equals == std::string_view::npos || this->text[equals] != '=' || equals == position) {
        return this->Fail(position, "not_key_value", "expected key=value");
      }
      HistoryField field{ std::string(this->text.substr(position, equals - position)),
                          "",
                          static_cast<unsigned>(position + 1) };
      position = equals + 1;
      bool isQuoted = position < this->text.size() && this->text[position] == '"';
      if (isQuoted ? !this->ReadQuoted(position, field.value)
                   : !this->ReadUnquoted(position, field.value)) {
        return false;
      }
      this->event.fields.push_back(std::move(field));
    }
  }

  bool ReadUnquoted(std::size_t& aPosition, std::string& aValue)
  {
    std::size_t end = std::min(this->text.find_first_of(" \t", aPosition), this->text.size());
    aValue = std::string(this->text.substr(aPosition, end - aPosition));
    std::size_t quote = aValue.find('"');
    if (quote != std::string::npos) {
      return this->Fail(
        aPosition + quote, "stray_quote", "a quote is only allowed at the start of a value");
    }
    aPosition = end;
    return true;
  }

  bool ReadQuoted(std::size_t& aPosition, std::string& aValue)
  {
    std::size_t start = aPosition++;
    for (; aPosition < this->text.size() && this->text[aPosition] != '"'; ++aPosition) {
      if (this->text[aPosition] == '\\' && aPosition + 1 < this->text.size()) {
        ++aPosition;
      }
      aValue += this->text[aPosition];
    }
    if (aPosition >= this->text.size()) {
      return this->Fail(start, "unterminated_quote", "the quoted value has no closing quote");
    }
    ++aPosition;
    if (aPosition < this->text.size() && this->text[aPosition] != ' ' &&
        this->text[aPosition] != '\t') {
      return this->Fail(aPosition, "not_key_value", "expected a space after the quoted value");
    }
    return true;
  }

  bool ReadJson()
  {
    Json json;
    std::string duplicateKey;
    std::set<std::string> seenKeys;
    // The parsed object keeps only the last value of a duplicate key, so detect duplicates here.
    auto onEvent = [&](int aDepth, Json::parse_event_t aEvent, Json& aValue) {
      if (aEvent == Json::parse_event_t::key && aDepth == 1 &&
          !seenKeys.insert(aValue.get<std::string>()).second) {
        duplicateKey = aValue.get<std::string>();
      }
      return true;
    };
    try {
      json = Json::parse(this->text, onEvent);
    } catch (const Json::parse_error& error) {
      std::size_t offset = error.byte > 0 ? error.byte - 1 : 0;
      return this->Fail(std::min(offset, this->text.size()), "bad_json", "malformed JSON object");
    }
    if (!duplicateKey.empty()) {
      std::size_t offset = this->text.rfind("\"" + duplicateKey + "\"");
      return this->Fail(offset == std::string_view::npos ? 0 : offset,
                        "duplicate_key",
                        duplicateKey + " is given twice");
    }
    for (const auto& [key, value] : json.items()) {
      std::size_t offset = this->text.find("\"" + key + "\"");
      offset = offset == std::string_view::npos ? 0 : offset;
      if (value.is_structured() || value.is_null()) {
        return this->Fail(offset, "bad_value", key + " must be a string, a number or a Boolean");
      }
      this->event.fields.push_back({ key,
                                     value.is_string() ? value.get<std::string>() : value.dump(),
                                     static_cast<unsigned>(offset + 1) });
    }
    return true;
  }

  bool CheckDuplicates()
  {
    auto& fields = this->event.fields;
    for (std::size_t i = 0; i < fields.size(); ++i) {
      for (std::size_t k = 0; k < i; ++k) {
        if (fields[i].key == fields[k].key) {
          return this->Fail(
            fields[i].column - 1, "duplicate_key", fields[i].key + " is given twice");
        }
      }
    }
    return true;
  }

  bool ReadKindAndTime()
  {
    const std::string* kind = this->event.Find("event");
    if (!kind) {
      return this->Fail(0, "missing_key", "event is missing");
    }
    this->event.kind = *kind;
    const std::string* time = this->event.Find("at_ms");
    if (!time) {
      return this->Fail(0, "missing_key", "at_ms is missing");
    }
    return ParseTime(*time, this->event.at) ||
           this->FailAtKey(
             "at_ms", "bad_value", "at_ms must be a non-negative number of milliseconds");
  }

  bool FailAtKey(std::string_view aKey, const char* aCode, const std::string& aMessage)
  {
    for (const HistoryField& field : this->event.fields) {
      if (field.key == aKey) {
        return this->Fail(field.column - 1, aCode, aMessage);
      }
    }
    return this->Fail(0, aCode, aMessage);
  }

  bool CheckKeys()
  {
    auto rules = RulesByKind().find(this->event.kind);
    if (rules == RulesByKind().end()) {
      return this->FailAtKey("event", "unknown_event", "unknown event " + this->event.kind);
    }
    bool isValid = true;
    for (const KeyRule& rule : rules->second) {
      const std::string* value = this->event.Find(rule.key);
      if (!value) {
        isValid = rule.isRequired
                    ? this->Fail(0, "missing_key", std::string(rule.key) + " is missing")
                    : isValid;
        continue;
      }
      const char* expectedFormat = ExpectedFormat(rule.type, *value);
      if (expectedFormat) {
        isValid = this->FailAtKey(
          rule.key, "bad_value", std::string(rule.key) + " must be " + expectedFormat);
      }
    }
    for (const HistoryField& field : this->event.fields) {
      bool isKnown = field.key == "event" || field.key == "at_ms" || field.key == "note" ||
                     std::any_of(rules->second.begin(),
                                 rules->second.end(),
                                 [&](const KeyRule& aRule) { return field.key == aRule.key; });
      if (!isKnown) {
        isValid = this->Fail(field.column - 1,
                             "unknown_key",
                             field.key + " is not a key of event " + this->event.kind);
      }
    }
    return isValid;
  }

  std::string_view text;
  std::string source;
  Findings& findings;
  HistoryEvent event;
};

} // namespace

const std::string* HistoryEvent::Find(std::string_view aKey) const
{
  for (const HistoryField& field : this->fields) {
    if (field.key == aKey) {
      return &field.value;
    }
  }
  return nullptr;
}

const std::string& HistoryEvent::Text(std::string_view aKey) const
{
  static const std::string sEmpty;
  const std::string* value = this->Find(aKey);
  return value ? *value : sEmpty;
}

std::int64_t HistoryEvent::Number(std::string_view aKey) const
{
  std::int64_t number = 0;
  const std::string* value = this->Find(aKey);
  return value && ParseNumber(*value, number) ? number : 0;
}

bool HistoryEvent::Flag(std::string_view aKey) const
{
  return this->Text(aKey) == "true";
}

Resources HistoryEvent::ResourceAmounts() const
{
  return { this->Number("milli_cores"), this->Number("memory_mib"), this->Number("accelerators") };
}

std::vector<HistoryEvent> ParseHistory(std::string_view aText,
                                       const std::string& aSource,
                                       Findings& aFindings)
{
  std::vector<HistoryEvent> events;
  unsigned line = 0;
  while (!aText.empty()) {
    ++line;
    std::size_t end = std::min(aText.find('\n'), aText.size());
    std::string_view text = aText.substr(0, end);
    aText.remove_prefix(std::min(end + 1, aText.size()));
    if (!text.empty() && text.back() == '\r') {
      text.remove_suffix(1);
    }
    if (text.empty() || text.front() == '#') {
      continue;
    }
    HistoryEvent event;
    if (LineParser(text, line, aSource, aFindings).Parse(event)) {
      events.push_back(std::move(event));
    }
  }
  std::stable_sort(
    events.begin(), events.end(), [](const HistoryEvent& aLeft, const HistoryEvent& aRight) {
      return aLeft.at < aRight.at;
    });
  return events;
}

} // namespace daisydrift
