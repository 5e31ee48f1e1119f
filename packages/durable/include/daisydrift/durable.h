#pragma once
// Public header of the package `durable`: the journal of a region, its snapshots, and the recovery
// of both by a new leader. docs/design.md, sections 2.2 to 2.4, states the rules.
//
// Use by a leader: TakeOver(), then Journal::Append() for each group of entries and
// RegionState::ApplyEntries() once the append has succeeded; SnapshotWriter::Write() and
// Journal::SetCovered() when Journal::NeedsSnapshot().

#include "daisydrift/durable/Entries.h"
#include "daisydrift/durable/Journal.h"
#include "daisydrift/durable/JournalRecord.h"
#include "daisydrift/durable/Recovery.h"
#include "daisydrift/durable/RegionState.h"
#include "daisydrift/durable/Snapshot.h"
