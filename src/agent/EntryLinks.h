#pragma once

#include "agent/AgentSettings.h"
#include "base/Counters.h"
#include "transport/FrameConnection.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hemlocklead {

/// Takes part in the traffic with entries.
class EntryHandler {
public:
    virtual ~EntryHandler() = default;

    /// Adds this handler's part to the keepalive for the entry. `full` in the keepalive is set for the first one after
    /// a connection was made.
    virtual void fillKeepalive(size_t entry, Keepalive& keepalive) = 0;

    /// Every message of the entry. Each handler takes the types it knows.
    virtual void entryMessage(size_t entry, const Message& message) = 0;

    virtual void entryGone(size_t entry) = 0;
};

/// This agent's connections to all entries of its settings, with reconnects, and its keepalives.
///
/// Entries are named by their index in `AgentSettings::entries`. The home entry is the first connected one by
/// rendezvous hash of host and entry; it gets the short keepalive interval.
class EntryLinks {
public:
    EntryLinks(EventLoop& loop, const Clock& clock, const AgentSettings& settings, Counters& counters);
    ~EntryLinks();

    void addHandler(EntryHandler& handler);
    void start();

    /// Stamp of now, to put into messages.
    Stamp stamp() const;
    uint64_t incarnation() const;

    /// False when the entry is not connected (then provably not sent).
    bool send(size_t entry, const Message& message);
    void sendToAll(const Message& message);

    /// Sends a keepalive now, for example after the targets have changed.
    void keepaliveNow();
    void keepaliveNow(size_t entry);

    size_t count() const;
    bool isConnected(size_t entry) const;

private:
    class Core;
    std::shared_ptr<Core> m_core;
};

} // namespace hemlocklead
