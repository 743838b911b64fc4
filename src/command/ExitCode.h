#pragma once

namespace hemlocklead {

/// Exit codes of the program.
constexpr int exitSuccess = 0;
constexpr int exitRefused = 1; ///< The request was refused or failed.
constexpr int exitUsage = 2; ///< Invalid arguments or settings.
constexpr int exitUnreachable = 3; ///< No entry could be reached.
constexpr int exitOutcomeUnknown = 4; ///< The request may have been executed.

} // namespace hemlocklead
