#pragma once

#include "state/Catalogue.h"

#include <map>
#include <string>
#include <vector>

namespace hemlocklead {

/// Change of catalogue items and data centres since an offset; what agents receive.
struct ControlDelta {
    uint64_t through { 0 }; ///< Control offset that the receiver has reached after applying the delta.
    std::vector<CatalogueItem> items;
    std::vector<DataCentre> dataCentres;

    bool operator==(const ControlDelta&) const = default;
};

/// An applied edit, kept for `catalogue history`.
struct EditNote {
    uint64_t offset { 0 };
    std::string name;
    uint64_t version { 0 };
    std::string by;
    std::string summary;

    bool operator==(const EditNote&) const = default;
};

/// Result of folding one control record.
enum class FoldResult : uint8_t {
    Applied,
    Conflict, ///< Names a version that is not current: void.
    NotGoverning, ///< The editor may not move the governing role: void.
    Unknown, ///< A kind that this version does not know: skipped.
    Malformed, ///< Fields missing or of a wrong type: skipped.
};

/// The catalogue and the data centres: the fold of the control stream in offset order.
///
/// `offset` values here count log offsets folded so far: `nextOffset` is the first offset not folded yet.
class ControlState {
public:
    /// Folds one record that stands at `offset`. The same records give the same state everywhere.
    FoldResult fold(uint64_t offset, const Json& record);

    /// Notes that everything below `offset` has been folded.
    void advanceTo(uint64_t nextOffset);

    uint64_t nextOffset() const { return m_nextOffset; }

    /// Item of that name, or null.
    const CatalogueItem* item(std::string_view name) const;
    const std::map<std::string, CatalogueItem, std::less<>>& items() const { return m_items; }

    /// Whether the data centre was taken out. One that was never mentioned is in.
    bool isOut(std::string_view dataCentre) const;
    const std::map<std::string, DataCentre, std::less<>>& dataCentres() const { return m_dataCentres; }

    /// Last edits of a catalogue name, or of a data centre as `datacentre/NAME`; oldest first, at most 64 per name.
    std::vector<EditNote> history(std::string_view name) const;

    /// All that changed at or after `offset`.
    ControlDelta deltaSince(uint64_t offset) const;

    /// Applies a delta; one that is older than the state changes nothing, so the state never goes back.
    void apply(const ControlDelta& delta);

    /// Whole state as JSON, and back. `parseControlState` fails with `InvalidRequest`.
    Json toJson() const;

    bool operator==(const ControlState&) const = default;

private:
    friend Result<ControlState> parseControlState(const Json& json);

    FoldResult foldSet(uint64_t offset, const Json& record);
    FoldResult foldGovern(uint64_t offset, const Json& record);
    FoldResult foldDataCentre(uint64_t offset, const Json& record);
    void note(const std::string& key, EditNote edit);

    uint64_t m_nextOffset { 0 };
    std::map<std::string, CatalogueItem, std::less<>> m_items;
    std::map<std::string, DataCentre, std::less<>> m_dataCentres;
    std::map<std::string, uint64_t, std::less<>> m_itemOffsets; ///< Offset of each item's last applied edit.
    std::map<std::string, uint64_t, std::less<>> m_dataCentreOffsets;
    std::map<std::string, std::vector<EditNote>, std::less<>> m_history;
};

Result<ControlState> parseControlState(const Json& json);

/// Records of the control stream.
Json catalogueSetRecord(std::string_view name, uint64_t baseVersion, const CatalogueEntry& entry);
Json catalogueGovernRecord(std::string_view name, uint64_t baseVersion, std::string_view by, std::string_view owner);
Json dataCentreSetRecord(std::string_view name, uint64_t baseVersion, bool out, std::string_view by);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ControlDelta, through, items, dataCentres)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EditNote, offset, name, version, by, summary)

} // namespace hemlocklead
