#pragma once
// Public header of the package `settings`: reader for JSON with comments, schema of the daemon's
// settings, and findings with line and column.

#include "daisydrift/settings/DaemonSettings.h"
#include "daisydrift/settings/JsonReader.h"
#include "daisydrift/settings/JsonValue.h"
#include "daisydrift/settings/ObjectReader.h"
#include "daisydrift/settings/SettingsSchema.h"
