#pragma once

namespace hemlocklead {

/// Exit codes of the program.
enum ExitCode : int {
    exitDone = 0,
    exitRefused = 1, ///< Refused or failed.
    exitUsage = 2, ///< Usage or settings.
    exitUnreachable = 3, ///< No entry could be reached.
    exitUnknown = 4, ///< It may have been done or not.
};

} // namespace hemlocklead
