#pragma once
// Settings of the daemon: JSON with comments, schema, findings with line and column.

#include "daisydrift/settings/DaemonSettings.h"
#include "daisydrift/settings/JsonReader.h"
#include "daisydrift/settings/JsonValue.h"
#include "daisydrift/settings/ObjectReader.h"
#include "daisydrift/settings/SettingsSchema.h"
