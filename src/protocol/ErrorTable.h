#pragma once

#include "base/ErrorKind.h"
#include "protocol/Messages.h"

#include <string>
#include <string_view>

namespace hemlocklead {

/// HTTP status and call outcome that are reported for an error kind.
struct ErrorMapping {
    ErrorKind kind;
    int status; ///< HTTP status code.
    CallOutcome outcome; ///< Whether the request may have been run.
};

/// Returns the HTTP mapping of `kind`.
const ErrorMapping& errorMapping(ErrorKind kind);

/// Returns the error kind with this name, or `Internal` if there is none.
ErrorKind errorKindByName(std::string_view name);

/// Returns `done`, `not-run` or `unknown`.
std::string_view outcomeName(CallOutcome outcome);

/// Returns the JSON body of an error response.
std::string errorBody(const Error& error, std::string_view requestId);

} // namespace hemlocklead
