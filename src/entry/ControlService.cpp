#include "entry/ControlService.h"

#include "base/Log.h"
#include "coordination/ControlFold.h"
#include "coordination/LogStream.h"

#include <algorithm>

namespace hemlocklead {

namespace {

    constexpr Duration tickInterval { 10 };
    constexpr Duration upkeepInterval { 250 };
    constexpr Duration editTimeout { 5000 };

    /// Delay between two writes of a snapshot, so that a write that the log does not store is not repeated at once.
    constexpr Duration snapshotRetryDelay { 5000 };

    /// Between two requests for the peers' state while this entry has not caught up with the log.
    constexpr Duration stateRequestInterval { 1000 };
    constexpr Duration stateRequestTimeout { 900 };

    /// Age of the view before the log has answered once. It exceeds every freshness bound.
    constexpr Duration unconfirmedAge = std::chrono::hours { 24 * 365 };

    /// Key of a control record's rollout; empty for a record of an unknown kind.
    std::string rolloutName(const Json& record)
    {
        const std::string kind = record.value("kind", "");
        const std::string name = record.value("name", "");
        if (kind == "datacentre_set")
            return "datacentre/" + name;
        return kind == "catalogue_set" || kind == "catalogue_govern" ? name : std::string();
    }

    /// Folds the control stream and reports each applied edit.
    class ObservedControlFold final : public StreamFold {
    public:
        using OnApplied = std::function<void(uint64_t offset, const Json& record)>;

        explicit ObservedControlFold(OnApplied onApplied)
            : m_onApplied(std::move(onApplied))
        {
        }

        FoldResult fold(uint64_t offset, const Json& record) override
        {
            const FoldResult result = m_fold.fold(offset, record);
            if (result == FoldResult::Applied)
                m_onApplied(offset, record);
            return result;
        }

        void advanceTo(uint64_t nextOffset) override { m_fold.advanceTo(nextOffset); }
        uint64_t nextOffset() const override { return m_fold.nextOffset(); }
        Json snapshot() const override { return m_fold.snapshot(); }
        Result<void> load(const Json& snapshot) override { return m_fold.load(snapshot); }
        const ControlState& state() const { return m_fold.state(); }

    private:
        OnApplied m_onApplied;
        ControlFold m_fold;
    };

    EditOutcome editOutcome(const RecordOutcome& outcome)
    {
        if (!outcome.stored)
            return { ErrorKind::LogUnavailable, 0 };
        switch (outcome.result) {
        case FoldResult::Applied:
            return { std::nullopt, outcome.offset };
        case FoldResult::Conflict:
            return { ErrorKind::Conflict, outcome.offset };
        case FoldResult::NotGoverning:
            return { ErrorKind::NotGoverning, outcome.offset };
        case FoldResult::Malformed:
            return { ErrorKind::InvalidRequest, outcome.offset };
        case FoldResult::Unknown:
            break;
        }
        return { ErrorKind::OutcomeUnknown, outcome.offset };
    }

    LogStream::Settings streamSettings(const EntrySettings& settings)
    {
        LogStream::Settings stream;
        stream.name = "control";
        stream.pollInterval = settings.controlPoll;
        stream.groupCommit = settings.groupCommit;
        return stream;
    }

} // namespace

/// State and timers behind ControlService.
class ControlService::Core : public std::enable_shared_from_this<ControlService::Core> {
public:
    Core(EventLoop& loop, const Clock& clock, const EntrySettings& settings, AgentHub& agents, PeerHub& peers,
        LogService& log, Counters& counters);

    void start(std::function<bool()> writesSnapshots);
    void edit(const Json& record, EditCallback done);
    Duration age() const;
    bool isServing() const { return m_stream.isCaughtUp() || (m_adopted && !m_stream.isStateLost()); }
    void answerKeepalive(const std::string& host, const Keepalive& keepalive);
    Json describeRollout(const std::string& name);
    Json status() const;
    StateReply stateReply() const;
    const ControlState& state() const { return m_fold.state(); }

private:
    /// An edit whose outcome has not been reported to its caller yet.
    struct PendingEdit {
        std::unique_ptr<Timer> timer;
        EditCallback done;
    };

    void upkeep();
    /// Requests the peers' state, so that this entry can serve before it has caught up with the log.
    void requestPeerState();
    void adopt(const StateReply& reply);
    void pushToHomeAgents();
    void writeSnapshotIfDue();
    void finishEdit(uint64_t id, EditOutcome outcome);

