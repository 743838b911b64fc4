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

/// Outcome of an edit of the control stream.
struct EditOutcome {
    std::optional<ErrorKind> error; ///< Unset when the edit was applied.
    uint64_t offset { 0 }; ///< Offset of the record, if it has been folded.
};

/// Follows and edits the control stream at one entry, passes its state to agents and peers, and writes its snapshots.
class ControlService final : public ControlView, public AgentHandler {
public:
    using EditCallback = std::function<void(EditOutcome)>;

    ControlService(EventLoop& loop, const Clock& clock, const EntrySettings& settings, AgentHub& agents, PeerHub& peers,
        LogService& log, Counters& counters);
    ~ControlService() override;

    /// Starts polling the control stream. Snapshots are written while `writesSnapshots` returns true, that is while
    /// this entry owns shard 0.
    void start(std::function<bool()> writesSnapshots);

    /// Appends an edit. `done` is called once, when the record has been folded here or has failed: with
    /// `LogUnavailable` if it is proved not to be stored, `OutcomeUnknown` if that is not known after 5 s, `Conflict`
    /// or `NotGoverning` if it is void.
    void edit(const Json& record, EditCallback done);

    const ControlState& state() const override;
    Duration age() const override;
    bool isServing() const override;

    /// The state that a starting peer may adopt.
    StateReply stateReply() const;

    /// Progress of the latest edit of a catalogue name or of `datacentre/NAME` (see `Rollouts::describe`); null if the
    /// name was never edited.
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
