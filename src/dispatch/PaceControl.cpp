#include "dispatch/PaceControl.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace hemlocklead::dispatch {

namespace {

    constexpr int64_t fullPace = 100;

    /// Use below this many cores says nothing of a pair.
    constexpr double noticeableCores = 1.5;

    /// A rough figure just below the target does not show that the task is back under it.
    constexpr double underRatio = 0.9;

    /// Tails below this share of the target show that nothing beside the task disturbs it.
    constexpr double calmRatio = 0.6;

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

std::vector<PaceOrder> PaceControl::update(
    const std::vector<ServingTask>& serving, const std::vector<FillingTask>& filling, Instant now)
{
    dropAbsent(serving, filling);
    smoothUse(filling, now);
    for (const ServingTask& task : serving) {
        watch(task, now);
        if (now - m_watched[task.task].firstSeen >= m_settings.warmUp)
            learn(task);
    }
    std::vector<PaceOrder> orders;
    for (const FillingTask& filler : filling) {
        const bool hold = isToBeHeld(filler, serving, now);
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
    std::erase_if(m_watched, [&](const auto& entry) { return !present.contains(entry.first); });
}

void PaceControl::smoothUse(const std::vector<FillingTask>& filling, Instant now)
{
    const auto elapsed = static_cast<double>((now - m_updatedAt).count());
    const double share = 1 - std::exp(-elapsed / static_cast<double>(m_settings.lag.count()));
    m_updatedAt = now;
    CoresByImage current;
    for (const FillingTask& task : filling)
        current[task.image] += task.cores * static_cast<double>(pace(task.task)) / fullPace;
    for (auto& [image, cores] : m_use) {
        if (!current.contains(image))
            cores -= share * cores;
    }
    for (const auto& [image, cores] : current)
        m_use[image] += share * (cores - m_use[image]);
}

void PaceControl::watch(const ServingTask& task, Instant now)
{
    const auto [watched, isNew] = m_watched.try_emplace(task.task);
    if (isNew)
        watched->second.firstSeen = now;
    std::optional<Instant>& overSince = watched->second.overSince;
    if (task.tailRatio < underRatio)
        overSince.reset();
    else if (task.tailRatio >= 1 && !overSince)
        overSince = now;
}

void PaceControl::learn(const ServingTask& task)
{
    if (task.tailRatio <= 0 || (task.tailRatio >= calmRatio && task.tailRatio < 1))
        return;
    const bool isOver = task.tailRatio >= 1;
    double blame = 0;
    for (const auto& [image, cores] : m_use) {
        if (cores >= noticeableCores)
            blame += m_harm.probability(task.image, image);
    }
    for (const auto& [image, cores] : m_use) {
        if (cores < noticeableCores)
            continue;
        // Blame falls on those that are not known to be harmless.
        const double share = isOver ? m_harm.probability(task.image, image) / blame : 0;
        m_harm.note(task.image, image, share, isOver ? 0 : 1);
    }
}

bool PaceControl::isToBeHeld(const FillingTask& filler, const std::vector<ServingTask>& serving, Instant now) const
{
    return std::ranges::any_of(serving, [&](const ServingTask& task) {
        const auto watched = m_watched.find(task.task);
        if (watched == m_watched.end() || !watched->second.overSince)
            return false;
        const Duration over = now - *watched->second.overSince;
        const bool isLikely = m_harm.probability(task.image, filler.image) >= m_settings.likely;
        return over >= m_settings.patience + (isLikely ? Duration { 0 } : m_settings.secondStep);
    });
}

} // namespace hemlocklead::dispatch
