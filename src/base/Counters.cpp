#include "base/Counters.h"

namespace hemlocklead {

void Counters::add(std::string_view name, int64_t amount)
{
    auto found = m_values.find(name);
    if (found == m_values.end())
        found = m_values.emplace(std::string(name), 0).first;
    found->second += amount;
}

void Counters::set(std::string_view name, int64_t value) { m_values.insert_or_assign(std::string(name), value); }

int64_t Counters::value(std::string_view name) const
{
    const auto found = m_values.find(name);
    return found == m_values.end() ? 0 : found->second;
}

std::string Counters::text() const
{
    std::string out;
    for (const auto& [name, value] : m_values)
        out += "hemlocklead_" + name + ' ' + std::to_string(value) + '\n';
    return out;
}

} // namespace hemlocklead
