@0xdf0b1906f116bf99;
# Messages between entry instances. Field numbers are never reused, because instances of two
# versions run side by side during an upgrade.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("daisydrift::wire");

struct Hello {
  # First message of a connection, from the client.
  version @0 :UInt16;
  nonce @1 :Data;
}

struct Challenge {
  # Response to Hello, from the server.
  version @0 :UInt16;
  nonce @1 :Data;
}

struct Proof {
  # HMAC-SHA256 over both nonces, first from the client and then from the server. The server sends
  # an empty MAC when it rejects the client.
  mac @0 :Data;
}

struct Successor {
  scope @0 :Text;
  epoch @1 :UInt64;
}

struct FreeSlots {
  service @0 :Text;
  slots @1 :UInt32;
}

struct Heartbeat {
  instance @0 :Text;
  seat @1 :Int32 = -1;
  # Negative: the sender holds no seat.
  seatEpoch @2 :UInt64;
  seatHeldForUs @3 :Int64;
  region @4 :Text;
  isStoreReachable @5 :Bool;
  isStopping @6 :Bool;
  configVersion @7 :UInt64;
  highestEpoch @8 :UInt64;
  successors @9 :List(Successor);
  freeSlots @10 :List(FreeSlots);
  httpAddress @11 :Text;
  httpPort @12 :UInt16;
}

enum CallKind {
  submit @0;
  query @1;
  cancel @2;
  edit @3;
}

struct Header {
  name @0 :Text;
  value @1 :Data;
}

struct Call {
  kind @0 :CallKind;
  team @1 :Text;
  idempotencyKey @2 :Data;
  body @3 :Data;
  path @4 :Data;
  deadlineUs @5 :Int64;
}

struct CallReply {
  status @0 :UInt16;
  contentType @1 :Data;
  body @2 :Data;
  headers @3 :List(Header);
}

struct ForwardedRequest {
  service @0 :Text;
  team @1 :Text;
  weight @2 :UInt32;
  method @3 :Data;
  target @4 :Data;
  headers @5 :List(Header);
  body @6 :Data;
  isRepeatable @7 :Bool;
  deadlineUs @8 :Int64;
}

struct ForwardedReply {
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;
  outcome @3 :Text;
  code @4 :Text;
}

struct ConfigReply {
  version @0 :UInt64;
  bytes @1 :Data;
}

struct SuccessorNotice {
  scope @0 :Text;
  epoch @1 :UInt64;
  seat @2 :Int32;
  formers @3 :List(UInt64);
  # Epochs of the previous holders that may still be active.
}

struct SuccessorAck {
  isAcknowledged @0 :Bool;
  seat @1 :Int32 = -1;
  seatHeldForUs @2 :Int64;
}

interface Peer {
  # Available to authenticated clients only. `error` is a value of daisydrift::Errc; `reply` is
  # valid only when `error` is 0.
  heartbeat @0 (heartbeat :Heartbeat) -> (error :UInt16, reply :Heartbeat);
  call @1 (call :Call) -> (error :UInt16, reply :CallReply);
  fetchConfig @2 () -> (error :UInt16, reply :ConfigReply);
  forwardRequest @3 (request :ForwardedRequest) -> (error :UInt16, reply :ForwardedReply);
  successor @4 (notice :SuccessorNotice) -> (error :UInt16, reply :SuccessorAck);
}
