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

/// State of a peer entry as known from its pings.
struct PeerView {
    PeerPing last; ///< Last ping.
    Instant heardAt; ///< Time at which the last ping was received.
};

/// Exchanges messages with the peer entries: pings that announce shard ownership, forwarded job operations, and control
/// state for an entry that is starting.
///
/// Each entry connects to every address in `EntrySettings::peers` and sends its pings and requests over these
/// connections. It replies to the requests of peers over the connections that they opened.
class PeerHub {
public:
    using ForwardCallback = std::function<void(ForwardReply)>;

    /// Functions that provide the contents of pings and replies. Each may be empty.
    struct Handlers {
        /// Makes the next ping; the hub sets `entry`, `address`, `incarnation` and `sequence`.
        std::function<PeerPing()> makePing;

        /// Makes the reply with the control state; the hub sets `sequence`.
        std::function<StateReply()> makeState;

        /// Runs a forwarded job operation and calls the function once with the reply.
        std::function<void(Forward, std::function<void(ForwardReply)>)> onForward;
    };

    PeerHub(EventLoop& loop, const Clock& clock, const EntrySettings& settings, Counters& counters);
    ~PeerHub();

    /// Connects to the peers and starts the periodic pings.
    void start(Handlers handlers);

    /// Takes over a connection whose first message was `first`, of a type that peers send.
    void adopt(const Message& first, std::unique_ptr<FrameConnection> connection);

    /// Peers whose last ping is at most `within` old, sorted by entry name.
    std::vector<PeerView> livePeers(Duration within) const;

    /// Among the peers whose last ping is at most `within` old and announces ownership of the shard, the one with the
    /// highest epoch. Null if there is none.
    const PeerView* ownerOf(uint32_t shard, Duration within) const;

    /// Sends a job operation to the entry of that name. `done` gets its reply; status 503 and outcome `not-run` if the
    /// operation was provably not sent; status 504 and outcome `unknown` if the connection was lost or `timeout` passed
    /// before the reply. `done` is never called within this call.
    void forward(const std::string& entry, Forward request, Duration timeout, ForwardCallback done);

    /// Requests the control state of all peers. `done` gets the one with the highest offset among those
    /// received within `timeout` from peers that are serving, or nullopt if there is none.
    void requestState(Duration timeout, std::function<void(std::optional<StateReply>)> done);

    /// Pings all peers immediately, for example to announce that this entry is leaving.
    void pingNow();

private:
    class Core;
    std::shared_ptr<Core> m_core;
};

} // namespace hemlocklead
