#pragma once
// Public header of the package `durable`: the write-ahead journal of a region, its snapshots, and
// the recovery of both by a new leader. Rules: docs/design.md, sections 2.2 to 2.4.
//
// A leader calls TakeOver(), then Journal::Append() for each batch of entries, and
// RegionState::ApplyEntries() after a successful append. When Journal::NeedsSnapshot() is true it
// calls SnapshotWriter::Write() and Journal::SetSnapshotPosition().

#include "daisydrift/durable/Entries.h"
#include "daisydrift/durable/Journal.h"
#include "daisydrift/durable/JournalRecord.h"
#include "daisydrift/durable/Recovery.h"
#include "daisydrift/durable/RegionState.h"
#include "daisydrift/durable/Snapshot.h"
