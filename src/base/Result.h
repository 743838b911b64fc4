#pragma once

#include "base/ErrorKind.h"

#include <boost/leaf.hpp>

#include <string>
#include <type_traits>
#include <utility>

namespace hemlocklead {

template <typename T> using Result = boost::leaf::result<T>;

/// Creates an error of `kind`, which converts to any Result.
inline boost::leaf::error_id fail(ErrorKind kind, std::string message)
{
    return boost::leaf::new_error(Error { kind, std::move(message) });
}

/// Calls `attempt`, which returns a Result<T>. Returns its value, or `onError(const Error&)`, of type T, if it failed.
template <typename Attempt, typename OnError> auto orElse(Attempt&& attempt, OnError&& onError)
{
    return boost::leaf::try_handle_all(
        std::forward<Attempt>(attempt), [&](const Error& error) { return onError(error); },
        [&] {
            return onError(Error { ErrorKind::Internal, "unspecified error" });
        });
}

} // namespace hemlocklead
