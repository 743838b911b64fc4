#pragma once

#include <string>

namespace hemlocklead::soak {

/// Local time of day with milliseconds, in the format of the log lines of the programs.
std::string timeOfDay();

} // namespace hemlocklead::soak
