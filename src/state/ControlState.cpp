#include "state/ControlState.h"

#include "state/RecordFields.h"

#include <algorithm>
#include <optional>

namespace hemlocklead {

namespace {

    constexpr size_t maxEditsPerName = 64;

    /// Prefix of the data centres' keys in the edit history, which they share with the catalogue names. Catalogue names
    /// contain no slash, so the keys cannot collide.
    constexpr std::string_view dataCentreHistoryPrefix = "datacentre/";

    bool isCatalogueName(const std::string* name) { return name && name->find('/') == std::string::npos; }

    /// Entry of a `catalogue_set` record; nullopt when it is malformed or its owner is not `owner`.
    std::optional<CatalogueEntry> entryField(const Json& record, std::string_view owner)
    {
        const auto found = record.find("entry");
        if (found == record.end())
            return std::nullopt;
        auto entry = orElse(
            [&]() -> Result<std::optional<CatalogueEntry>> {
                BOOST_LEAF_AUTO(parsed, parseRecordedEntry(*found));
                return parsed;
            },
            [](const Error&) { return std::optional<CatalogueEntry>(); });
        if (!entry || entry->owner != owner)
            return std::nullopt;
        return entry;
    }

    template <typename Map> auto* findValue(Map& map, std::string_view key)
    {
        const auto found = map.find(key);
        return found == map.end() ? nullptr : &found->second;
    }

    void setEntry(CatalogueItem& item, CatalogueEntry entry)
    {
        const auto found = std::ranges::find(item.entries, entry.owner, &CatalogueEntry::owner);
        if (found == item.entries.end())
            item.entries.push_back(std::move(entry));
        else
            *found = std::move(entry);
    }

} // namespace

FoldResult ControlState::fold(uint64_t offset, const Json& record)
{
    if (!record.is_object())
        return FoldResult::Malformed;
    const std::string* kind = textField(record, "kind");
    if (!kind)
        return FoldResult::Malformed;
    if (*kind == "catalogue_set")
        return foldSet(offset, record);
    if (*kind == "catalogue_govern")
        return foldGovern(offset, record);
    if (*kind == "datacentre_set")
        return foldDataCentre(offset, record);
    return FoldResult::Unknown;
}

FoldResult ControlState::foldSet(uint64_t offset, const Json& record)
{
    const std::string* name = nameField(record, "name");
    const std::string* owner = nameField(record, "owner");
    const auto base = numberField(record, "base_version");
    if (!isCatalogueName(name) || !owner || !base)
        return FoldResult::Malformed;
    auto entry = entryField(record, *owner);
    if (!entry)
        return FoldResult::Malformed;
    const CatalogueItem* current = item(*name);
    if (*base != (current ? current->version : 0))
        return FoldResult::Conflict;
    CatalogueItem& changed = m_items[*name];
    if (!current) {
        changed.name = *name;
        changed.governingOwner = *owner;
    }
    ++changed.version;
    setEntry(changed, std::move(*entry));
    m_itemOffsets[*name] = offset;
    appendToHistory(*name, { offset, *name, changed.version, *owner, "entry of " + *owner + " set" });
    return FoldResult::Applied;
}

FoldResult ControlState::foldGovern(uint64_t offset, const Json& record)
{
    const std::string* name = nameField(record, "name");
    const std::string* by = nameField(record, "by");
    const std::string* owner = nameField(record, "owner");
    const auto base = numberField(record, "base_version");
    if (!isCatalogueName(name) || !by || !owner || !base)
        return FoldResult::Malformed;
    CatalogueItem* current = findValue(m_items, *name);
    if (!current || *base != current->version)
        return FoldResult::Conflict;
    // The governing role could never be moved away from an owner without an entry, and the name would have no entry in
    // force.
    if (current->governingOwner != *by || !current->entryOf(*owner))
        return FoldResult::NotGoverning;
    current->governingOwner = *owner;
    ++current->version;
    m_itemOffsets[*name] = offset;
    appendToHistory(*name, { offset, *name, current->version, *by, "governing role moved to " + *owner });
    return FoldResult::Applied;
}

FoldResult ControlState::foldDataCentre(uint64_t offset, const Json& record)
{
    const std::string* name = nameField(record, "name");
    const std::string* state = textField(record, "state");
    const auto base = numberField(record, "base_version");
    if (!name || !state || !base || (*state != "in" && *state != "out"))
        return FoldResult::Malformed;
    const DataCentre* current = findValue(m_dataCentres, *name);
    if (*base != (current ? current->version : 0))
        return FoldResult::Conflict;
    DataCentre& changed = m_dataCentres[*name];
    changed.name = *name;
    changed.out = *state == "out";
    ++changed.version;
    m_dataCentreOffsets[*name] = offset;
    appendToHistory(std::string(dataCentreHistoryPrefix) + *name,
        { offset, *name, changed.version, textOrEmpty(record, "by"), "data centre " + *state });
    return FoldResult::Applied;
}

void ControlState::appendToHistory(const std::string& key, AppliedEdit edit)
{
    std::vector<AppliedEdit>& edits = m_history[key];
    if (edits.size() == maxEditsPerName)
        edits.erase(edits.begin());
    edits.push_back(std::move(edit));
}

void ControlState::advanceTo(uint64_t nextOffset) { m_nextOffset = std::max(m_nextOffset, nextOffset); }

const CatalogueItem* ControlState::item(std::string_view name) const { return findValue(m_items, name); }

bool ControlState::isOut(std::string_view dataCentre) const
{
    const DataCentre* current = findValue(m_dataCentres, dataCentre);
    return current && current->out;
}

std::vector<AppliedEdit> ControlState::history(std::string_view name) const
{
    const std::vector<AppliedEdit>* edits = findValue(m_history, name);
    return edits ? *edits : std::vector<AppliedEdit>();
}

ControlDelta ControlState::deltaSince(uint64_t offset) const
{
    ControlDelta delta;
    delta.through = m_nextOffset;
    for (const auto& [name, changedAt] : m_itemOffsets) {
        if (changedAt >= offset)
            delta.items.push_back(m_items.at(name));
    }
    for (const auto& [name, changedAt] : m_dataCentreOffsets) {
        if (changedAt >= offset)
            delta.dataCentres.push_back(m_dataCentres.at(name));
    }
    return delta;
}

void ControlState::apply(const ControlDelta& delta)
{
    if (delta.through <= m_nextOffset)
        return;
    // A delta does not carry the offsets of its edits. The highest possible offset is used, so that deltas computed
    // from this state include these changes.
    const uint64_t changedAt = delta.through - 1;
    for (const CatalogueItem& changed : delta.items) {
        const CatalogueItem* current = item(changed.name);
        if (current && current->version >= changed.version)
            continue;
        m_items.insert_or_assign(changed.name, changed);
        m_itemOffsets.insert_or_assign(changed.name, changedAt);
    }
    for (const DataCentre& changed : delta.dataCentres) {
        const DataCentre* current = findValue(m_dataCentres, changed.name);
        if (current && current->version >= changed.version)
            continue;
        m_dataCentres.insert_or_assign(changed.name, changed);
        m_dataCentreOffsets.insert_or_assign(changed.name, changedAt);
    }
    m_nextOffset = delta.through;
}

} // namespace hemlocklead
