#include "daisydrift/config/EditCodec.h"

#include "daisydrift/config/ConfigCodec.h"
#include "daisydrift/settings.h"

#include <limits>

namespace daisydrift {

namespace {

JsonValue MakeObject(const std::string& aMember, const std::string& aName)
{
  JsonValue value = JsonValue::Object();
  value.Set(aMember, aName);
  return value;
}

/// Returns the name and the content of an operation.
struct Encoder
{
  std::pair<const char*, JsonValue> operator()(const PutTeam& aEdit) const
  {
    return { "put_team", EncodeTeam(aEdit.team) };
  }
  std::pair<const char*, JsonValue> operator()(const RemoveTeam& aEdit) const
  {
    return { "remove_team", MakeObject("name", aEdit.name) };
  }
  std::pair<const char*, JsonValue> operator()(const IssueKey& aEdit) const
  {
    return { "issue_key", EncodeKey(aEdit.key, KeyDigests::Included) };
  }
  std::pair<const char*, JsonValue> operator()(const RevokeKey& aEdit) const
  {
    return { "revoke_key", MakeObject("key", aEdit.key) };
  }
  std::pair<const char*, JsonValue> operator()(const PutFailureDomain& aEdit) const
  {
    JsonValue value = MakeObject("name", aEdit.name);
    value.Set("region", aEdit.region);
    return { "put_failure_domain", std::move(value) };
  }
  std::pair<const char*, JsonValue> operator()(const DrainFailureDomain& aEdit) const
  {
    return { "drain", MakeObject("name", aEdit.name) };
  }
  std::pair<const char*, JsonValue> operator()(const ReturnFailureDomain& aEdit) const
  {
    return { "return", MakeObject("name", aEdit.name) };
  }
  std::pair<const char*, JsonValue> operator()(const PutService& aEdit) const
  {
    return { "put_service", EncodeService(aEdit.service) };
  }
  std::pair<const char*, JsonValue> operator()(const RemoveService& aEdit) const
  {
    return { "remove_service", MakeObject("name", aEdit.name) };
  }
  std::pair<const char*, JsonValue> operator()(const PutPolicy& aEdit) const
  {
    return { "put_policy", EncodePolicy(aEdit.policy) };
  }
};

/// Reads the only member of an operation that has just the name of a row.
std::string ReadName(const JsonValue& aValue,
                     const char* aMember,
                     const std::string& aSource,
                     Findings& aFindings)
{
  ObjectReader reader(aValue, aSource, "the edit", aFindings);
  std::string name = reader.Text(aMember);
  reader.ReportUnknownKeys();
  return name;
}

std::optional<Edit> ParseOperation(const JsonMember& aMember,
                                   const std::string& aSource,
                                   Findings& aFindings)
{
  const JsonValue& value = aMember.value;
  auto name = [&] { return ReadName(value, "name", aSource, aFindings); };
  if (aMember.name == "put_team") {
    return PutTeam{ ParseTeam(value, aSource, aFindings) };
  }
  if (aMember.name == "remove_team") {
    return RemoveTeam{ name() };
  }
  if (aMember.name == "issue_key") {
    return IssueKey{ ParseKey(value, aSource, aFindings) };
  }
  if (aMember.name == "revoke_key") {
    return RevokeKey{ ReadName(value, "key", aSource, aFindings) };
  }
  if (aMember.name == "put_failure_domain") {
    FailureDomainEntry domain = ParseFailureDomain(value, aSource, aFindings);
    return PutFailureDomain{ domain.name, domain.region };
  }
  if (aMember.name == "drain") {
    return DrainFailureDomain{ name() };
  }
  if (aMember.name == "return") {
    return ReturnFailureDomain{ name() };
  }
  if (aMember.name == "put_service") {
    return PutService{ ParseService(value, aSource, aFindings) };
  }
  if (aMember.name == "remove_service") {
    return RemoveService{ name() };
  }
  if (aMember.name == "put_policy") {
    return PutPolicy{ ParsePolicy(value, aSource, aFindings) };
  }
  aFindings.Add({ aSource, aMember.line, aMember.column },
                "unknown_edit",
                "\"" + aMember.name + "\" is not an edit");
  return std::nullopt;
}

void ParseEdit(const JsonValue& aValue,
               const std::string& aSource,
               Findings& aFindings,
               std::vector<Edit>& aOut)
{
  if (aValue.kind != JsonKind::Object || aValue.members.size() != 1) {
    aFindings.Add({ aSource, aValue.line, aValue.column },
                  "wrong_type",
                  "an edit must be an object with one member, the operation");
    return;
  }
  if (std::optional<Edit> edit = ParseOperation(aValue.members.front(), aSource, aFindings)) {
    aOut.push_back(std::move(*edit));
  }
}

} // namespace

JsonValue EncodeEdit(const Edit& aEdit)
{
  auto [name, content] = std::visit(Encoder(), aEdit);
  JsonValue value = JsonValue::Object();
  value.Set(name, std::move(content));
  return value;
}

std::string EncodeEdits(const EditRequest& aRequest)
{
  JsonValue edits = JsonValue::Array();
  for (const Edit& edit : aRequest.edits) {
    edits.items.push_back(EncodeEdit(edit));
  }
  JsonValue value = JsonValue::Object();
  if (aRequest.baseVersion) {
    value.Set("base_version", static_cast<std::int64_t>(*aRequest.baseVersion));
  }
  value.Set("actor", aRequest.actor).Set("edit_id", aRequest.editId).Set("edits", std::move(edits));
  return ToJsonText(value);
}

std::optional<EditRequest> ParseEdits(const std::string& aText,
                                      const std::string& aSource,
                                      Findings& aFindings)
{
  Findings own;
  EditRequest request;
  if (std::optional<JsonValue> root = ReadJson(aText, aSource, own)) {
    ObjectReader reader(*root, aSource, "the request", own);
    if (reader.Take("base_version", JsonKind::Integer, false) != nullptr) {
      request.baseVersion = static_cast<ConfigVersion>(
        reader.Integer("base_version", 0, std::numeric_limits<std::int64_t>::max()));
    }
    request.actor = reader.Text("actor");
    request.editId = reader.Text("edit_id");
    if (const JsonValue* edits = reader.Take("edits", JsonKind::Array, true)) {
      for (const JsonValue& item : edits->items) {
        ParseEdit(item, aSource, own, request.edits);
      }
    }
    reader.ReportUnknownKeys();
  }
  aFindings.Append(own);
  if (!own.Empty()) {
    return std::nullopt;
  }
  return request;
}

} // namespace daisydrift
