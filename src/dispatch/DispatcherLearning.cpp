#include "base/Log.h"
#include "dispatch/Dispatcher.h"

#include <algorithm>

namespace hemlocklead::dispatch {

namespace {

    /// The clocks of two entries differ by less.
    constexpr Duration maxTimeAhead { 5000 };

} // namespace

void Dispatcher::ignoreLearnedState(std::string_view reason)
{
    m_counters.add("learned_state_ignored");
    LogEvent(LogLevel::Info, "learned_state_ignored").field("reason", reason);
}

void Dispatcher::adoptLearnedState()
{
    if (!m_settings.keepLearnedState)
        return;
    const Instant now = m_clock.now();
    m_learnedSchedule.start({}, Duration { 0 }, now);
    const std::optional<LearnedRecord>& record = m_registry.learnedRecord();
    if (!record)
        return ignoreLearnedState("absent");
    if (record->epoch > m_writer.epoch())
        return ignoreLearnedState("later_epoch");
    std::optional<learning::LearnedState> state = learning::decode(record->value);
    if (!state)
        return ignoreLearnedState("unreadable");
    const Duration ageByTime { m_wallClock.unixMs() - state->writtenMs };
    // A clock that has been set back does not make the record younger than the time since this entry read it.
    const Duration age = std::max(ageByTime, now - record->readAt);
    const bool isFadingValid = ageByTime >= -maxTimeAhead && age <= learning::maxFadingAge;
    // A record whose time is wrong may have any age.
    const Duration varianceAge = isFadingValid ? age : std::max(age, learning::maxFadingAge);
    m_interference.importPairs(state->pairs, varianceAge, now);
    m_durations.importFrom(state->durations);
    if (isFadingValid)
        adoptFadingState(*state, age);
    m_counters.add("learned_state_adopted");
    LogEvent(LogLevel::Info, "learned_state_adopted")
        .field("record_epoch", record->epoch)
        .field("age_ms", static_cast<int64_t>(ageByTime.count()))
        .field("fading", isFadingValid ? 1 : 0)
        .field("pairs", static_cast<uint64_t>(state->pairs.size()))
        .field("durations", static_cast<uint64_t>(state->durations.size()))
        .field("baselines", static_cast<uint64_t>(state->baselines.size()))
        .field("accounts", static_cast<uint64_t>(state->accounts.size()))
        .field("ejections", static_cast<uint64_t>(state->ejections.size()));
    m_learnedSchedule.start(std::move(*state), varianceAge, now);
}

void Dispatcher::adoptFadingState(learning::LearnedState state, Duration age)
{
    const Instant now = m_clock.now();
    const auto hasEnded = [this](const auto& row) { return !m_openJobs.contains(row.job); };
    std::erase_if(state.baselines, hasEnded);
    std::erase_if(state.accounts, hasEnded);
    m_interference.importBaselines(state.baselines, age, now);
    m_serviceLevels.importAccounts(state.accounts);
    for (const learning::EjectedHost& row : state.ejections) {
        if (m_hosts.find(row.host))
            m_ejector.adopt(row.host, row.remaining - age, m_hosts.hosts().size(), now);
    }
}

learning::LearnedState Dispatcher::learnedState() const
{
    const Instant now = m_clock.now();
    learning::LearnedState state;
    state.epoch = m_writer.epoch();
    state.writtenMs = m_wallClock.unixMs();
    m_interference.exportTo(state, now);
    m_durations.exportTo(state);
    m_serviceLevels.exportTo(state);
    for (const auto& [host, remaining] : m_ejector.ejections(now))
        state.ejections.push_back({ host, remaining });
    return state;
}

bool Dispatcher::hasOpenLongRunningJob() const
{
    return std::ranges::any_of(m_openJobs, [this](const std::string& id) {
        const Job* job = m_registry.find(id);
        return job && std::ranges::any_of(job->spec().steps, &StepSpec::longRunning);
    });
}

void Dispatcher::recordLearnedState(std::vector<JournalRecord>& records)
{
    const Instant now = m_clock.now();
    if (!m_settings.keepLearnedState)
        return;
    if (m_learnedSchedule.isCheckDue(now))
        m_learnedSchedule.check(learnedState(), hasOpenLongRunningJob(), now);
    if (!m_learnedSchedule.isDue(!records.empty(), now))
        return;
    learning::LearnedState state = learnedState();
    std::string value = learning::encode(state);
    m_counters.add("learned_state_records");
    m_counters.add("learned_state_bytes", static_cast<int64_t>(value.size()));
    records.push_back({ std::string(learnedKey), std::move(value), 0 });
    m_learnedSchedule.noteRecorded(std::move(state), now);
}

} // namespace hemlocklead::dispatch
