#pragma once

#include "protocol/DispatchMessages.h"
#include "protocol/Pack.h"

#include <optional>

namespace hemlocklead {

/// Packs the reports of one connection: names once, then only what has changed since the report before.
///
/// The reports of a busy host differ little from one to the next. Sent completely, those of 15 hosts filled an owner's
/// link of 2 Mbit/s, and the answers of the store waited behind them.
class HostReportPacker {
public:
    PackedHostReport pack(const HostReport& report);

private:
    void putRuns(PackWriter& out, const HostReport& report);

    HostReport m_last; ///< The receiver's state after the last report.
};

/// Restores the reports of one connection, in the order in which they were packed.
class HostReportUnpacker {
public:
    /// The complete report, with its runs in any order, or nullopt if the input is malformed. After malformed input the
    /// state of the connection is lost and the connection must be closed.
    std::optional<HostReport> unpack(const PackedHostReport& packed);

private:
    void takeRuns(PackReader& in);
    void takeEnds(PackReader& in, bool all);

    HostReport m_last;
};

} // namespace hemlocklead
