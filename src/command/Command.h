#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hemlocklead {

/// True for `catalogue`, `datacentre`, `status` and `job`.
bool isOperatorCommand(std::string_view name);

/// Runs the operator command `arguments[0]` with the remaining arguments; returns an exit code of ExitCode.h.
int runOperatorCommand(const std::vector<std::string>& arguments);

} // namespace hemlocklead
