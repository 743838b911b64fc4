#include "state/ControlState.h"

namespace hemlocklead {

namespace {

    template <typename Values, typename Offsets> bool haveSameNames(const Values& values, const Offsets& offsets)
    {
        if (values.size() != offsets.size())
            return false;
        for (const auto& [name, value] : values) {
            if (value.name != name || !offsets.contains(name))
                return false;
        }
        return true;
    }

    template <typename T> Result<void> readField(const Json& json, const char* name, T& value)
    {
        const auto found = json.find(name);
        if (found == json.end())
            return fail(ErrorKind::InvalidRequest, std::string("control state lacks field ") + name);
        BOOST_LEAF_ASSIGN(value, fromJson<T>(*found));
        return {};
    }

} // namespace

Json ControlState::toJson() const
{
    return Json { { "nextOffset", m_nextOffset }, { "items", m_items }, { "dataCentres", m_dataCentres },
        { "itemOffsets", m_itemOffsets }, { "dataCentreOffsets", m_dataCentreOffsets }, { "history", m_history } };
}

Result<ControlState> parseControlState(const Json& json)
{
    if (!json.is_object())
        return fail(ErrorKind::InvalidRequest, "control state is not an object");
    ControlState state;
    BOOST_LEAF_CHECK(readField(json, "nextOffset", state.m_nextOffset));
    BOOST_LEAF_CHECK(readField(json, "items", state.m_items));
    BOOST_LEAF_CHECK(readField(json, "dataCentres", state.m_dataCentres));
    BOOST_LEAF_CHECK(readField(json, "itemOffsets", state.m_itemOffsets));
    BOOST_LEAF_CHECK(readField(json, "dataCentreOffsets", state.m_dataCentreOffsets));
    BOOST_LEAF_CHECK(readField(json, "history", state.m_history));
    if (!haveSameNames(state.m_items, state.m_itemOffsets)
        || !haveSameNames(state.m_dataCentres, state.m_dataCentreOffsets))
        return fail(ErrorKind::InvalidRequest, "control state has inconsistent names or offsets");
    return state;
}

Json catalogueSetRecord(std::string_view name, uint64_t baseVersion, const CatalogueEntry& entry)
{
    return Json { { "kind", "catalogue_set" }, { "name", name }, { "owner", entry.owner },
        { "base_version", baseVersion }, { "entry", entry } };
}

Json catalogueGovernRecord(std::string_view name, uint64_t baseVersion, std::string_view by, std::string_view owner)
{
    return Json { { "kind", "catalogue_govern" }, { "name", name }, { "base_version", baseVersion }, { "by", by },
        { "owner", owner } };
}

Json dataCentreSetRecord(std::string_view name, uint64_t baseVersion, bool out, std::string_view by)
{
    return Json { { "kind", "datacentre_set" }, { "name", name }, { "base_version", baseVersion },
        { "state", out ? "out" : "in" }, { "by", by } };
}

} // namespace hemlocklead
