#pragma once

#include "coordination/LogStream.h"
#include "coordination/ShardFold.h"
#include "entry/ShardEnvironment.h"
#include "state/ShardState.h"

#include <memory>
#include <optional>

namespace hemlocklead {

/// The log stream of one shard, and this entry's ownership of it: claims, authority, release and snapshots.
class ShardLog {
public:
    /// Change of the ownership in a tick.
    enum class Change : uint8_t {
        None,
        Gained, ///< This entry's claim was read back.
        Lost, ///< A newer claim or a release was read.
    };

    using Done = std::function<void(const RecordOutcome&)>;

    ShardLog(uint32_t shard, const ShardEnvironment& environment);

    /// Drives the stream, and claims the shard and writes snapshots when due. Must be called at least every 10 ms.
    Change tick();

    uint32_t shard() const { return m_shard; }
    const ShardState& state() const { return m_fold.state(); }

    /// Whether the newest folded claim is this entry's.
    bool isOwner() const;

    /// Epoch of this entry's claim; 0 if it is not the owner.
    uint64_t epoch() const { return isOwner() ? m_epoch : 0; }

    /// Whether this entry may grant leases and send starts now.
    bool hasAuthority() const;

    bool isCaughtUp() const { return m_stream->isCaughtUp(); }
    bool isStateLost() const { return m_stream->isStateLost(); }

    /// Time at which this entry's claim was read back.
    Instant claimReadAt() const { return m_claimReadAt; }

    /// Appends a record of this owner. `done` runs once the record is folded or provably not stored, but never after
    /// this object is destroyed.
    void append(const Json& record, Done done);

    /// Appends the release of this entry's claim and makes no new claim. `done` runs once the release is folded or
    /// provably not stored, and at once if this entry is not the owner.
    void release(std::function<void()> done);

private:
    void claimWhenDue();
    void snapshotWhenDue();

    uint32_t m_shard;
    const ShardEnvironment& m_environment;
    ShardFold m_fold;
    ShardAuthority m_authority;
    std::unique_ptr<LogStream> m_stream;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
    uint64_t m_epoch { 0 }; ///< Of this entry's last claim that was folded as applied.
    Instant m_claimReadAt;
    Instant m_nextClaimAt;
    bool m_claiming { false };
    bool m_wasOwner { false };
    bool m_releasing { false };
    Instant m_snapshotAt;
    uint64_t m_snapshotOffset { 0 };
    bool m_snapshotting { false };
};

} // namespace hemlocklead
