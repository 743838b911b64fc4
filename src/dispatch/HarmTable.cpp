#include "dispatch/HarmTable.h"

namespace hemlocklead::dispatch {

namespace {

    /// Looks that count; about ten seconds of one host, so that a pair that changes is learned again.
    constexpr double mostLooks = 24;

} // namespace

double HarmTable::probability(const std::string& serving, const std::string& filling) const
{
    const auto found = m_entries.find({ serving, filling });
    if (found == m_entries.end())
        return 0.5;
    return (found->second.harmful + 1) / (found->second.weight() + 2);
}

void HarmTable::note(const std::string& serving, const std::string& filling, double harmful, double harmless)
{
    Entry& entry = m_entries[{ serving, filling }];
    entry.harmful += harmful;
    entry.harmless += harmless;
    entry.unreported += harmful + harmless;
    if (entry.weight() <= mostLooks)
        return;
    const double kept = mostLooks / entry.weight();
    entry.harmful *= kept;
    entry.harmless *= kept;
}

void HarmTable::merge(const std::string& serving, const std::string& filling, double harmful, double harmless)
{
    Entry& entry = m_entries[{ serving, filling }];
    if (harmful + harmless < entry.weight())
        return;
    entry.harmful = harmful;
    entry.harmless = harmless;
}

} // namespace hemlocklead::dispatch
