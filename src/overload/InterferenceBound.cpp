#include "overload/InterferenceBound.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <iterator>
#include <numeric>
#include <utility>

namespace hemlocklead::overload {

namespace {

    using Bound = InterferenceBound;

    /// A run that uses less headroom than this is not paused, since a pause would free next to nothing.
    constexpr double minHeadroom = 0.01;

    /// Advantage of a run that is paused already. Without it, runs of equal use would take turns as estimates vary.
    constexpr double pausedPreference = 1.25;

    double slowed(const Bound::Group& group) { return std::max(group.slowedNow, group.slowedExpected); }

    bool isOverLimit(const Bound::Job& job, double limit)
    {
        return job.slowedNow > limit || job.slowedExpected > limit;
    }

    /// The choice of pauses in one step.
    class PauseChoice {
    public:
        /// `limits` has the most slowed tasks of each job.
        PauseChoice(std::span<const Bound::Host> hosts, std::vector<Bound::Job> jobs, std::vector<double> limits,
            uint32_t maxNewPauses)
            : m_hosts(hosts)
            , m_jobs(std::move(jobs))
            , m_limits(std::move(limits))
            , m_newPausesLeft(maxNewPauses)
            , m_isChosen(hosts.size())
            , m_hasPaused(hosts.size())
        {
            for (size_t host = 0; host < hosts.size(); ++host)
                m_hasPaused[host] = std::ranges::any_of(hosts[host].runs, &Bound::Run::isPaused);
            findPlaces();
        }

        /// Pauses runs for the job until it is within its bound, those that use most of its headroom first.
        void pauseFor(uint32_t job)
        {
            if (!isOver(job))
                return;
            std::vector<Candidate> candidates;
            const size_t firstPlace = job == 0 ? 0 : m_placesEnd[job - 1];
            for (size_t place = firstPlace; place < m_placesEnd[job]; ++place)
                addCandidates(m_places[place], candidates);
            std::ranges::sort(candidates, std::greater {}, &Candidate::use);
            for (const Candidate& candidate : candidates) {
                if (!isOver(job))
                    return;
                pause(candidate, job);
            }
        }

        std::vector<Bound::Pause> take() { return std::move(m_pauses); }

    private:
        /// A group by its indices.
        struct Place {
            size_t host { 0 };
            size_t group { 0 };
        };

        /// A run on a host where a job over its bound is slowed.
        struct Candidate {
            size_t host { 0 };
            size_t run { 0 };
            double use { 0 }; ///< Headroom that it uses of the job's slowed tasks.
        };

        bool isOver(uint32_t job) const { return isOverLimit(m_jobs[job], m_limits[job]); }

        template <typename Visit> void forEachPlace(Visit visit) const
        {
            for (size_t host = 0; host < m_hosts.size(); ++host) {
                if (m_hosts[host].runs.empty())
                    continue;
                const std::vector<Bound::Group>& groups = m_hosts[host].groups;
                for (size_t group = 0; group < groups.size(); ++group) {
                    if (slowed(groups[group]) > 0)
                        visit(groups[group].job, Place { host, group });
                }
            }
        }

        /// Orders the groups with slowed tasks by job.
        void findPlaces()
        {
            std::vector<size_t> next(m_jobs.size() + 1);
            forEachPlace([&](uint32_t job, const Place&) { ++next[job + 1]; });
            std::partial_sum(next.begin(), next.end(), next.begin());
            m_places.resize(next.back());
            forEachPlace([&](uint32_t job, const Place& place) { m_places[next[job]++] = place; });
            m_placesEnd = std::move(next);
        }

        void addCandidates(const Place& place, std::vector<Candidate>& candidates) const
        {
            if (m_newPausesLeft == 0 && !m_hasPaused[place.host])
                return;
            const Bound::Host& host = m_hosts[place.host];
            const double slowedTasks = slowed(host.groups[place.group]);
            for (size_t run = 0; run < host.runs.size(); ++run) {
                const Bound::Run& candidate = host.runs[run];
                assert(candidate.headroom.size() == host.groups.size());
                const double headroom = candidate.headroom[place.group];
                if (headroom < minHeadroom || (m_newPausesLeft == 0 && !candidate.isPaused))
                    continue;
                const double preference = candidate.isPaused ? pausedPreference : 1;
                candidates.push_back({ place.host, run, headroom * slowedTasks * preference });
            }
        }

