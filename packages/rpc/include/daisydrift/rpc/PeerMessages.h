#pragma once
// Messages between entry instances.

#include "daisydrift/base.h"
#include "daisydrift/external.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace daisydrift {

/// Tells the holder of a role that a successor has superseded it.
struct KnownSuccessor
{
  /// Name of the role: a seat or the leadership of a region.
  std::string scope;
  /// The successor has this epoch or a higher one.
  Epoch epoch = 0;

  bool operator==(const KnownSuccessor&) const = default;
};

/// Free capacity of the sender for requests to the upstreams of one service.
struct FreeSlots
{
  std::string service;
  /// Number of requests that the sender can start now within its share of the upstreams' slots. A
  /// slot is capacity of an upstream for one request at a time.
  std::uint32_t slots = 0;

  bool operator==(const FreeSlots&) const = default;
};

/// State of an instance, sent to every other instance each second.
struct Heartbeat
{
  InstanceId instance;
  /// Number of the seat held by the sender, if any. Each entry instance leases at most one of a
  /// fixed number of seats; a seat gives it a share of the upstream slots and a vote in quorums.
  std::optional<std::uint32_t> seat;
  Epoch seatEpoch = 0;
  /// How long the sender has held its seat.
  Duration seatHeldFor{ 0 };
  std::string region;
  /// True when the sender received a response from the store in the last 3 s.
  bool isStoreReachable = false;
  /// True when the sender is stopping and accepts no new work.
  bool isStopping = false;
  std::uint64_t configVersion = 0;
  /// Highest leadership epoch known to the sender.
  Epoch highestEpoch = 0;
  /// In a reply: successors in roles of the receiver of the reply.
  std::vector<KnownSuccessor> successors;
  std::vector<FreeSlots> freeSlots;
  /// Endpoint of the sender's HTTP server.
  Endpoint http;

  bool operator==(const Heartbeat&) const = default;
};

/// State of the receiver of a heartbeat.
using HeartbeatReply = Heartbeat;

/// Kind of a call to a region's leader.
enum class CallKind
{
  Submit,
  Query,
  Cancel,
  Edit
};

/// API request of a caller or operator, passed on to the leader of the region, which executes it.
struct Call
{
  CallKind kind = CallKind::Query;
  /// Team that the request's key belongs to; empty for operators.
  TeamName team;
  std::string idempotencyKey;
  std::string body;
  /// Path and query of the HTTP request.
  std::string path;
  /// Time left until the caller gives up.
  Duration timeout{ 0 };

  bool operator==(const Call&) const = default;
};

/// Response to be passed back to the HTTP caller.
struct CallReply
{
  std::uint16_t status = 0;
  std::string contentType;
  std::string body;
  HeaderFields headers;

  bool operator==(const CallReply&) const = default;
};

/// An interactive request, forwarded once to a peer with a free slot.
struct ForwardedRequest
{
  std::string service;
  TeamName team;
  /// Weight of the team in the receiver's queue.
  std::uint32_t weight = 0;
  std::string method;
  /// Path and query for the upstream.
  std::string target;
  HeaderFields headers;
  std::string body;
  /// True when the caller allows the request to be executed more than once.
  bool isRepeatable = false;
  /// Time left until the caller gives up.
  Duration timeout{ 0 };

  bool operator==(const ForwardedRequest&) const = default;
};

/// Response to a forwarded request.
struct ForwardedReply
{
  std::uint16_t status = 0;
  HeaderFields headers;
  std::string body;
  /// Whether the request was executed: `not_run`, `ran` or `unknown`.
  std::string outcome;
  /// Machine-readable error code; empty when the upstream responded.
  std::string code;

  bool operator==(const ForwardedReply&) const = default;
};

/// Configuration document of the receiver of the call.
struct ConfigReply
{
  std::uint64_t version = 0;
  std::string bytes;

  bool operator==(const ConfigReply&) const = default;
};

/// Notice that the sender has superseded the previous holders of a role.
struct SuccessorNotice
{
  /// Name of the role, as in KnownSuccessor.
  std::string scope;
  /// Epoch of the sender in the role.
  Epoch epoch = 0;
  /// Seat of the sender.
  std::uint32_t seat = 0;
  /// Epochs of the previous holders of the role that may still be active.
  std::vector<Epoch> predecessorEpochs;

  bool operator==(const SuccessorNotice&) const = default;
};

/// Response to a successor notice.
struct SuccessorAck
{
  /// True when the acknowledgement counts towards the successor's quorum.
  bool isAcknowledged = false;
  /// Seat of the acknowledging instance, if any.
  std::optional<std::uint32_t> seat;
  Duration seatHeldFor{ 0 };

  bool operator==(const SuccessorAck&) const = default;
};

} // namespace daisydrift
