#pragma once

#include "base/Clock.h"
#include "base/Counters.h"
#include "entry/EntrySettings.h"
#include "transport/FrameConnection.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hemlocklead {

/// What an entry knows about a peer entry.
struct PeerView {
    PeerPing last; ///< Last ping.
    Instant heardAt;
};

/// The other entries: pings with shard ownership, forwarded job operations, control state for a starting peer.
///
/// Each entry connects to every address in `peers` and sends its pings and requests there; it answers on connections
/// that peers made to it.
class PeerHub {
public:
    using ForwardDone = std::function<void(ForwardReply)>;

    /// What a peer asks of this entry.
    struct Handlers {
        std::function<PeerPing()> makePing; ///< Contents of the next ping.
        std::function<StateReply()> makeState;
        std::function<void(Forward, std::function<void(ForwardReply)>)> onForward;
    };

    PeerHub(EventLoop& loop, const Clock& clock, const EntrySettings& settings, Counters& counters);
    ~PeerHub();

    /// Connects to the peers and starts to ping.
    void start(Handlers handlers);

    /// Takes over a connection whose first message was `first`, of a type that peers send.
    void adopt(const Message& first, std::unique_ptr<FrameConnection> connection);

    /// Peers heard within `within`, by entry name.
    std::vector<PeerView> livePeers(Duration within) const;

    /// Peer that last claimed to own the shard with the highest epoch; null when none did within `within`.
    const PeerView* ownerOf(uint32_t shard, Duration within) const;

    /// Sends a job operation to the entry of that name. `done` gets status 503 and outcome `not-run` when it was
    /// provably not sent, and 504 with `unknown` when the connection broke or `timeout` passed.
    void forward(const std::string& entry, Forward request, Duration timeout, ForwardDone done);

    /// Asks all peers for their control state; `done` gets the serving one with the highest offset, or nullopt.
    void requestState(Duration timeout, std::function<void(std::optional<StateReply>)> done);

    /// Pings now, for example to tell that this entry is leaving.
    void pingNow();

private:
    class Core;
    std::shared_ptr<Core> m_core;
};

} // namespace hemlocklead
