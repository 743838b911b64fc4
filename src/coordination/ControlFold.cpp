#include "coordination/ControlFold.h"

namespace hemlocklead {

Result<void> ControlFold::load(const Json& snapshot)
{
    BOOST_LEAF_AUTO(state, parseControlState(snapshot));
    m_state = std::move(state);
    return {};
}

} // namespace hemlocklead
