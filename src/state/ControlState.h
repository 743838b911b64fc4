#pragma once

#include "state/Catalogue.h"

#include <map>
#include <string>
#include <vector>

namespace hemlocklead {

/// Catalogue items and data centres that changed since an offset. Agents receive the control state as deltas.
struct ControlDelta {
    uint64_t through { 0 }; ///< `nextOffset` of the receiver after it has applied the delta.
    std::vector<CatalogueItem> items;
    std::vector<DataCentre> dataCentres;

    bool operator==(const ControlDelta&) const = default;
};

/// An applied edit of a catalogue item or data centre, as shown by `catalogue history`.
struct AppliedEdit {
    uint64_t offset { 0 }; ///< Control offset of the record.
    std::string name;
    uint64_t version { 0 }; ///< Version after the edit.
    std::string by; ///< Who made the edit.
    std::string summary;

    bool operator==(const AppliedEdit&) const = default;
};

/// Result of folding one log record into a control or shard state. Only `Applied` changes the state.
enum class FoldResult : uint8_t {
    Applied,
    Conflict, ///< Void: its version or epoch is not current, or the state does not allow the change.
    NotGoverning, ///< Void: the editor is not the governing owner, or the new owner has no entry.
    Unknown, ///< Skipped: this version does not know the kind.
    Malformed, ///< Skipped: a field is missing or has an invalid value.
};

/// The catalogue and the data centres, built by folding the records of the control stream in offset order.
///
/// Deterministic: the same records give the same state in every process.
class ControlState {
public:
    /// Folds the record at log offset `offset`. Does not advance `nextOffset`.
    FoldResult fold(uint64_t offset, const Json& record);

    /// Marks all records below `nextOffset` as folded; a lower value than the present one has no effect.
    void advanceTo(uint64_t nextOffset);

    /// First log offset that has not been folded yet.
    uint64_t nextOffset() const { return m_nextOffset; }

    /// The item called `name`, or null.
    const CatalogueItem* item(std::string_view name) const;
    const std::map<std::string, CatalogueItem, std::less<>>& items() const { return m_items; }

    /// Whether the data centre is taken out of service. A data centre without a record is in service.
    bool isOut(std::string_view dataCentre) const;
    const std::map<std::string, DataCentre, std::less<>>& dataCentres() const { return m_dataCentres; }

    /// Latest edits of a catalogue name, or of a data centre as `datacentre/NAME`; oldest first, at most 64 per name.
    std::vector<AppliedEdit> history(std::string_view name) const;

    /// All items and data centres whose last change is at or after `offset`, in their present state.
    ControlDelta deltaSince(uint64_t offset) const;

    /// Applies a delta. A delta, item or data centre that is not newer than the state is ignored, so versions never
    /// decrease.
    void apply(const ControlDelta& delta);

    /// Whole state as JSON, for snapshots; `parseControlState` reads it.
    Json toJson() const;

    bool operator==(const ControlState&) const = default;

private:
    friend Result<ControlState> parseControlState(const Json& json);

    FoldResult foldSet(uint64_t offset, const Json& record);
    FoldResult foldGovern(uint64_t offset, const Json& record);
    FoldResult foldDataCentre(uint64_t offset, const Json& record);
    void appendToHistory(const std::string& key, AppliedEdit edit);

    uint64_t m_nextOffset { 0 };
    std::map<std::string, CatalogueItem, std::less<>> m_items;
    std::map<std::string, DataCentre, std::less<>> m_dataCentres;
    std::map<std::string, uint64_t, std::less<>> m_itemOffsets; ///< Offset of each item's last applied edit.
    std::map<std::string, uint64_t, std::less<>> m_dataCentreOffsets; ///< The same for data centres.
    std::map<std::string, std::vector<AppliedEdit>, std::less<>> m_history; ///< Keyed as for `history`.
};

/// Parses the JSON of `ControlState::toJson`; fails with `InvalidRequest` when it is malformed or inconsistent.
Result<ControlState> parseControlState(const Json& json);

/// Records of the control stream. They are void unless `baseVersion` is the current version, 0 for a new name.
Json catalogueSetRecord(std::string_view name, uint64_t baseVersion, const CatalogueEntry& entry);
Json catalogueGovernRecord(std::string_view name, uint64_t baseVersion, std::string_view by, std::string_view owner);
Json dataCentreSetRecord(std::string_view name, uint64_t baseVersion, bool out, std::string_view by);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ControlDelta, through, items, dataCentres)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AppliedEdit, offset, name, version, by, summary)

} // namespace hemlocklead
