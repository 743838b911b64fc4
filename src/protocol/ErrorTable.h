#pragma once

#include "base/ErrorKind.h"
#include "protocol/Messages.h"

#include <string>
#include <string_view>

namespace hemlocklead {

/// How an error kind is answered over HTTP.
struct ErrorAnswer {
    ErrorKind kind;
    int status; ///< HTTP status code.
    CallOutcome outcome; ///< What the caller may conclude about its request.
};

/// The answer to `kind`.
const ErrorAnswer& errorAnswer(ErrorKind kind);

/// Kind with that name, or `Internal`.
ErrorKind errorKindByName(std::string_view name);

/// `done`, `not-run` or `unknown`.
std::string_view outcomeName(CallOutcome outcome);

/// JSON body of an error answer.
std::string errorBody(const Error& error, std::string_view requestId);

} // namespace hemlocklead
