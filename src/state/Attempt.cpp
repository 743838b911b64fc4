#include "state/Attempt.h"

#include <charconv>

namespace hemlocklead {

namespace {

    /// Cuts the part after the last dot off `text` and reads it as a number.
    bool cutNumber(std::string_view& text, uint32_t& number)
    {
        const size_t dot = text.rfind('.');
        if (dot == std::string_view::npos)
            return false;
        const std::string_view digits = text.substr(dot + 1);
        const auto read = std::from_chars(digits.data(), digits.data() + digits.size(), number);
        text = text.substr(0, dot);
        return read.ec == std::errc() && read.ptr == digits.data() + digits.size();
    }

} // namespace

std::string AttemptKey::taskId() const { return job + '.' + std::to_string(index) + '.' + std::to_string(attempt); }

Result<AttemptKey> parseTaskId(std::string_view id)
{
    AttemptKey key;
    std::string_view rest = id;
    const bool numbered = cutNumber(rest, key.attempt) && cutNumber(rest, key.index);
    key.job = rest;
    // Two ids of one attempt, such as `j.1.1` and `j.01.1`, would be two tasks on the worker.
    if (!numbered || key.job.empty() || key.attempt == 0 || key.taskId() != id)
        return fail(ErrorKind::InvalidRequest, "not a task id: " + std::string(id));
    return key;
}

} // namespace hemlocklead
