#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace hemlocklead {

/// Counters and gauges of one process, served in the Prometheus text format at `/metrics`.
class Counters {
public:
    /// Adds `amount` to the counter `name`, which starts at 0. Labels are part of the name: `x{kind="a"}`.
    void add(std::string_view name, int64_t amount = 1);

    /// Sets the gauge `name` to `value`.
    void set(std::string_view name, int64_t value);

    /// Value of `name`; 0 when it was never set.
    int64_t value(std::string_view name) const;

    /// All values as Prometheus text, one line each, sorted by name, each name prefixed with `hemlocklead_`.
    std::string text() const;

private:
    std::map<std::string, int64_t, std::less<>> m_values;
};

} // namespace hemlocklead
