#pragma once
// Public header of the package `config`, the configuration of the fleet: document, edits, CSV table
// of teams, API keys, audit log.

#include "daisydrift/config/Audit.h"
#include "daisydrift/config/ConfigCodec.h"
#include "daisydrift/config/ConfigDocument.h"
#include "daisydrift/config/ConfigEditor.h"
#include "daisydrift/config/Digest.h"
#include "daisydrift/config/EditCodec.h"
#include "daisydrift/config/Edits.h"
#include "daisydrift/config/Keys.h"
#include "daisydrift/config/TeamTable.h"
