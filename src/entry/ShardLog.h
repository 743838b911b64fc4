#pragma once

#include "coordination/LogStream.h"
#include "coordination/ShardFold.h"
#include "entry/ShardEnvironment.h"
#include "state/ShardState.h"

#include <memory>
#include <optional>

namespace hemlocklead {

/// The stream of one shard with this entry's claim to it: claims, authority, release, snapshots.
class ShardLog {
public:
    /// What a tick changed.
    enum class Change : uint8_t {
        None,
        Gained, ///< The own claim was read back.
        Lost, ///< A newer claim or a release was read.
    };

    using Done = std::function<void(const RecordOutcome&)>;

    ShardLog(uint32_t shard, const ShardEnvironment& environment);

    /// Drives the stream, claims the shard when that is due and writes snapshots. At least every 10 ms.
    Change tick();

    uint32_t shard() const { return m_shard; }
    const ShardState& state() const { return m_fold.state(); }

    /// Whether the newest claim folded is this entry's.
    bool isOwner() const;

    /// Epoch of the own claim; 0 unless owner.
    uint64_t epoch() const { return isOwner() ? m_epoch : 0; }

    /// Whether leases may be granted and starts sent now.
    bool hasAuthority() const;

    bool isCaughtUp() const { return m_stream->isCaughtUp(); }
    bool isStateLost() const { return m_stream->isStateLost(); }

    /// Time at which the own claim was read back.
    Instant claimReadAt() const { return m_claimReadAt; }

    /// Appends a record of this owner. `done` runs once it is folded or proved not stored, and never after this object
    /// is gone.
    void append(const Json& record, Done done);

    /// Appends the release of the own claim. `done` runs once that is decided; no new claim is made.
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
    uint64_t m_epoch { 0 }; ///< Of the last own claim that was folded as applied.
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
