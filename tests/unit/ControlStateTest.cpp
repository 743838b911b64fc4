#include "state/ControlState.h"

#include <gtest/gtest.h>

namespace hemlocklead {
namespace {

    class ControlStateTest : public testing::Test {
    protected:
        static CatalogueEntry entryOf(const std::string& owner)
        {
            CatalogueEntry entry;
            entry.owner = owner;
            entry.team = "core-team";
            return entry;
        }

        FoldResult fold(const Json& record)
        {
            const uint64_t offset = m_state.nextOffset();
            const FoldResult result = m_state.fold(offset, record);
            m_state.advanceTo(offset + 1);
            return result;
        }

        FoldResult setEntry(uint64_t base, const std::string& owner)
        {
            return fold(catalogueSetRecord("lookup", base, entryOf(owner)));
        }

        static ErrorKind editError(const Json& entry, std::string& message)
        {
            return orElse(
                [&]() -> Result<ErrorKind> {
                    BOOST_LEAF_CHECK(parseCatalogueEntry(entry));
                    return ErrorKind::Internal;
                },
                [&](const Error& error) {
                    message = error.message;
                    return error.kind;
                });
        }

        ControlState m_state;
    };

    // Guards against lost updates: of two concurrent edits of one version, the second must not overwrite the first.
    TEST_F(ControlStateTest, catalogueSet_staleBaseVersion_isVoid)
    {
        EXPECT_EQ(setEntry(0, "product"), FoldResult::Applied);
        EXPECT_EQ(setEntry(0, "product"), FoldResult::Conflict);
        EXPECT_EQ(setEntry(2, "product"), FoldResult::Conflict);
        EXPECT_EQ(setEntry(1, "operations"), FoldResult::Applied);
        EXPECT_EQ(m_state.item("lookup")->version, 2U);
        EXPECT_EQ(m_state.item("lookup")->entries.size(), 2U);
    }

    // Guards against an entry taking effect merely because it was published last.
    TEST_F(ControlStateTest, catalogueSet_secondOwner_doesNotGovern)
    {
        setEntry(0, "product");
        setEntry(1, "operations");
        EXPECT_EQ(m_state.item("lookup")->governing()->owner, "product");
    }

    // Guards against an owner giving itself the governing role, and against moving it to an owner without an entry,
    // which would leave the name without an entry in force.
    TEST_F(ControlStateTest, catalogueGovern_byNonGoverningOwner_isVoid)
    {
        setEntry(0, "product");
        setEntry(1, "operations");
        EXPECT_EQ(fold(catalogueGovernRecord("lookup", 2, "operations", "operations")), FoldResult::NotGoverning);
        EXPECT_EQ(fold(catalogueGovernRecord("lookup", 2, "product", "nobody")), FoldResult::NotGoverning);
        EXPECT_EQ(fold(catalogueGovernRecord("lookup", 1, "product", "operations")), FoldResult::Conflict);
        EXPECT_EQ(fold(catalogueGovernRecord("lookup", 2, "product", "operations")), FoldResult::Applied);
        EXPECT_EQ(m_state.item("lookup")->governing()->owner, "operations");
    }

    // Guards against a late edit of an old version putting a data centre that was taken out back into service.
    TEST_F(ControlStateTest, dataCentreSet_staleBaseVersion_isVoid)
    {
        EXPECT_FALSE(m_state.isOut("muscat"));
        EXPECT_EQ(fold(dataCentreSetRecord("muscat", 0, true, "ops")), FoldResult::Applied);
        EXPECT_EQ(fold(dataCentreSetRecord("muscat", 0, false, "ops")), FoldResult::Conflict);
        EXPECT_TRUE(m_state.isOut("muscat"));
        EXPECT_EQ(fold(dataCentreSetRecord("muscat", 1, false, "ops")), FoldResult::Applied);
        EXPECT_FALSE(m_state.isOut("muscat"));
        EXPECT_EQ(m_state.history("datacentre/muscat").size(), 2U);
    }

