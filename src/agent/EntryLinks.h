#pragma once

#include "agent/AgentSettings.h"
#include "base/Counters.h"
#include "transport/FrameConnection.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hemlocklead {

/// Receives messages from entries and adds to the keepalives sent to them.
class EntryHandler {
public:
    virtual ~EntryHandler() = default;

    /// Sets this handler's fields of a keepalive to the entry. `keepalive.full` is set in the first keepalive of each
    /// connection.
    virtual void fillKeepalive(size_t entry, Keepalive& keepalive) = 0;

    /// Called for every message of the entry. Handlers ignore the message types of others.
    virtual void entryMessage(size_t entry, const Message& message) = 0;

    /// Called when a connection to the entry has closed, failed to open or gone without replies for too long.
    virtual void entryGone(size_t entry) = 0;
};

/// Keeps connections to all entries of the settings, reconnects them, and sends keepalives.
///
/// Entries are identified by their index in `AgentSettings::entries`. The home entry is the connected one with the
/// highest rendezvous hash of host and entry, except that entries to avoid rank last; it gets keepalives at the short
/// interval `homeKeepalive`.
class EntryLinks {
public:
    EntryLinks(EventLoop& loop, const Clock& clock, const AgentSettings& settings, Counters& counters);
    ~EntryLinks();

    void addHandler(EntryHandler& handler);
    void start();

    /// Incarnation and current time, for messages.
    Stamp stamp() const;
    uint64_t incarnation() const;

    /// Returns false if the entry is not connected; the message has then provably not been sent.
    bool send(size_t entry, const Message& message);
    void sendToAll(const Message& message);

    /// Sends a keepalive without waiting for the interval, for example after the targets have changed.
    void keepaliveNow();
    void keepaliveNow(size_t entry);

    size_t count() const;
    /// Whether the entry has replied on its current connection.
    bool isConnected(size_t entry) const;

private:
    class Core;
    std::shared_ptr<Core> m_core;
};

} // namespace hemlocklead
