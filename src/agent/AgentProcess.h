#pragma once

#include <string>

namespace hemlocklead {

/// Runs an agent until SIGTERM or SIGINT and its planned stop. Returns the exit status: 0, or 2 when the settings are
/// wrong or the address cannot be listened on.
int runAgent(const std::string& settingsFile);

} // namespace hemlocklead