    // Guards against a crash or a partly applied edit on records from other versions or faulty writers.
    TEST_F(ControlStateTest, fold_malformedOrUnknownRecords_changeNothing)
    {
        setEntry(0, "product");
        const ControlState before = m_state;
        const Json valid = catalogueSetRecord("lookup", 1, entryOf("product"));
        EXPECT_EQ(m_state.fold(9, Json { { "kind", "catalogue_paint" } }), FoldResult::Unknown);
        for (const Json& record : { Json(), Json(5), Json::array(), Json { { "kind", 5 } } })
            EXPECT_EQ(m_state.fold(9, record), FoldResult::Malformed) << record;
        for (const char* field : { "name", "owner", "base_version", "entry" }) {
            for (const Json& value : { Json(), Json(-1), Json(1.5), Json(""), Json::array(), Json { { "team", 1 } } }) {
                Json record = valid;
                record[field] = value;
                EXPECT_EQ(m_state.fold(9, record), FoldResult::Malformed) << record;
            }
        }
        EXPECT_TRUE(m_state == before);
    }

    // Guards against dropping a record of a newer version because of a field that this version does not know.
    TEST_F(ControlStateTest, catalogueSet_unknownFields_areSkipped)
    {
        Json record = catalogueSetRecord("lookup", 0, entryOf("product"));
        record["entry"]["colour"] = "green";
        record["entry"]["limits"]["perTask"]["disks"] = 2;
        EXPECT_EQ(fold(record), FoldResult::Applied);
    }

    // Guards against silently ignoring a misspelt limit, and against errors that do not name the field.
    TEST_F(ControlStateTest, parseCatalogueEntry_invalidField_errorNamesField)
    {
        const Json valid { { "owner", "product" }, { "team", "core-team" } };
        std::string message;
        EXPECT_EQ(editError(valid, message), ErrorKind::Internal);
        const std::vector<std::pair<std::string, Json>> cases { { "maxRuning", 1 }, { "maxRunning", -1 },
            { "maxRunning", 1.5 }, { "maxRunning", 18'000'000'000'000'000'000U }, { "urgent", 1 },
            { "perTask", { { "cpuMilli", "1" } } }, { "timeoutMs", "2s" } };
        for (const auto& [field, value] : cases) {
            Json entry = valid;
            entry["limits"][field] = value;
            EXPECT_EQ(editError(entry, message), ErrorKind::InvalidRequest) << entry;
            EXPECT_NE(message.find("limits." + field), std::string::npos) << message;
        }
        EXPECT_EQ(editError(Json { { "owner", "product" } }, message), ErrorKind::InvalidRequest);
        EXPECT_EQ(message, "team: missing");
        EXPECT_EQ(editError({ { "owner", "o" }, { "team", "t" }, { "workClass", "never" } }, message),
            ErrorKind::InvalidRequest);
    }

    // Guards against an agent keeping an outdated entry after it missed some deltas, or reverting on a stale delta.
    TEST_F(ControlStateTest, delta_appliedToOlderState_givesSameItems)
    {
        ControlState agent;
        for (uint64_t version = 0; version < 6; ++version) {
            setEntry(version, version % 2 ? "operations" : "product");
            fold(dataCentreSetRecord("sohar", version, version % 2 == 0, "ops"));
            if (version % 3 == 0)
                agent.apply(m_state.deltaSince(agent.nextOffset()));
        }
        const ControlDelta staleDelta = m_state.deltaSince(0);
        setEntry(6, "product");
        agent.apply(m_state.deltaSince(agent.nextOffset()));
        EXPECT_EQ(agent.items(), m_state.items());
        EXPECT_EQ(agent.dataCentres(), m_state.dataCentres());
        agent.apply(staleDelta);
        EXPECT_EQ(agent.items(), m_state.items());
        EXPECT_EQ(agent.nextOffset(), m_state.nextOffset());
    }

    // Guards against a restart that loses part of the state, and against an edit history that grows without bound.
    TEST_F(ControlStateTest, json_roundTrip_keepsState)
    {
        for (uint64_t version = 0; version < 80; ++version)
            setEntry(version, "product");
        fold(dataCentreSetRecord("ikeja", 0, true, "ops"));
        EXPECT_EQ(m_state.history("lookup").size(), 64U);
        EXPECT_EQ(m_state.history("lookup").back().version, 80U);
        const ControlState parsed
            = orElse([&] { return parseControlState(m_state.toJson()); }, [](const Error&) { return ControlState(); });
        EXPECT_TRUE(parsed == m_state);
    }

} // namespace
} // namespace hemlocklead
