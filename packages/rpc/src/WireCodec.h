#pragma once
// Conversion between the public message types and the Cap'n Proto messages. Decode returns false
// for values that the public type cannot represent.

#include "daisydrift/rpc/PeerMessages.h"
#include "generated/peer.capnp.h"

namespace daisydrift {

void Encode(const Heartbeat& aValue, wire::Heartbeat::Builder aOut);
bool Decode(wire::Heartbeat::Reader aIn, Heartbeat& aOut);
void Encode(const Call& aValue, wire::Call::Builder aOut);
bool Decode(wire::Call::Reader aIn, Call& aOut);
void Encode(const CallReply& aValue, wire::CallReply::Builder aOut);
bool Decode(wire::CallReply::Reader aIn, CallReply& aOut);
void Encode(const ForwardedRequest& aValue, wire::ForwardedRequest::Builder aOut);
bool Decode(wire::ForwardedRequest::Reader aIn, ForwardedRequest& aOut);
void Encode(const ForwardedReply& aValue, wire::ForwardedReply::Builder aOut);
bool Decode(wire::ForwardedReply::Reader aIn, ForwardedReply& aOut);
void Encode(const ConfigReply& aValue, wire::ConfigReply::Builder aOut);
bool Decode(wire::ConfigReply::Reader aIn, ConfigReply& aOut);
void Encode(const SuccessorNotice& aValue, wire::SuccessorNotice::Builder aOut);
bool Decode(wire::SuccessorNotice::Reader aIn, SuccessorNotice& aOut);
void Encode(const SuccessorAck& aValue, wire::SuccessorAck::Builder aOut);
bool Decode(wire::SuccessorAck::Reader aIn, SuccessorAck& aOut);

/// Upper bound of the size of a message with this content, in bytes. Checked before sending,
/// because a peer closes a connection on which a message exceeds the size limit.
std::size_t EstimateMessageBytes(const Heartbeat& aValue);
std::size_t EstimateMessageBytes(const Call& aValue);
std::size_t EstimateMessageBytes(const CallReply& aValue);
std::size_t EstimateMessageBytes(const ForwardedRequest& aValue);
std::size_t EstimateMessageBytes(const ForwardedReply& aValue);
std::size_t EstimateMessageBytes(const ConfigReply& aValue);
std::size_t EstimateMessageBytes(const SuccessorNotice& aValue);
std::size_t EstimateMessageBytes(const SuccessorAck& aValue);

/// Converts an error to its number on the wire; errors of other categories than Errc become
/// OutcomeUnknown.
std::uint16_t EncodeError(std::error_code aError);
/// Converts a number on the wire to its error; unknown numbers (from a newer peer) become
/// OutcomeUnknown.
std::error_code DecodeError(std::uint16_t aNumber);

} // namespace daisydrift
