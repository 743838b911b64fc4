#include "coordination/InterferenceLearner.h"

#include <algorithm>
#include <cmath>

namespace hemlocklead {

namespace {

    /// Slowdown above which tasks are throttled, and below which throttling is reverted. The gap between the two is
    /// hysteresis: it keeps tasks from oscillating while a service is near the limit.
    constexpr double restrictAbove = 0.5;
    constexpr double restoreBelow = 0.2;

    /// Time in which an action becomes visible in latency and in the lagging usage reports.
    constexpr Duration minActionInterval { 3000 };

    /// A service without a latency sample for this long is ignored, because its latency is out of date.
    constexpr Duration latencyTtl { 10'000 };

    constexpr Duration latencyTimeConstant { 1000 }; ///< Time constant of the latency average.
    constexpr Duration baselineTimeConstant { 600'000 }; ///< Lets the baseline follow a lasting change of load.
    constexpr Duration scoreTimeConstant { 30'000 }; ///< Time constant of a score while its task runs.
    constexpr Duration scoreDecayTimeConstant { 3'600'000 }; ///< Decay of a score while its task does not run.

    constexpr double minReportedChange = 0.05; ///< Smaller changes of a score are not reported.
    constexpr double minActionScore = 0.02; ///< Tasks with a lower score are never throttled or evicted.
    constexpr double fullSpeed = 1;
    constexpr double halfSpeed = 0.5;
    constexpr double quarterSpeed = 0.25;

    /// Weight of a new sample in an exponential moving average, `elapsed` after the last one.
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

    bool isRunning(const std::vector<TaskLoad>& tasks, const std::string& name)
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
    Service& entry = found->second;
    const Duration elapsed = std::max(now - entry.notedAt, Duration { 1 });
    entry.latencyUs += weight(elapsed, latencyTimeConstant) * (latency - entry.latencyUs);
    entry.baselineUs += weight(elapsed, baselineTimeConstant) * (entry.latencyUs - entry.baselineUs);
    entry.baselineUs = std::min(entry.baselineUs, entry.latencyUs);
    entry.notedAt = now;
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
    if (m_actedAt && now - *m_actedAt < minActionInterval)
        return {};
    const double worst = worstSlowdown(now);
    std::optional<InterferenceAction> action;
    if (worst > restrictAbove)
        action = throttleOrEvict(tasks);
    else if (worst < restoreBelow)
        action = restoreSpeed(tasks);
    if (action)
        m_actedAt = now;
    return action;
}

void InterferenceLearner::learn(const std::vector<TaskLoad>& tasks, Instant now)
{
    const Duration elapsed = m_learnedAt ? now - *m_learnedAt : Duration { 0 };
    m_learnedAt = now;
    for (auto& [pair, score] : m_scores) {
        if (!isRunning(tasks, pair.second))
            score.value *= 1 - weight(elapsed, scoreDecayTimeConstant);
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
            value += weight(elapsed, scoreTimeConstant) * (slow * share - value);
        }
    }
}

double InterferenceLearner::score(const std::string& service, const std::string& task) const
{
    const auto found = m_scores.find({ service, task });
    return found == m_scores.end() ? 0 : found->second.value;
}

double InterferenceLearner::highestScore(const TaskLoad& task) const
{
    double worst = 0;
    for (const auto& [pair, score] : m_scores) {
        if (pair.second == task.name)
            worst = std::max(worst, score.value);
    }
    return worst;
}

std::optional<InterferenceAction> InterferenceLearner::throttleOrEvict(const std::vector<TaskLoad>& tasks) const
{
    std::vector<TaskLoad> restrictable;
    std::ranges::copy_if(tasks, std::back_inserter(restrictable),
        [&](const TaskLoad& task) { return highestScore(task) >= minActionScore; });
    if (restrictable.empty())
        return {};
    const bool onlyWatches = std::ranges::all_of(restrictable, [](const TaskLoad& task) { return task.watch; });
    std::erase_if(restrictable, [&](const TaskLoad& task) { return task.watch && !onlyWatches; });

    const auto fastest = std::ranges::max_element(restrictable, [&](const TaskLoad& a, const TaskLoad& b) {
        return std::pair(a.throttle, highestScore(a) * static_cast<double>(a.cpuMilli))
            < std::pair(b.throttle, highestScore(b) * static_cast<double>(b.cpuMilli));
    });
    if (fastest->throttle > quarterSpeed) {
        const double factor = fastest->throttle > halfSpeed ? halfSpeed : quarterSpeed;
        return InterferenceAction { InterferenceAction::Kind::Throttle, fastest->key, factor };
    }
    const auto least = std::ranges::min_element(restrictable, {}, &TaskLoad::progressSinceCheckpoint);
    return InterferenceAction { InterferenceAction::Kind::Evict, least->key, 0 };
}

std::optional<InterferenceAction> InterferenceLearner::restoreSpeed(const std::vector<TaskLoad>& tasks)
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
        if (std::abs(score.value - score.reported) < minReportedChange)
            continue;
        score.reported = score.value;
        changed.push_back({ pair.first, pair.second, score.value });
    }
    return changed;
}

} // namespace hemlocklead
