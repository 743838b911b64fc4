#pragma once

#include "learning/LearnedState.h"

namespace hemlocklead::learning {

/// Decides when the owner records its learned state.
class RecordSchedule {
public:
    struct Settings {
        Duration minInterval { 2000 }; ///< Shortest time between two records.
        Duration checkInterval { 500 }; ///< Comparing the state costs more than a cycle without changes.
        Duration maxBatchDelay { 500 }; ///< A due record waits this long for an append with other records.

        /// A record that does not change is repeated after this, so that it is never older than `maxFadingAge`.
        Duration refreshInterval { 30'000 };
    };

    explicit RecordSchedule(Settings settings);

    /// Starts with `recorded` as the newest record, `age` old.
    void start(LearnedState recorded, Duration age, Instant now);

    /// Whether check() is due.
    bool isCheckDue(Instant now) const;

    /// Compares the state with the newest record. With `mustStayFresh` the record is due even without a change once it
    /// is `refreshInterval` old.
    void check(const LearnedState& state, bool mustStayFresh, Instant now);

    /// Whether the record is due, either in an append `withOthers` or in one of its own.
    bool isDue(bool withOthers, Instant now) const;

    /// The state has been handed to the journal.
    void noteRecorded(LearnedState state, Instant now);

private:
    Settings m_settings;
    LearnedState m_recorded;
    Instant m_recordedAt {};
    Instant m_checkedAt {};
    std::optional<Instant> m_dueSince;
};

} // namespace hemlocklead::learning
