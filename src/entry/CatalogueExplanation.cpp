#include "entry/CatalogueExplanation.h"

#include <algorithm>

namespace hemlocklead {

namespace {

    /// Beginning of the summary that the history holds for a move of the governing role.
    constexpr std::string_view governSummaryPrefix = "governing role moved to ";

    std::string explainGoverningOwner(const CatalogueItem& item, const std::vector<AppliedEdit>& history)
    {
        const auto isMove = [](const AppliedEdit& note) { return note.summary.starts_with(governSummaryPrefix); };
        const auto move = std::find_if(history.rbegin(), history.rend(), isMove);
        if (move != history.rend())
            return move->by + " moved the governing role to " + item.governingOwner + " in version "
                + std::to_string(move->version);
        if (!history.empty() && history.front().version == 1)
            return item.governingOwner + " was the first owner that published the name";
        return item.governingOwner + " has governed since before the kept history";
    }

    /// Turns the JSON pointer `/limits/perTask/cpuMilli` into `limits.perTask.cpuMilli`.
    std::string fieldName(std::string pointer)
    {
        std::ranges::replace(pointer, '/', '.');
        return pointer.substr(1);
    }

    /// Fields of `other` with a value that differs from the one in force, except for the owner.
    Json differences(const CatalogueEntry* governing, const CatalogueEntry& other)
    {
        Json differs = Json::array();
        const Json inForce = governing ? Json(*governing).flatten() : Json::object();
        const Json flattened = Json(other).flatten();
        for (const auto& [pointer, value] : flattened.items()) {
            const Json current = inForce.value(pointer, Json());
            if (pointer != "/owner" && current != value)
                differs.push_back({ { "field", fieldName(pointer) }, { "in_force", current }, { "entry", value } });
        }
        return differs;
    }

} // namespace

Json explainItem(const CatalogueItem& item, const std::vector<AppliedEdit>& history)
{
    const CatalogueEntry* governing = item.governing();
    Json others = Json::array();
    for (const CatalogueEntry& entry : item.entries) {
        if (&entry != governing)
            others.push_back(
                { { "owner", entry.owner }, { "entry", entry }, { "differs", differences(governing, entry) } });
    }
    return { { "name", item.name }, { "version", item.version }, { "governing_owner", item.governingOwner },
        { "why", explainGoverningOwner(item, history) }, { "in_force", governing ? Json(*governing) : Json() },
        { "not_in_force", others } };
}

} // namespace hemlocklead
