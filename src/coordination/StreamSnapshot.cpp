#include "coordination/StreamSnapshot.h"

#include "state/RecordFields.h"

namespace hemlocklead {

namespace {

    Result<StreamSnapshot> parsePlainState(const Json& json)
    {
        const auto nextOffset = json.is_object() ? numberField(json, "nextOffset") : std::nullopt;
        if (!nextOffset || *nextOffset == 0)
            return fail(ErrorKind::InvalidRequest, "state has no nextOffset above 0");
        return StreamSnapshot { *nextOffset - 1, json, {} };
    }

} // namespace

Json toJson(const StreamSnapshot& snapshot)
{
    return Json { { "through", snapshot.through }, { "state", snapshot.state },
        { "producers", snapshot.producers.toJson() } };
}

Result<StreamSnapshot> parseStreamSnapshot(const Json& json)
{
    if (!json.is_object() || !json.contains("through"))
        return parsePlainState(json);
    const auto through = numberField(json, "through");
    const auto state = json.find("state");
    const auto producers = json.find("producers");
    if (!through || state == json.end() || producers == json.end())
        return fail(ErrorKind::InvalidRequest, "snapshot lacks through, state or producers");
    BOOST_LEAF_AUTO(snapshot, parsePlainState(*state));
    if (snapshot.through != *through)
        return fail(ErrorKind::InvalidRequest, "offset of the snapshot differs from the offset of its state");
    BOOST_LEAF_ASSIGN(snapshot.producers, parseProducerSequences(*producers));
    return snapshot;
}

} // namespace hemlocklead