    EventLoop& m_loop;
    const Clock& m_clock;
    const EntrySettings& m_settings;
    AgentHub& m_agents;
    PeerHub& m_peers;
    Counters& m_counters;
    Rollouts m_rollouts;
    ObservedControlFold m_fold;
    LogStream m_stream;
    Timer m_tickTimer;
    Timer m_upkeepTimer;
    std::function<bool()> m_writesSnapshots;
    bool m_adopted { false };
    bool m_stateLossLogged { false };
    Instant m_nextStateRequestAt;
    bool m_snapshotInFlight { false };
    Instant m_snapshotAt;
    Instant m_snapshotRetryAt;
    uint64_t m_snapshotOffset { 0 };
    uint64_t m_nextEdit { 1 };
    std::map<uint64_t, PendingEdit> m_edits;
};

ControlService::Core::Core(EventLoop& loop, const Clock& clock, const EntrySettings& settings, AgentHub& agents,
    PeerHub& peers, LogService& log, Counters& counters)
    : m_loop(loop)
    , m_clock(clock)
    , m_settings(settings)
    , m_agents(agents)
    , m_peers(peers)
    , m_counters(counters)
    , m_rollouts(clock, agents, peers, settings)
    , m_fold([this](uint64_t offset, const Json& record) {
        const std::string name = rolloutName(record);
        if (!name.empty())
            m_rollouts.add(name, offset);
    })
    , m_stream(streamSettings(settings), log, clock, m_fold, counters)
    , m_tickTimer(loop)
    , m_upkeepTimer(loop)
{
}

void ControlService::Core::start(std::function<bool()> writesSnapshots)
{
    m_writesSnapshots = std::move(writesSnapshots);
    m_nextStateRequestAt = m_clock.now() + stateRequestInterval;
    m_snapshotAt = m_clock.now();
    m_stream.onStateChanged([this] { pushToHomeAgents(); });
    m_tickTimer.startRepeating(tickInterval, [this] { m_stream.tick(); });
    m_upkeepTimer.startRepeating(upkeepInterval, [this] { upkeep(); });
    m_stream.tick();
}

void ControlService::Core::upkeep()
{
    m_rollouts.update();
    m_counters.set("control_offset", static_cast<int64_t>(state().nextOffset()));
    m_counters.set("control_view_age_ms", age().count());
    m_counters.set("control_serving", isServing() ? 1 : 0);
    if (m_stream.isStateLost() && !m_stateLossLogged) {
        m_stateLossLogged = true;
        LogEvent(LogLevel::Error, "control_state_lost").field("stream", "control");
    }
    if (!m_stream.isCaughtUp() && m_clock.now() >= m_nextStateRequestAt)
        requestPeerState();
    writeSnapshotIfDue();
}

void ControlService::Core::requestPeerState()
{
    m_nextStateRequestAt = m_clock.now() + stateRequestInterval;
    const std::weak_ptr<Core> weak = weak_from_this();
    m_peers.requestState(stateRequestTimeout, [weak](const std::optional<StateReply>& reply) {
        const auto self = weak.lock();
        if (self && reply)
            self->adopt(*reply);
    });
}

void ControlService::Core::adopt(const StateReply& reply)
{
    const bool isNewer = !m_adopted || reply.offset > state().nextOffset();
    if (m_stream.isCaughtUp() || m_stream.isStateLost() || !isNewer)
        return;
    // A peer sends null as the state of a stream without records.
    const Json snapshot = Json::parse(reply.state, nullptr, false);
    if (!snapshot.is_null())
        m_stream.adopt(snapshot);
    if (state().nextOffset() < reply.offset)
        return;
    m_adopted = true;
    m_counters.add("control_states_adopted");
    LogEvent(LogLevel::Info, "control_state_adopted").field("offset", state().nextOffset());
}

Duration ControlService::Core::age() const
{
    const std::optional<Instant> confirmed = m_stream.confirmedAt();
    return confirmed ? m_clock.now() - *confirmed : unconfirmedAge;
}

void ControlService::Core::edit(const Json& record, EditCallback done)
{
    const uint64_t id = m_nextEdit++;
    PendingEdit pending { std::make_unique<Timer>(m_loop), std::move(done) };
    pending.timer->startOnce(editTimeout, [this, id] { finishEdit(id, { ErrorKind::OutcomeUnknown, 0 }); });
    m_edits.emplace(id, std::move(pending));
    const std::weak_ptr<Core> weak = weak_from_this();
    m_stream.append(record, [weak, id](const RecordOutcome& outcome) {
        if (const auto self = weak.lock())
            self->finishEdit(id, editOutcome(outcome));
    });
}

void ControlService::Core::finishEdit(uint64_t id, EditOutcome outcome)
{
    auto node = m_edits.extract(id);
    if (node.empty())
        return;
    m_counters.add(outcome.error ? "control_edits_refused" : "control_edits_applied");
    node.mapped().done(outcome);
}

void ControlService::Core::answerKeepalive(const std::string& host, const Keepalive& keepalive)
{
    m_agents.send(host, KeepaliveReply { keepalive.stamp, age(), state().deltaSince(keepalive.controlOffset) });
}

/// Sends changes at once to the agents whose home entry this is, instead of with the reply to their next keepalive. A
/// change must be in force within 4 s: waiting for the keepalive would take half of that, and a lost packet the rest.
void ControlService::Core::pushToHomeAgents()
{
    if (!isServing())
        return;
    for (const auto& [host, agent] : m_agents.agents()) {
        const ControlDelta delta = state().deltaSince(agent.last.controlOffset);
        if (agent.last.home && delta.through > agent.last.controlOffset)
            m_agents.send(host, KeepaliveReply { agent.stamp, age(), delta });
    }
}

void ControlService::Core::writeSnapshotIfDue()
{
    if (m_snapshotInFlight || !m_stream.isCaughtUp() || m_clock.now() < m_snapshotRetryAt)
        return;
    if (!m_writesSnapshots || !m_writesSnapshots())
        return;
    const Duration since = m_clock.now() - m_snapshotAt;
    const bool changed = state().nextOffset() != m_snapshotOffset;
    const bool isDue = (changed && since >= m_settings.snapshotInterval) || since >= m_settings.logRetention / 4;
    if (!isDue)
        return;
    m_snapshotInFlight = true;
    const uint64_t offset = state().nextOffset();
    const std::weak_ptr<Core> weak = weak_from_this();
    m_stream.writeSnapshot([weak, offset](bool stored) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->m_snapshotInFlight = false;
        self->m_counters.add(stored ? "control_snapshots_written" : "control_snapshots_failed");
        self->m_snapshotRetryAt = self->m_clock.now() + snapshotRetryDelay;
        if (!stored)
            return;
        self->m_snapshotAt = self->m_clock.now();
        self->m_snapshotOffset = offset;
    });
}

