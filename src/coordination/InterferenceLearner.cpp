#include "coordination/InterferenceLearner.h"

#include <algorithm>
#include <cmath>

namespace hemlocklead {

namespace {

    /// Slowdown from which tasks are held back, and below which they get their speed back. The gap between them keeps
    /// a service at the limit from making tasks alternate.
    constexpr double actAbove = 0.5;
    constexpr double relaxBelow = 0.2;

    /// Time for a step to show in latency and in lagging usage before the next step.
    constexpr Duration settleTime { 3000 };

    /// Latency that was not noted for this long says nothing about now.
    constexpr Duration latencyTtl { 10'000 };

    constexpr Duration latencyTime { 1000 }; ///< Time constant of the latency average.
    constexpr Duration baselineRiseTime { 600'000 }; ///< A lasting change of load becomes the new normal.
    constexpr Duration scoreTime { 30'000 }; ///< Time constant of a score while its task runs.
    constexpr Duration forgetTime { 3'600'000 }; ///< Time constant of the decay while it does not.

    constexpr double reportStep = 0.05; ///< Smaller changes of a score are not worth a report.
    constexpr double leastBlame = 0.02; ///< Tasks below it are left alone.
    constexpr double fullSpeed = 1;
    constexpr double halfSpeed = 0.5;
    constexpr double quarterSpeed = 0.25;

    /// Weight of a new value after `elapsed` in an average with this time constant.
    double weight(Duration elapsed, Duration timeConstant)
    {
        return 1 - std::exp(-static_cast<double>(elapsed.count()) / static_cast<double>(timeConstant.count()));
    }

    double shareOf(const std::vector<TaskLoad>& tasks, const std::string& name)
    {
        int64_t total = 0;
        int64_t named = 0;
        for (const TaskLoad& task : tasks) {
            total += task.cpuMilli;
            named += task.name == name ? task.cpuMilli : 0;
        }
        return total > 0 ? static_cast<double>(named) / static_cast<double>(total) : 0;
    }

    bool runs(const std::vector<TaskLoad>& tasks, const std::string& name)
    {
        return std::ranges::any_of(tasks, [&](const TaskLoad& task) { return task.name == name; });
    }

} // namespace

void InterferenceLearner::noteLatency(const std::string& service, int64_t latencyUs, Instant now)
{
    const auto latency = static_cast<double>(latencyUs);
    const auto [found, added] = m_services.try_emplace(service, Service { latency, latency, now });
    if (added)
        return;
    Service& known = found->second;
    const Duration elapsed = std::max(now - known.notedAt, Duration { 1 });
    known.latencyUs += weight(elapsed, latencyTime) * (latency - known.latencyUs);
    known.baselineUs += weight(elapsed, baselineRiseTime) * (known.latencyUs - known.baselineUs);
    known.baselineUs = std::min(known.baselineUs, known.latencyUs);
    known.notedAt = now;
}

double InterferenceLearner::slowdown(const Service& service, Instant now) const
{
    if (now - service.notedAt > latencyTtl || service.baselineUs <= 0)
        return 0;
    return std::max(0.0, service.latencyUs / service.baselineUs - 1);
}

double InterferenceLearner::worstSlowdown(Instant now) const
{
    double worst = 0;
    for (const auto& [name, service] : m_services)
        worst = std::max(worst, slowdown(service, now));
    return worst;
}

std::optional<InterferenceAction> InterferenceLearner::decide(const std::vector<TaskLoad>& tasks, Instant now)
{
    learn(tasks, now);
    if (m_actedAt && now - *m_actedAt < settleTime)
        return {};
    const double worst = worstSlowdown(now);
    std::optional<InterferenceAction> action;
    if (worst > actAbove)
        action = tighten(tasks);
    else if (worst < relaxBelow)
        action = relax(tasks);
    if (action)
        m_actedAt = now;
    return action;
}

void InterferenceLearner::learn(const std::vector<TaskLoad>& tasks, Instant now)
{
    const Duration elapsed = m_learnedAt ? now - *m_learnedAt : Duration { 0 };
    m_learnedAt = now;
    for (auto& [pair, score] : m_scores) {
        if (!runs(tasks, pair.second))
            score.value *= 1 - weight(elapsed, forgetTime);
    }
    for (const auto& [name, service] : m_services) {
        if (now - service.notedAt > latencyTtl)
            continue;
        const double slow = slowdown(service, now);
        std::map<std::string, double> shares;
        for (const TaskLoad& task : tasks)
            shares.try_emplace(task.name, shareOf(tasks, task.name));
        for (const auto& [task, share] : shares) {
            double& value = m_scores[{ name, task }].value;
            value += weight(elapsed, scoreTime) * (slow * share - value);
        }
    }
}

double InterferenceLearner::score(const std::string& service, const std::string& task) const
{
    const auto found = m_scores.find({ service, task });
    return found == m_scores.end() ? 0 : found->second.value;
}

double InterferenceLearner::blame(const TaskLoad& task) const
{
    double worst = 0;
    for (const auto& [pair, score] : m_scores) {
        if (pair.second == task.name)
            worst = std::max(worst, score.value);
    }
    return worst;
}

std::optional<InterferenceAction> InterferenceLearner::tighten(const std::vector<TaskLoad>& tasks) const
{
    std::vector<TaskLoad> blamed;
    std::ranges::copy_if(
        tasks, std::back_inserter(blamed), [&](const TaskLoad& task) { return blame(task) >= leastBlame; });
    if (blamed.empty())
        return {};
    const bool onlyWatches = std::ranges::all_of(blamed, [](const TaskLoad& task) { return task.watch; });
    std::erase_if(blamed, [&](const TaskLoad& task) { return task.watch && !onlyWatches; });

    const auto fastest = std::ranges::max_element(blamed, [&](const TaskLoad& a, const TaskLoad& b) {
        return std::pair(a.throttle, blame(a) * static_cast<double>(a.cpuMilli))
            < std::pair(b.throttle, blame(b) * static_cast<double>(b.cpuMilli));
    });
    if (fastest->throttle > quarterSpeed) {
        const double factor = fastest->throttle > halfSpeed ? halfSpeed : quarterSpeed;
        return InterferenceAction { InterferenceAction::Kind::Throttle, fastest->key, factor };
    }
    const auto least = std::ranges::min_element(blamed, {}, &TaskLoad::progressSinceCheckpoint);
    return InterferenceAction { InterferenceAction::Kind::Evict, least->key, 0 };
}

std::optional<InterferenceAction> InterferenceLearner::relax(const std::vector<TaskLoad>& tasks)
{
    const auto slowest = std::ranges::min_element(tasks, {}, &TaskLoad::throttle);
    if (slowest == tasks.end() || slowest->throttle >= fullSpeed)
        return {};
    const double factor = slowest->throttle < halfSpeed ? halfSpeed : fullSpeed;
    return InterferenceAction { InterferenceAction::Kind::Throttle, slowest->key, factor };
}

std::vector<InterferenceReport> InterferenceLearner::takeChanged()
{
    std::vector<InterferenceReport> changed;
    for (auto& [pair, score] : m_scores) {
        if (std::abs(score.value - score.reported) < reportStep)
            continue;
        score.reported = score.value;
        changed.push_back({ pair.first, pair.second, score.value });
    }
    return changed;
}

} // namespace hemlocklead