        void pause(const Candidate& candidate, uint32_t job)
        {
            const Bound::Host& host = m_hosts[candidate.host];
            std::vector<bool>& isChosen = m_isChosen[candidate.host];
            isChosen.resize(host.runs.size());
            if (isChosen[candidate.run])
                return;
            if (!host.runs[candidate.run].isPaused) {
                if (m_newPausesLeft == 0)
                    return;
                --m_newPausesLeft;
            }
            for (size_t group = 0; group < host.groups.size(); ++group) {
                const double before = relievedShare(candidate.host, group, isChosen);
                isChosen[candidate.run] = true;
                const double relieved = relievedShare(candidate.host, group, isChosen) - before;
                isChosen[candidate.run] = false;
                Bound::Job& affected = m_jobs[host.groups[group].job];
                affected.slowedNow -= relieved * host.groups[group].slowedNow;
                affected.slowedExpected -= relieved * host.groups[group].slowedExpected;
            }
            isChosen[candidate.run] = true;
            m_pauses.push_back({ candidate.host, candidate.run, job, Bound::maxHold });
        }

        /// Share of the group's slowed tasks that are not slowed any more while the chosen runs are paused.
        double relievedShare(size_t host, size_t group, const std::vector<bool>& isChosen) const
        {
            double freed = 0;
            for (size_t run = 0; run < isChosen.size(); ++run)
                freed += isChosen[run] ? m_hosts[host].runs[run].headroom[group] : 0;
            const double missing = m_hosts[host].groups[group].missingHeadroom;
            return freed > 0 ? freed / std::max(missing, freed) : 0;
        }

        std::span<const Bound::Host> m_hosts;
        std::vector<Bound::Job> m_jobs; ///< With the pauses chosen so far.
        std::vector<double> m_limits; ///< By job.
        uint32_t m_newPausesLeft;
        std::vector<std::vector<bool>> m_isChosen; ///< By host and run.
        std::vector<bool> m_hasPaused; ///< By host: a run there is paused by an earlier decision.
        std::vector<Place> m_places; ///< By job.
        std::vector<size_t>
            m_placesEnd; ///< By job: end of its places in `m_places`, which is where the next one's begin.
        std::vector<Bound::Pause> m_pauses;
    };

} // namespace

InterferenceBound::InterferenceBound(Settings settings)
    : m_settings(settings)
{
    m_settings.percent = std::min(m_settings.percent, maxPercent);
}

void InterferenceBound::update(std::vector<Job> jobs)
{
    m_jobs = std::move(jobs);
    m_placed.assign(m_jobs.size(), 0);
}

bool InterferenceBound::isOver(const Job& job) const { return isOverLimit(job, limitOf(job)); }

double InterferenceBound::excess(std::span<const Effect> effects) const
{
    double sum = 0;
    if (!isOn())
        return sum;
    for (const Effect& effect : effects) {
        const Job& job = m_jobs[effect.job];
        const double after = std::max(job.slowedNow, job.slowedExpected) + m_placed[effect.job] + effect.tasks;
        // What a job exceeds its bound by anyway does not count against the placement.
        const double beyond = std::min(effect.tasks, after - limitOf(job));
        if (effect.tasks >= m_settings.minEffect && beyond > 0)
            sum += beyond;
    }
    return sum;
}

void InterferenceBound::notePlaced(std::span<const Effect> effects)
{
    for (const Effect& effect : effects)
        m_placed[effect.job] += effect.tasks;
}

std::vector<InterferenceBound::Pause> InterferenceBound::choosePauses(std::span<const Host> hosts) const
{
    std::vector<std::pair<double, uint32_t>> over;
    for (uint32_t job = 0; job < m_jobs.size(); ++job) {
        if (isOver(job))
            over.emplace_back(std::max(m_jobs[job].slowedNow, m_jobs[job].slowedExpected) / m_jobs[job].tasks, job);
    }
    if (over.empty())
        return {};
    std::ranges::sort(over, std::greater {});
    std::vector<double> limits;
    limits.reserve(m_jobs.size());
    std::ranges::transform(m_jobs, std::back_inserter(limits), [this](const Job& job) { return limitOf(job); });
    PauseChoice choice(hosts, m_jobs, std::move(limits), m_settings.maxNewPauses);
    for (const auto& [share, job] : over)
        choice.pauseFor(job);
    return choice.take();
}

} // namespace hemlocklead::overload