Json ControlService::Core::describeRollout(const std::string& name)
{
    const std::vector<AppliedEdit> history = state().history(name);
    return history.empty() ? Json() : m_rollouts.describe(name, history.back().offset);
}

StateReply ControlService::Core::stateReply() const
{
    return { 0, isServing(), state().nextOffset(), jsonText(m_stream.snapshot()) };
}

Json ControlService::Core::status() const
{
    return { { "offset", state().nextOffset() }, { "view_age_ms", age() }, { "serving", isServing() },
        { "caught_up", m_stream.isCaughtUp() }, { "state_lost", m_stream.isStateLost() },
        { "pending_edits", m_edits.size() } };
}

ControlService::ControlService(EventLoop& loop, const Clock& clock, const EntrySettings& settings, AgentHub& agents,
    PeerHub& peers, LogService& log, Counters& counters)
    : m_core(std::make_shared<Core>(loop, clock, settings, agents, peers, log, counters))
{
}

ControlService::~ControlService() = default;

void ControlService::start(std::function<bool()> writesSnapshots) { m_core->start(std::move(writesSnapshots)); }

void ControlService::edit(const Json& record, EditCallback done) { m_core->edit(record, std::move(done)); }

const ControlState& ControlService::state() const { return m_core->state(); }

Duration ControlService::age() const { return m_core->age(); }

bool ControlService::isServing() const { return m_core->isServing(); }

StateReply ControlService::stateReply() const { return m_core->stateReply(); }

Json ControlService::describeRollout(const std::string& name) { return m_core->describeRollout(name); }

Json ControlService::status() const { return m_core->status(); }

void ControlService::agentMessage(const std::string& host, const Message& message)
{
    if (const auto* keepalive = std::get_if<Keepalive>(&message))
        m_core->answerKeepalive(host, *keepalive);
}

} // namespace hemlocklead
