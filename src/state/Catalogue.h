#pragma once

#include "base/Clock.h"
#include "state/Resources.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace hemlocklead {

/// Class of a catalogue entry. Its values have the names that operators use.
enum class WorkClass : uint8_t {
    AnswerNow, ///< Requests that a caller waits for.
    CanWait, ///< Batch jobs.
    StandingWatch, ///< Tasks that run until cancelled.
};

NLOHMANN_JSON_SERIALIZE_ENUM(WorkClass,
    { { WorkClass::AnswerNow, "answer-now" }, { WorkClass::CanWait, "can-wait" },
        { WorkClass::StandingWatch, "standing watch" } })

/// What the work of a catalogue entry may use.
struct Limits {
    Resources perTask { 1000, 1024, 0 }; ///< Reservation of one task (can-wait, standing watch).
    Resources teamQuota { 0, 0, 0 }; ///< Most that the team's tasks of this entry reserve together; 0 means no limit.
    int64_t maxRunning { 0 }; ///< Most tasks of this entry running at once; 0 means no limit.
    int64_t maxQueuedTasks { 100'000 }; ///< Most tasks of this entry waiting; more are refused.
    int64_t maxAttempts { 5 }; ///< Failed attempts before a can-wait task counts as failed.
    int64_t maxInFlight { 256 }; ///< Requests in flight per entry process (answer-now).
    int64_t maxQueued { 512 }; ///< Requests that wait in an entry process (answer-now).
    Duration timeoutMs { 2000 }; ///< Deadline of a request whose caller states none (answer-now).
    bool urgent { false }; ///< Placed before other tasks, and may evict can-wait tasks.

    bool operator==(const Limits&) const = default;
};

/// One owner's entry for a name.
struct CatalogueEntry {
    std::string owner; ///< Who published it, for example `product` or `operations`.
    std::string team; ///< Team whose quota the work uses.
    std::string service; ///< Service that targets announce; the entry's name when empty (answer-now).
    WorkClass workClass { WorkClass::CanWait };
    Limits limits;

    bool operator==(const CatalogueEntry&) const = default;
};

/// All that the catalogue holds under one name.
struct CatalogueItem {
    std::string name;
    uint64_t version { 0 }; ///< Grows by one with each applied edit.
    std::string governingOwner; ///< Owner whose entry is in force.
    std::vector<CatalogueEntry> entries; ///< At most one per owner, in the order of first publication.

    bool operator==(const CatalogueItem&) const = default;

    /// The entry in force, or null when the governing owner has none.
    const CatalogueEntry* governing() const;

    /// The entry of `owner`, or null.
    const CatalogueEntry* entryOf(std::string_view owner) const;
};

/// State of one data centre.
struct DataCentre {
    std::string name;
    uint64_t version { 0 };
    bool out { false }; ///< Taken out: nothing may start there.

    bool operator==(const DataCentre&) const = default;
};

/// Parses the body of a catalogue edit. Fails with `InvalidRequest` on an unknown field, a wrong type, a missing owner
/// or team, or a limit below zero; the message names the field.
Result<CatalogueEntry> parseCatalogueEntry(const Json& json);

/// Like `parseCatalogueEntry`, but skips unknown fields: a newer version may have written the record.
Result<CatalogueEntry> parseRecordedEntry(const Json& json);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    Limits, perTask, teamQuota, maxRunning, maxQueuedTasks, maxAttempts, maxInFlight, maxQueued, timeoutMs, urgent)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CatalogueEntry, owner, team, service, workClass, limits)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CatalogueItem, name, version, governingOwner, entries)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(DataCentre, name, version, out)

} // namespace hemlocklead
