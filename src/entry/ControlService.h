#pragma once

#include "coordination/LogService.h"
#include "entry/AgentHub.h"
#include "entry/ControlView.h"
#include "entry/EntrySettings.h"
#include "entry/PeerHub.h"
#include "entry/Rollouts.h"

#include <functional>
#include <memory>
#include <optional>

namespace hemlocklead {

/// How an edit of the control stream ended.
struct EditOutcome {
    std::optional<ErrorKind> error; ///< Unset when the edit was applied.
    uint64_t offset { 0 }; ///< Offset of the record, when it was folded.
};

/// The configuration at one entry: the control stream, its state for agents and peers, and its snapshots.
class ControlService final : public ControlView, public AgentHandler {
public:
    using EditDone = std::function<void(EditOutcome)>;

    ControlService(EventLoop& loop, const Clock& clock, const EntrySettings& settings, AgentHub& agents, PeerHub& peers,
        LogService& log, Counters& counters);
    ~ControlService() override;

    /// Starts to poll the control stream. `writesSnapshots` tells whether this entry owns shard 0.
    void start(std::function<bool()> writesSnapshots);

    /// Appends an edit. `done` runs once the record has been folded here; with `LogUnavailable` when it was proved not
    /// stored, `OutcomeUnknown` when that is not known after 5 s, `Conflict` or `NotGoverning` when it is void.
    void edit(const Json& record, EditDone done);

    const ControlState& state() const override;
    Duration age() const override;
    bool isServing() const override;

    /// The state for a starting peer.
    StateReply stateReply() const;

    /// Where the last edit of a catalogue name (or of `datacentre/NAME`) is in force; null when it was never edited.
    Json describeRollout(const std::string& name);

    /// `{offset, view_age_ms, serving, caught_up, state_lost, pending_edits}` for `/status`.
    Json status() const;

    void agentConnected(const std::string&) override { }
    void agentGone(const std::string&) override { }
    void agentMessage(const std::string& host, const Message& message) override;

private:
    class Core;
    std::shared_ptr<Core> m_core;
};

} // namespace hemlocklead
