#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace hemlocklead {

/// Counters and gauges of one process, printed in the Prometheus text format at `/metrics`.
class Counters {
public:
    /// Adds `amount` to the counter `name`, which starts at 0. Labels, if any, are part of the name: `x{kind="a"}`.
    void add(std::string_view name, int64_t amount = 1);

    /// Sets the gauge `name`.
    void set(std::string_view name, int64_t value);

    /// Value of `name`, or 0 when it was never written.
    int64_t value(std::string_view name) const;

    /// All values, one line each, sorted by name, with the prefix `hemlocklead_`.
    std::string text() const;

private:
    std::map<std::string, int64_t, std::less<>> m_values;
};

} // namespace hemlocklead
