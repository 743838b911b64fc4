#pragma once

#include <string>

namespace hemlocklead {

/// Runs an entry process until SIGTERM has been handled. Returns the exit code: 0 after a planned stop, 1 after a
/// second SIGTERM, 2 if the settings are invalid or an address is in use.
int runEntry(const std::string& settingsFile);

} // namespace hemlocklead
