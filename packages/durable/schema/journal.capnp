@0xe1d7ed3e4871aac0;
# Stored encoding of journal records and snapshots. Fields may be added, but never removed or renumbered: a new leader may
# run another version than the leader that wrote the journal.
# After a change, run in packages/durable: capnp compile -oc++:src/generated --src-prefix=schema schema/journal.capnp

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("daisydrift::schema");

struct Record {
  number @0 :UInt64;        # position in the journal, from 1
  epoch @1 :UInt64;         # epoch of the leader that wrote it
  writer @2 :Text;          # identity of the writing process
  writeNumber @3 :UInt64;   # unique for the writer and epoch
  entries @4 :List(Entry);  # empty for an epoch barrier
}

struct Entry {
  job @0 :UInt64;
  index @1 :UInt32;    # index of the task in the job; taskAssigned and attemptEnded only
  attempt @2 :UInt32;  # number of the attempt; taskAssigned and attemptEnded only
  union {
    jobAccepted @3 :JobAccepted;
    taskAssigned @4 :TaskAssigned;
    attemptEnded @5 :AttemptEnded;
    jobCancelled @6 :Void;
    jobFinished @7 :JobFinished;
  }
}

struct JobAccepted {
  team @0 :Text;
  specification @1 :Text;
  idempotencyKeyDigest @2 :Data;
  bodyDigest @3 :Data;
  wallSeconds @4 :Int64;
}

struct TaskAssigned {
  worker @0 :Text;
  incarnation @1 :Text;
  milliCores @2 :Int64;
  memoryMiB @3 :Int64;
  accelerators @4 :Int64;
}

struct AttemptEnded {
  outcome @0 :UInt8;
  detail @1 :Text;
}

struct JobFinished {
  finalState @0 :UInt8;
  reason @1 :Text;
  wallSeconds @2 :Int64;
}

struct SnapshotHead {
  generation @0 :UInt64;
  position @1 :UInt64;           # last journal record covered
  epoch @2 :UInt64;              # epoch of the leader that claimed the head
  writer @3 :Text;
  totalBytes @4 :UInt64;
  partDigests @5 :List(UInt64);  # one for each part
}

struct Snapshot {
  position @0 :UInt64;
  nextJob @1 :UInt64;
  workers @2 :List(WorkerIncarnation);
  jobs @3 :List(Job);
  keys @4 :List(Key);

  struct WorkerIncarnation {
    worker @0 :Text;
    incarnation @1 :Text;
  }
  struct Job {
    number @0 :UInt64;
    team @1 :Text;
    specification @2 :Text;
    acceptedWallSeconds @3 :Int64;
    cancelled @4 :Bool;
    finished @5 :Bool;
    finalState @6 :UInt8;
    reason @7 :Text;
    endedWallSeconds @8 :Int64;
    tasks @9 :List(Task);
  }
  struct Task {
    index @0 :UInt32;
    attemptsUsed @1 :UInt32;
    failures @2 :UInt32;
    lastOutcome @3 :UInt8;
    running @4 :Bool;
    worker @5 :UInt32;  # index into `workers`; when running
    milliCores @6 :Int64;
    memoryMiB @7 :Int64;
    accelerators @8 :Int64;
  }
  struct Key {
    team @0 :Text;
    keyDigest @1 :Data;
    bodyDigest @2 :Data;
    job @3 :UInt64;
    wallSeconds @4 :Int64;
  }
}
