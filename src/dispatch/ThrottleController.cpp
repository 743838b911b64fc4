#include "dispatch/ThrottleController.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace hemlocklead::dispatch {

namespace {

    constexpr int64_t fullSpeed = 100;

    /// Measurements are imprecise: a tail latency this close to its target may be over it.
    constexpr double overTargetRatio = 0.95;

    /// Measurements are imprecise: only a tail latency below this shows that the task is back under its target.
    constexpr double belowTargetRatio = 0.9;

} // namespace

ThrottleController::ThrottleController(Settings settings)
    : m_settings(settings)
{
}

int64_t ThrottleController::speedPercent(const std::string& task) const
{
    const auto paused = m_paused.find(task);
    return paused != m_paused.end() && paused->second ? 0 : fullSpeed;
}

void ThrottleController::forgetAll()
{
    m_latencyCritical.clear();
    m_overSince.clear();
    m_pausedUntil.clear();
    m_paused.clear();
}

void ThrottleController::pauseUntil(const std::string& task, Instant until)
{
    m_pausedUntil.insert_or_assign(task, until);
}

bool ThrottleController::isPauseOrdered(const std::string& task, Instant now) const
{
    const auto found = m_pausedUntil.find(task);
    return found != m_pausedUntil.end() && now < found->second;
}

bool ThrottleController::isPausing() const
{
    return std::ranges::any_of(m_paused, [](const auto& entry) { return entry.second; });
}

std::vector<ThrottleOrder> ThrottleController::update(
    const std::vector<LatencyCriticalTask>& latencyCritical, const std::vector<BestEffortTask>& bestEffort, Instant now)
{
    removeAbsentTasks(latencyCritical, bestEffort);
    std::erase_if(m_pausedUntil, [&](const auto& entry) { return now >= entry.second; });
    for (const LatencyCriticalTask& task : latencyCritical)
        updateTimeOverTarget(task, now);
    m_latencyCritical = latencyCritical;
    std::vector<ThrottleOrder> orders;
    for (const BestEffortTask& bestEffortTask : bestEffort) {
        const bool pause = mustPause(bestEffortTask, now) || isPauseOrdered(bestEffortTask.task, now);
        if (pause == (speedPercent(bestEffortTask.task) == 0))
            continue;
        m_paused[bestEffortTask.task] = pause;
        orders.push_back({ bestEffortTask.task, pause ? 0 : fullSpeed });
    }
    return orders;
}

void ThrottleController::removeAbsentTasks(
    const std::vector<LatencyCriticalTask>& latencyCritical, const std::vector<BestEffortTask>& bestEffort)
{
    std::set<std::string> present;
    for (const BestEffortTask& task : bestEffort)
        present.insert(task.task);
    for (const LatencyCriticalTask& task : latencyCritical)
        present.insert(task.task);
    std::erase_if(m_paused, [&](const auto& entry) { return !present.contains(entry.first); });
    std::erase_if(m_overSince, [&](const auto& entry) { return !present.contains(entry.first); });
}

void ThrottleController::updateTimeOverTarget(const LatencyCriticalTask& task, Instant now)
{
    std::optional<Instant>& overSince = m_overSince[task.task];
    if (task.tailRatio < belowTargetRatio)
        overSince.reset();
    else if (task.tailRatio >= overTargetRatio && !overSince)
        overSince = now;
}

void ThrottleController::setInterference(
    const std::string& latencyCritical, const std::string& bestEffort, double headroomPerCore)
{
    m_headroomPerCore.insert_or_assign({ latencyCritical, bestEffort }, headroomPerCore);
}

double ThrottleController::headroomUsed(const LatencyCriticalTask& task, const BestEffortTask& bestEffortTask) const
{
    const auto known = m_headroomPerCore.find({ task.image, bestEffortTask.image });
    return bestEffortTask.cores
        * (known == m_headroomPerCore.end() ? InterferenceModel::priorHeadroomPerCore : known->second);
}

Duration ThrottleController::pauseDelay(double tailRatio) const
{
    const double decayMs = std::log(std::max(tailRatio, 1.0)) * static_cast<double>(m_settings.tailDecayTime.count());
    return m_settings.maxTimeOverTarget - m_settings.reactionTime - Duration { static_cast<int64_t>(decayMs) };
}

std::optional<Duration> ThrottleController::timeSincePauseDue(const LatencyCriticalTask& task, Instant now) const
{
    const auto overSince = m_overSince.find(task.task);
    if (overSince == m_overSince.end() || !overSince->second)
        return std::nullopt;
    return now - *overSince->second - pauseDelay(task.tailRatio);
}

bool ThrottleController::refusesBestEffort(Instant now) const
{
    return std::ranges::any_of(m_latencyCritical, [&](const LatencyCriticalTask& task) {
        const std::optional<Duration> time = timeSincePauseDue(task, now);
        return time && *time >= Duration { 0 };
    });
}

bool ThrottleController::mustPause(const BestEffortTask& bestEffortTask, Instant now) const
{
    return std::ranges::any_of(m_latencyCritical, [&](const LatencyCriticalTask& task) {
        const std::optional<Duration> time = timeSincePauseDue(task, now);
        const bool isLikelyAntagonist = headroomUsed(task, bestEffortTask) >= m_settings.likelyAntagonistHeadroom;
        return time && *time >= (isLikelyAntagonist ? Duration { 0 } : m_settings.unlikelyAntagonistDelay);
    });
}

} // namespace hemlocklead::dispatch
