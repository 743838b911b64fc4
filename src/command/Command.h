#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hemlocklead {

/// Whether `name` is `catalogue`, `datacentre`, `status` or `job`.
bool isOperatorCommand(std::string_view name);

/// Runs an operator command, given with its arguments; returns an ExitCode.
int runOperatorCommand(const std::vector<std::string>& arguments);

} // namespace hemlocklead
