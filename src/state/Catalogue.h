#pragma once

#include "base/Clock.h"
#include "state/Resources.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace hemlocklead {

/// Class of the work that a catalogue entry describes. The JSON values are the names that operators use.
enum class WorkClass : uint8_t {
    AnswerNow, ///< Requests for which a caller waits.
    CanWait, ///< Batch jobs.
    StandingWatch, ///< Tasks that run until cancelled.
};

NLOHMANN_JSON_SERIALIZE_ENUM(WorkClass,
    { { WorkClass::AnswerNow, "answer-now" }, { WorkClass::CanWait, "can-wait" },
        { WorkClass::StandingWatch, "standing watch" } })

/// Resource and admission limits for the work of a catalogue entry.
struct Limits {
    Resources perTask { 1000, 1024, 0 }; ///< Resources reserved by one task (can-wait, standing watch).
    Resources teamQuota { 0, 0, 0 }; ///< Maximum total reservation of the team's tasks of this entry; 0: no limit.
    int64_t maxRunning { 0 }; ///< Maximum concurrently running tasks of this entry; 0 means no limit.
    int64_t maxQueuedTasks { 100'000 }; ///< Maximum waiting tasks of this entry; further tasks are refused.
    int64_t maxAttempts { 5 }; ///< Failed attempts after which a can-wait task fails.
    int64_t maxInFlight { 256 }; ///< Maximum requests in flight per entry process (answer-now).
    int64_t maxQueued { 512 }; ///< Maximum requests queued in an entry process (answer-now).
    Duration timeoutMs { 2000 }; ///< Timeout in ms of a request whose caller sets none (answer-now).
    bool urgent { false }; ///< Placed before other tasks; may evict can-wait tasks.

    bool operator==(const Limits&) const = default;
};

/// The entry that one owner published under a catalogue name.
struct CatalogueEntry {
    std::string owner; ///< Publisher of the entry, for example `product` or `operations`.
    std::string team; ///< Team to whose quota the work is charged.
    std::string service; ///< Service name that targets announce (answer-now); empty: the entry's name.
    WorkClass workClass { WorkClass::CanWait };
    Limits limits;

    bool operator==(const CatalogueEntry&) const = default;
};

/// All entries of one catalogue name.
struct CatalogueItem {
    std::string name;
    uint64_t version { 0 }; ///< Incremented by each applied edit.
    std::string governingOwner; ///< Owner whose entry is in force.
    std::vector<CatalogueEntry> entries; ///< At most one per owner, ordered by first publication.

    bool operator==(const CatalogueItem&) const = default;

    /// The entry in force, or null when the governing owner has none.
    const CatalogueEntry* governing() const;

    /// The entry that `owner` published, or null.
    const CatalogueEntry* entryOf(std::string_view owner) const;
};

/// State of one data centre.
struct DataCentre {
    std::string name;
    uint64_t version { 0 }; ///< Incremented by each applied edit.
    bool out { false }; ///< Taken out of service: no work may start there.

    bool operator==(const DataCentre&) const = default;
};

/// Parses the body of a catalogue edit. Fails with `InvalidRequest` on an unknown field, a wrong type, an unknown work
/// class, a missing owner or team, or a limit that is negative or too large; the message names the field.
Result<CatalogueEntry> parseCatalogueEntry(const Json& json);

/// Parses the entry of a log record: like `parseCatalogueEntry`, but skips unknown fields, since a newer version may
/// have written the record.
Result<CatalogueEntry> parseRecordedEntry(const Json& json);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    Limits, perTask, teamQuota, maxRunning, maxQueuedTasks, maxAttempts, maxInFlight, maxQueued, timeoutMs, urgent)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CatalogueEntry, owner, team, service, workClass, limits)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CatalogueItem, name, version, governingOwner, entries)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(DataCentre, name, version, out)

} // namespace hemlocklead
