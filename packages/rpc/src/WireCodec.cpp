#include "WireCodec.h"

namespace daisydrift {

namespace {

/// Longest list in a message. Far above the number of header fields of an HTTP request; keeps a
/// small message from being decoded into a very large one.
constexpr unsigned kMaxListItems = 1000;
/// Upper bound for the frame of a call, the fixed fields of any message, and padding.
constexpr std::size_t kMessageOverheadBytes = 1024;
/// Pointers, length words and padding of one list item.
constexpr std::size_t kListItemOverheadBytes = 64;

capnp::Data::Reader ToData(const std::string& aText)
{
  return { reinterpret_cast<const kj::byte*>(aText.data()), aText.size() };
}

std::string FromData(capnp::Data::Reader aData)
{
  return { reinterpret_cast<const char*>(aData.begin()), aData.size() };
}

capnp::Text::Reader ToText(const std::string& aText)
{
  return { aText.c_str(), aText.size() };
}

std::string FromText(capnp::Text::Reader aText)
{
  return { aText.begin(), aText.size() };
}

bool DecodeDuration(std::int64_t aMicroseconds, Duration& aOut)
{
  aOut = Duration(aMicroseconds);
  return aMicroseconds >= 0;
}

std::optional<std::uint32_t> DecodeSeat(std::int32_t aSeat)
{
  return aSeat < 0 ? std::nullopt : std::optional<std::uint32_t>(aSeat);
}

std::int32_t EncodeSeat(const std::optional<std::uint32_t>& aSeat)
{
  return aSeat ? static_cast<std::int32_t>(*aSeat) : -1;
}

void EncodeHeaders(const HeaderFields& aHeaders, capnp::List<wire::Header>::Builder aOut)
{
  unsigned index = 0;
  for (const auto& [name, value] : aHeaders) {
    auto out = aOut[index++];
    out.setName(ToText(name));
    out.setValue(ToData(value));
  }
}

bool DecodeHeaders(capnp::List<wire::Header>::Reader aIn, HeaderFields& aOut)
{
  if (aIn.size() > kMaxListItems) {
    return false;
  }
  for (auto header : aIn) {
    aOut.emplace_back(FromText(header.getName()), FromData(header.getValue()));
  }
  return true;
}

std::size_t EstimateHeaderBytes(const HeaderFields& aHeaders)
{
  std::size_t bytes = 0;
  for (const auto& [name, value] : aHeaders) {
    bytes += name.size() + value.size() + kListItemOverheadBytes;
  }
  return bytes;
}

} // namespace

void Encode(const Heartbeat& aValue, wire::Heartbeat::Builder aOut)
{
  aOut.setInstance(ToText(aValue.instance));
  aOut.setSeat(EncodeSeat(aValue.seat));
  aOut.setSeatEpoch(aValue.seatEpoch);
  aOut.setSeatHeldForUs(aValue.seatHeldFor.count());
  aOut.setRegion(ToText(aValue.region));
  aOut.setIsStoreReachable(aValue.isStoreReachable);
  aOut.setIsStopping(aValue.isStopping);
  aOut.setConfigVersion(aValue.configVersion);
  aOut.setHighestEpoch(aValue.highestEpoch);
  auto successors = aOut.initSuccessors(aValue.successors.size());
  for (unsigned i = 0; i < aValue.successors.size(); ++i) {
    successors[i].setScope(ToText(aValue.successors[i].scope));
    successors[i].setEpoch(aValue.successors[i].epoch);
  }
  auto freeSlots = aOut.initFreeSlots(aValue.freeSlots.size());
  for (unsigned i = 0; i < aValue.freeSlots.size(); ++i) {
    freeSlots[i].setService(ToText(aValue.freeSlots[i].service));
    freeSlots[i].setSlots(aValue.freeSlots[i].slots);
  }
  aOut.setHttpAddress(ToText(aValue.http.address));
  aOut.setHttpPort(aValue.http.port);
}

bool Decode(wire::Heartbeat::Reader aIn, Heartbeat& aOut)
{
  aOut.instance = FromText(aIn.getInstance());
  aOut.seat = DecodeSeat(aIn.getSeat());
  aOut.seatEpoch = aIn.getSeatEpoch();
  aOut.region = FromText(aIn.getRegion());
  aOut.isStoreReachable = aIn.getIsStoreReachable();
  aOut.isStopping = aIn.getIsStopping();
  aOut.configVersion = aIn.getConfigVersion();
  aOut.highestEpoch = aIn.getHighestEpoch();
  auto successors = aIn.getSuccessors();
  auto freeSlots = aIn.getFreeSlots();
  if (successors.size() > kMaxListItems || freeSlots.size() > kMaxListItems) {
    return false;
  }
  for (auto successor : successors) {
    aOut.successors.push_back({ FromText(successor.getScope()), successor.getEpoch() });
  }
  for (auto slots : freeSlots) {
    aOut.freeSlots.push_back({ FromText(slots.getService()), slots.getSlots() });
  }
  aOut.http = { FromText(aIn.getHttpAddress()), aIn.getHttpPort() };
  return DecodeDuration(aIn.getSeatHeldForUs(), aOut.seatHeldFor);
}

void Encode(const Call& aValue, wire::Call::Builder aOut)
{
  // CallKind and wire::CallKind have the same values in the same order.
  aOut.setKind(static_cast<wire::CallKind>(aValue.kind));
  aOut.setTeam(ToText(aValue.team));
  aOut.setIdempotencyKey(ToData(aValue.idempotencyKey));
  aOut.setBody(ToData(aValue.body));
  aOut.setPath(ToData(aValue.path));
  aOut.setDeadlineUs(aValue.timeout.count());
}

bool Decode(wire::Call::Reader aIn, Call& aOut)
{
  if (aIn.getKind() > wire::CallKind::EDIT) {
    return false;
  }
  aOut.kind = static_cast<CallKind>(aIn.getKind());
  aOut.team = FromText(aIn.getTeam());
  aOut.idempotencyKey = FromData(aIn.getIdempotencyKey());
  aOut.body = FromData(aIn.getBody());
  aOut.path = FromData(aIn.getPath());
  return DecodeDuration(aIn.getDeadlineUs(), aOut.timeout);
}

void Encode(const CallReply& aValue, wire::CallReply::Builder aOut)
{
  aOut.setStatus(aValue.status);
  aOut.setContentType(ToData(aValue.contentType));
  aOut.setBody(ToData(aValue.body));
  EncodeHeaders(aValue.headers, aOut.initHeaders(aValue.headers.size()));
}

bool Decode(wire::CallReply::Reader aIn, CallReply& aOut)
{
  aOut.status = aIn.getStatus();
  aOut.contentType = FromData(aIn.getContentType());
  aOut.body = FromData(aIn.getBody());
  return DecodeHeaders(aIn.getHeaders(), aOut.headers);
}

void Encode(const ForwardedRequest& aValue, wire::ForwardedRequest::Builder aOut)
{
  aOut.setService(ToText(aValue.service));
  aOut.setTeam(ToText(aValue.team));
  aOut.setWeight(aValue.weight);
  aOut.setMethod(ToData(aValue.method));
  aOut.setTarget(ToData(aValue.target));
  EncodeHeaders(aValue.headers, aOut.initHeaders(aValue.headers.size()));
  aOut.setBody(ToData(aValue.body));
  aOut.setIsRepeatable(aValue.isRepeatable);
  aOut.setDeadlineUs(aValue.timeout.count());
}

bool Decode(wire::ForwardedRequest::Reader aIn, ForwardedRequest& aOut)
{
  aOut.service = FromText(aIn.getService());
  aOut.team = FromText(aIn.getTeam());
  aOut.weight = aIn.getWeight();
  aOut.method = FromData(aIn.getMethod());
  aOut.target = FromData(aIn.getTarget());
  aOut.body = FromData(aIn.getBody());
  aOut.isRepeatable = aIn.getIsRepeatable();
  return DecodeHeaders(aIn.getHeaders(), aOut.headers) &&
         DecodeDuration(aIn.getDeadlineUs(), aOut.timeout);
}

void Encode(const ForwardedReply& aValue, wire::ForwardedReply::Builder aOut)
{
  aOut.setStatus(aValue.status);
  EncodeHeaders(aValue.headers, aOut.initHeaders(aValue.headers.size()));
  aOut.setBody(ToData(aValue.body));
  aOut.setOutcome(ToText(aValue.outcome));
  aOut.setCode(ToText(aValue.code));
}

bool Decode(wire::ForwardedReply::Reader aIn, ForwardedReply& aOut)
{
  aOut.status = aIn.getStatus();
  aOut.body = FromData(aIn.getBody());
  aOut.outcome = FromText(aIn.getOutcome());
  aOut.code = FromText(aIn.getCode());
  return DecodeHeaders(aIn.getHeaders(), aOut.headers);
}

void Encode(const ConfigReply& aValue, wire::ConfigReply::Builder aOut)
{
  aOut.setVersion(aValue.version);
  aOut.setBytes(ToData(aValue.bytes));
}

bool Decode(wire::ConfigReply::Reader aIn, ConfigReply& aOut)
{
  aOut.version = aIn.getVersion();
  aOut.bytes = FromData(aIn.getBytes());
  return true;
}

void Encode(const SuccessorNotice& aValue, wire::SuccessorNotice::Builder aOut)
{
  aOut.setScope(ToText(aValue.scope));
  aOut.setEpoch(aValue.epoch);
  aOut.setSeat(static_cast<std::int32_t>(aValue.seat));
  auto predecessors = aOut.initFormers(static_cast<unsigned>(aValue.predecessorEpochs.size()));
  for (unsigned i = 0; i < predecessors.size(); ++i) {
    predecessors.set(i, aValue.predecessorEpochs[i]);
  }
}

bool Decode(wire::SuccessorNotice::Reader aIn, SuccessorNotice& aOut)
{
  if (aIn.getFormers().size() > kMaxListItems) {
    return false;
  }
  aOut.predecessorEpochs.clear();
  for (std::uint64_t epoch : aIn.getFormers()) {
    aOut.predecessorEpochs.push_back(epoch);
  }
  aOut.scope = FromText(aIn.getScope());
  aOut.epoch = aIn.getEpoch();
  aOut.seat = static_cast<std::uint32_t>(aIn.getSeat());
  return aIn.getSeat() >= 0;
}

void Encode(const SuccessorAck& aValue, wire::SuccessorAck::Builder aOut)
{
  aOut.setIsAcknowledged(aValue.isAcknowledged);
  aOut.setSeat(EncodeSeat(aValue.seat));
  aOut.setSeatHeldForUs(aValue.seatHeldFor.count());
}

bool Decode(wire::SuccessorAck::Reader aIn, SuccessorAck& aOut)
{
  aOut.isAcknowledged = aIn.getIsAcknowledged();
  aOut.seat = DecodeSeat(aIn.getSeat());
  return DecodeDuration(aIn.getSeatHeldForUs(), aOut.seatHeldFor);
}

std::size_t EstimateMessageBytes(const Heartbeat& aValue)
{
  std::size_t bytes = kMessageOverheadBytes + aValue.instance.size() + aValue.region.size() +
                      aValue.http.address.size();
  for (const KnownSuccessor& successor : aValue.successors) {
    bytes += successor.scope.size() + kListItemOverheadBytes;
  }
  for (const FreeSlots& slots : aValue.freeSlots) {
    bytes += slots.service.size() + kListItemOverheadBytes;
  }
  return bytes;
}

std::size_t EstimateMessageBytes(const Call& aValue)
{
  return kMessageOverheadBytes + aValue.team.size() + aValue.idempotencyKey.size() +
         aValue.body.size() + aValue.path.size();
}

std::size_t EstimateMessageBytes(const CallReply& aValue)
{
  return kMessageOverheadBytes + aValue.contentType.size() + aValue.body.size() +
         EstimateHeaderBytes(aValue.headers);
}

std::size_t EstimateMessageBytes(const ForwardedRequest& aValue)
{
  return kMessageOverheadBytes + aValue.service.size() + aValue.team.size() + aValue.method.size() +
         aValue.target.size() + aValue.body.size() + EstimateHeaderBytes(aValue.headers);
}

std::size_t EstimateMessageBytes(const ForwardedReply& aValue)
{
  return kMessageOverheadBytes + aValue.body.size() + aValue.outcome.size() + aValue.code.size() +
         EstimateHeaderBytes(aValue.headers);
}

std::size_t EstimateMessageBytes(const ConfigReply& aValue)
{
  return kMessageOverheadBytes + aValue.bytes.size();
}

std::size_t EstimateMessageBytes(const SuccessorNotice& aValue)
{
  return kMessageOverheadBytes + aValue.scope.size() +
         aValue.predecessorEpochs.size() * sizeof(Epoch);
}

std::size_t EstimateMessageBytes(const SuccessorAck&)
{
  return kMessageOverheadBytes;
}

std::uint16_t EncodeError(std::error_code aError)
{
  if (aError && aError.category() != DaisydriftCategory()) {
    return static_cast<std::uint16_t>(Errc::OutcomeUnknown);
  }
  return static_cast<std::uint16_t>(aError.value());
}

std::error_code DecodeError(std::uint16_t aNumber)
{
  if (aNumber > static_cast<std::uint16_t>(Errc::Corrupt)) {
    return Errc::OutcomeUnknown;
  }
  return static_cast<Errc>(aNumber);
}

} // namespace daisydrift
