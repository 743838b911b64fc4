#pragma once

#include "coordination/LogStream.h"
#include "state/ShardState.h"

namespace hemlocklead {

/// StreamFold that applies the records of a shard stream to a ShardState.
class ShardFold final : public StreamFold {
public:
    FoldResult fold(uint64_t offset, const Json& record) override { return m_state.fold(offset, record); }
    void advanceTo(uint64_t nextOffset) override { m_state.advanceTo(nextOffset); }
    uint64_t nextOffset() const override { return m_state.nextOffset(); }
    Json snapshot() const override { return m_state.toJson(); }
    Result<void> load(const Json& snapshot) override;

    const ShardState& state() const { return m_state; }

private:
    ShardState m_state;
};

} // namespace hemlocklead
