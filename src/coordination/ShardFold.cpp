#include "coordination/ShardFold.h"

namespace hemlocklead {

Result<void> ShardFold::load(const Json& snapshot)
{
    BOOST_LEAF_AUTO(state, parseShardState(snapshot));
    m_state = std::move(state);
    return {};
}

} // namespace hemlocklead
