#include "learning/HostSpeeds.h"

#include <algorithm>
#include <cmath>

namespace hemlocklead::learning {

namespace {

    /// Limits the effect of one run whose duration says little about its host, such as one whose input is unusual.
    constexpr double minRunSpeed = 0.1;
    constexpr double maxRunSpeed = 1.5;

    /// Tasks of a step are equal, so one of them is enough to compare with. Tasks of an image differ among jobs.
    constexpr size_t minComparedTasksOfStep = 1;
    constexpr size_t minComparedTasksOfImage = 3;

    constexpr Duration sampleCheckInterval { 1000 };

} // namespace

HostSpeeds::HostSpeeds(Settings settings)
    : m_settings(settings)
{
}

void HostSpeeds::noteRun(const EndedRun& run, Instant now)
{
    if (run.expected <= Duration { 0 } || run.measured <= Duration { 0 })
        return;
    const double ratio = static_cast<double>(run.expected.count()) / static_cast<double>(run.measured.count());
    if (const auto elsewhere = ratioElsewhere(run, now))
        addEvidence(run, std::clamp(ratio / *elsewhere, minRunSpeed, maxRunSpeed), now);
    addSample(run, ratio, now);
}

std::optional<double> HostSpeeds::ratioElsewhere(const EndedRun& run, Instant now) const
{
    std::optional<double> ofStep;
    std::optional<double> ofImage;
    if (const auto found = m_stepSamples.find({ run.job, run.step }); found != m_stepSamples.end())
        ofStep = medianElsewhere(found->second, run.host, minComparedTasksOfStep, now);
    if (const auto found = m_imageSamples.find(run.image); found != m_imageSamples.end())
        ofImage = medianElsewhere(found->second, run.host, minComparedTasksOfImage, now);
    // A run is the host's fault only if it is slow compared with both.
    return ofStep && ofImage ? std::min(*ofStep, *ofImage) : ofStep ? ofStep : ofImage;
}

std::optional<double> HostSpeeds::medianElsewhere(
    const Samples& samples, const std::string& host, size_t minimum, Instant now) const
{
    std::vector<double> ratios;
    for (const Sample& sample : samples) {
        if (sample.host != host && now - sample.at < m_settings.forgetTime)
            ratios.push_back(sample.ratio);
    }
    if (ratios.size() < minimum)
        return std::nullopt;
    const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
    std::ranges::nth_element(ratios, middle);
    return *middle;
}

void HostSpeeds::addSample(const EndedRun& run, double ratio, Instant now)
{
    const auto add = [&](Samples& samples) {
        samples.push_back({ run.host, ratio, now });
        if (samples.size() > m_settings.comparedRuns)
            samples.pop_front();
    };
    add(m_stepSamples[{ run.job, run.step }]);
    if (!run.image.empty())
        add(m_imageSamples[run.image]);
}

void HostSpeeds::addEvidence(const EndedRun& run, double speed, Instant now)
{
    Record& record = m_hosts[run.host];
    const double valid = validity(record, now);
    record.runs = std::min(record.runs * valid + 1, m_settings.smoothedRuns);
    const double former = speedOf(record, now);
    record.speed = former + (speed - former) / record.runs;
    record.evidenceAt = now;
    if (valid == 0 || record.speed > m_settings.recoveredAbove) {
        record.slowRuns = 0;
        record.slowJobs.clear();
    }
    if (speed >= m_settings.slowBelow)
        return;
    ++record.slowRuns;
    if (!hasSlowJobs(record))
        record.slowJobs.insert(run.job);
}

double HostSpeeds::validity(const Record& record, Instant now) const
{
    const Duration age = now - record.evidenceAt;
    if (age >= m_settings.forgetTime)
        return 0;
    const auto left = static_cast<double>((m_settings.forgetTime - age).count());
    return std::min(left / static_cast<double>((m_settings.forgetTime - m_settings.keepTime).count()), 1.0);
}

double HostSpeeds::speedOf(const Record& record, Instant now) const
{
    return 1 - (1 - record.speed) * validity(record, now);
}

bool HostSpeeds::appearsSlow(const Record& record, Instant now) const
{
    return speedOf(record, now) < m_settings.slowBelow && hasSlowJobs(record);
}

std::vector<HostSpeeds::Change> HostSpeeds::update(size_t hosts, Instant now)
{
    std::vector<Change> changes;
    std::vector<std::pair<double, std::map<std::string, Record>::iterator>> candidates;
    size_t slow = 0;
    for (auto host = m_hosts.begin(); host != m_hosts.end();) {
        Record& record = host->second;
        const double speed = speedOf(record, now);
        if (record.isSlow && speed > m_settings.recoveredAbove) {
            record.isSlow = false;
            changes.push_back({ host->first, false, speed });
        }
        slow += record.isSlow ? 1 : 0;
        if (!record.isSlow && record.slowRuns >= m_settings.minSlowRuns && appearsSlow(record, now))
            candidates.emplace_back(speed, host);
        host = validity(record, now) > 0 ? std::next(host) : m_hosts.erase(host);
    }
    std::ranges::sort(candidates, {}, [](const auto& candidate) { return candidate.first; });
    for (const auto& [speed, host] : candidates) {
        if ((slow + 1) * m_settings.maxSlowDivisor > hosts)
            break;
        ++slow;
        host->second.isSlow = true;
        changes.push_back({ host->first, true, speed });
    }
    removeOldSamples(now);
    return changes;
}

void HostSpeeds::removeOldSamples(Instant now)
{
    if (now - m_samplesCheckedAt < sampleCheckInterval)
        return;
    m_samplesCheckedAt = now;
    const auto isOld = [&](const auto& entry) { return now - entry.second.back().at >= m_settings.forgetTime; };
    std::erase_if(m_stepSamples, isOld);
    std::erase_if(m_imageSamples, isOld);
}

std::map<std::string, double> HostSpeeds::slowHosts(Instant now) const
{
    std::map<std::string, double> result;
    for (const auto& [host, record] : m_hosts) {
        if (record.isSlow)
            result.emplace(host, std::min(speedOf(record, now), 1.0));
    }
    return result;
}

bool HostSpeeds::isNormal(const std::string& host, Instant now) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() || (!found->second.isSlow && !appearsSlow(found->second, now));
}

} // namespace hemlocklead::learning
