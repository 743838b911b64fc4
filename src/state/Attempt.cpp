#include "state/Attempt.h"

#include <charconv>

namespace hemlocklead {

namespace {

    /// Removes the part of `text` from its last dot on and parses the digits after the dot into `number`. Returns false
    /// when there is no dot, or no valid 32-bit number after it.
    bool popTrailingNumber(std::string_view& text, uint32_t& number)
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
    std::string_view remainder = id;
    const bool hasNumbers = popTrailingNumber(remainder, key.attempt) && popTrailingNumber(remainder, key.index);
    key.job = remainder;
    // Only the canonical form is accepted: the worker would run `j.1.1` and `j.01.1` as two tasks.
    if (!hasNumbers || key.job.empty() || key.attempt == 0 || key.taskId() != id)
        return fail(ErrorKind::InvalidRequest, "malformed task id, expected JOB.INDEX.ATTEMPT: " + std::string(id));
    return key;
}

} // namespace hemlocklead
