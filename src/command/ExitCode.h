#pragma once

namespace hemlocklead {

/// Exit codes of the program.
constexpr int exitDone = 0;
constexpr int exitRefused = 1; ///< Refused or failed.
constexpr int exitUsage = 2; ///< Usage or settings.
constexpr int exitUnreachable = 3; ///< No entry could be reached.
constexpr int exitUnknown = 4; ///< It may have been done or not.

} // namespace hemlocklead
