#include "dispatch/PaceControl.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace hemlocklead::dispatch {

namespace {

    constexpr int64_t fullPace = 100;

    /// Figures are rough: a tail this near to its target may be over it.
    constexpr double overRatio = 0.95;

    /// A rough figure just below the target does not show that the task is back under it.
    constexpr double underRatio = 0.9;

} // namespace

PaceControl::PaceControl(Settings settings)
    : m_settings(settings)
{
}

int64_t PaceControl::pace(const std::string& task) const
{
    const auto held = m_held.find(task);
    return held != m_held.end() && held->second ? 0 : fullPace;
}

bool PaceControl::isHolding() const
{
    return std::ranges::any_of(m_held, [](const auto& entry) { return entry.second; });
}

std::vector<PaceOrder> PaceControl::update(
    const std::vector<ServingTask>& serving, const std::vector<FillingTask>& filling, Instant now)
{
    dropAbsent(serving, filling);
    for (const ServingTask& task : serving)
        watch(task, now);
    m_serving = serving;
    std::vector<PaceOrder> orders;
    for (const FillingTask& filler : filling) {
        const bool hold = holds(filler, now);
        if (hold == (pace(filler.task) == 0))
            continue;
        m_held[filler.task] = hold;
        orders.push_back({ filler.task, hold ? 0 : fullPace });
    }
    return orders;
}

void PaceControl::dropAbsent(const std::vector<ServingTask>& serving, const std::vector<FillingTask>& filling)
{
    std::set<std::string> present;
    for (const FillingTask& task : filling)
        present.insert(task.task);
    for (const ServingTask& task : serving)
        present.insert(task.task);
    std::erase_if(m_held, [&](const auto& entry) { return !present.contains(entry.first); });
    std::erase_if(m_overSince, [&](const auto& entry) { return !present.contains(entry.first); });
}

void PaceControl::watch(const ServingTask& task, Instant now)
{
    std::optional<Instant>& overSince = m_overSince[task.task];
    if (task.tailRatio < underRatio)
        overSince.reset();
    else if (task.tailRatio >= overRatio && !overSince)
        overSince = now;
}

void PaceControl::setDisturbance(const std::string& serving, const std::string& filling, double takenPerCore)
{
    m_takenPerCore.insert_or_assign({ serving, filling }, takenPerCore);
}

double PaceControl::taken(const ServingTask& task, const FillingTask& filler) const
{
    const auto told = m_takenPerCore.find({ task.image, filler.image });
    return filler.cores * (told == m_takenPerCore.end() ? DisturbanceModel::priorTaken : told->second);
}

Duration PaceControl::patience(double tailRatio) const
{
    const double falls = std::log(std::max(tailRatio, 1.0)) * static_cast<double>(m_settings.decay.count());
    return m_settings.bearable - m_settings.reaction - Duration { static_cast<int64_t>(falls) };
}

bool PaceControl::holds(const FillingTask& filler, Instant now) const
{
    return std::ranges::any_of(m_serving, [&](const ServingTask& task) {
        const auto watched = m_overSince.find(task.task);
        if (watched == m_overSince.end() || !watched->second)
            return false;
        const bool isLikely = taken(task, filler) >= m_settings.likelyTaken;
        const Duration more = isLikely ? Duration { 0 } : m_settings.secondStep;
        return now - *watched->second >= patience(task.tailRatio) + more;
    });
}

} // namespace hemlocklead::dispatch
