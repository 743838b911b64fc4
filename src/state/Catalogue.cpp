#include "state/Catalogue.h"

#include <algorithm>
#include <array>
#include <span>

namespace hemlocklead {

namespace {

    /// Upper bound of every limit; the sum of a million such limits still fits in 64 bits.
    constexpr int64_t maxLimit = 1'000'000'000'000;

    constexpr std::array<std::string_view, 5> entryFields { "owner", "team", "service", "workClass", "limits" };
    constexpr std::array<std::string_view, 3> resourceFields { "cpuMilli", "memoryMib", "accelerators" };
    constexpr std::array<std::string_view, 2> resourceLimits { "perTask", "teamQuota" };
    constexpr std::array<std::string_view, 6> numberLimits { "maxRunning", "maxQueuedTasks", "maxAttempts",
        "maxInFlight", "maxQueued", "timeoutMs" };
    constexpr std::string_view urgentField = "urgent";

    /// How to treat a field that this version does not know: reject it in an operator's edit, skip it in a record,
    /// which a newer version may have written.
    enum class UnknownFields : uint8_t { Reject, Skip };

    bool contains(std::span<const std::string_view> names, std::string_view name)
    {
        return std::ranges::find(names, name) != names.end();
    }

    boost::leaf::error_id invalid(std::string_view field, std::string_view problem)
    {
        return fail(ErrorKind::InvalidRequest, std::string(field) + ": " + std::string(problem));
    }

    Result<void> unknownField(const std::string& field, UnknownFields policy)
    {
        if (policy == UnknownFields::Reject)
            return invalid(field, "unknown field");
        return {};
    }

    Result<void> checkLimit(const std::string& field, const Json& value)
    {
        if (!value.is_number_integer())
            return invalid(field, "must be a whole number");
        if (value.is_number_unsigned() ? value.get<uint64_t>() > maxLimit : value.get<int64_t>() < 0)
            return invalid(field, "must be from 0 to " + std::to_string(maxLimit));
        return {};
    }

    Result<void> checkResources(const std::string& field, const Json& value, UnknownFields policy)
    {
        if (!value.is_object())
            return invalid(field, "must be an object");
        for (const auto& [name, amount] : value.items()) {
            std::string path = field;
            path.append(".").append(name);
            if (contains(resourceFields, name)) {
                BOOST_LEAF_CHECK(checkLimit(path, amount));
            } else {
                BOOST_LEAF_CHECK(unknownField(path, policy));
            }
        }
        return {};
    }

    Result<void> checkLimits(const Json& limits, UnknownFields policy)
    {
        if (!limits.is_object())
            return invalid("limits", "must be an object");
        for (const auto& [name, value] : limits.items()) {
            const std::string path = "limits." + name;
            if (contains(resourceLimits, name)) {
                BOOST_LEAF_CHECK(checkResources(path, value, policy));
            } else if (contains(numberLimits, name)) {
                BOOST_LEAF_CHECK(checkLimit(path, value));
            } else if (name != urgentField) {
                BOOST_LEAF_CHECK(unknownField(path, policy));
            } else if (!value.is_boolean()) {
                return invalid(path, "must be true or false");
            }
        }
        return {};
    }

    Result<void> checkWorkClass(const Json& value)
    {
        if (Json(value.get<WorkClass>()) != value)
            return invalid("workClass", "must be answer-now, can-wait or standing watch");
        return {};
    }

    Result<void> checkField(const std::string& name, const Json& value, UnknownFields policy)
    {
        if (!contains(entryFields, name))
            return unknownField(name, policy);
        if (name == "limits")
            return checkLimits(value, policy);
        if (!value.is_string())
            return invalid(name, "must be a text");
        if (name == "workClass")
            return checkWorkClass(value);
        return {};
    }

    Result<CatalogueEntry> parseEntry(const Json& json, UnknownFields policy)
    {
        if (!json.is_object())
            return invalid("entry", "must be an object");
        for (const auto& [name, value] : json.items())
            BOOST_LEAF_CHECK(checkField(name, value, policy));
        BOOST_LEAF_AUTO(entry, fromJson<CatalogueEntry>(json));
        if (entry.owner.empty())
            return invalid("owner", "missing");
        if (entry.team.empty())
            return invalid("team", "missing");
        return entry;
    }

} // namespace

const CatalogueEntry* CatalogueItem::governing() const { return entryOf(governingOwner); }

const CatalogueEntry* CatalogueItem::entryOf(std::string_view owner) const
{
    const auto found = std::ranges::find(entries, owner, &CatalogueEntry::owner);
    return found == entries.end() ? nullptr : &*found;
}

Result<CatalogueEntry> parseCatalogueEntry(const Json& json) { return parseEntry(json, UnknownFields::Reject); }

Result<CatalogueEntry> parseRecordedEntry(const Json& json) { return parseEntry(json, UnknownFields::Skip); }

} // namespace hemlocklead
