#pragma once

#include <string>

namespace hemlocklead {

/// Runs an agent until SIGTERM or SIGINT and its planned stop. Returns the exit status: 0, or 2 if the settings are
/// invalid or listening on the HTTP address fails.
int runAgent(const std::string& settingsFile);

} // namespace hemlocklead
