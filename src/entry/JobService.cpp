#include "entry/JobService.h"

#include "base/Log.h"
#include "entry/JobHttp.h"
#include "entry/ShardOwner.h"

#include <chrono>
#include <list>
#include <map>

namespace hemlocklead {

namespace {

    constexpr Duration tickInterval { 10 };
    constexpr Duration ownershipInterval { 100 };
    constexpr Duration peerDiscoveryTime { 1000 }; ///< Covers two pings of every peer before shards are claimed.
    constexpr Duration forwardTimeout { 6000 }; ///< Longer than the owner's own timeout (`JobHttp::outcomeTimeout`).
    constexpr Duration maxPeerSilence { 3'600'000 };

    int64_t systemUnixMs()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    }

} // namespace

class JobService::Core {
public:
    Core(EventLoop& loop, const Clock& clock, const EntrySettings& settings, const ControlView& control,
        AgentHub& agents, PeerHub& peers, LogService& log, Counters& counters)
        : m_loop(loop)
        , m_peers(peers)
        , m_environment { settings, clock, control, log, m_hosts, counters,
            [&agents](const std::string& host, const Message& message) { return agents.send(host, message); },
            systemUnixMs, [this](uint32_t shard) { return epochOf(shard); }, [this] { return otherEntries(); } }
        , m_http(m_environment, routing())
        , m_startedAt(clock.now())
        , m_tick(loop)
    {
    }

    void start()
    {
        m_startedAt = m_environment.clock.now();
        m_tick.startRepeating(tickInterval, [this] { tick(); });
    }

    JobHttp& http() { return m_http; }

    std::vector<ShardOwnership> owned() const
    {
        std::vector<ShardOwnership> list;
        for (const auto& [shard, owner] : m_owners) {
            if (owner->isOwner())
                list.push_back({ shard, owner->epoch() });
        }
        return list;
    }

    Json status() const
    {
        const Instant now = m_environment.clock.now();
        Json shards = Json::array();
        for (const auto& [shard, owner] : m_owners)
            shards.push_back(owner->status());
        return { { "shards", shards }, { "hosts", m_hosts.status(now) } };
    }

    void release(Duration timeout, std::function<void()> done)
    {
        m_releasing = true;
        const auto pendingReleases = std::make_shared<size_t>(m_owners.size() + 1);
        const auto once = std::make_shared<std::function<void()>>(std::move(done));
        const auto finish = [once] {
            if (const auto callback = std::exchange(*once, nullptr))
                callback();
        };
        const auto completeRelease = [pendingReleases, finish] {
            if (--*pendingReleases == 0)
                finish();
        };
        for (auto& [shard, owner] : m_owners)
            owner->release(completeRelease);
        runAfter(timeout, finish);
        completeRelease();
    }

    void agentConnected(const Hello& hello) { m_hosts.handleConnected(hello, m_environment.clock.now()); }

    void agentGone(const std::string& host)
    {
        m_hosts.handleDisconnected(host, m_environment.clock.now());
        for (auto& [shard, owner] : m_owners)
            owner->agentGone(host);
    }

    void agentMessage(const std::string& host, const Message& message)
    {
        if (!m_hosts.handleMessage(host, message, m_environment.clock.now()))
            return;
        for (auto& [shard, owner] : m_owners)
            owner->agentMessage(host, message);
    }

private:
    void tick()
    {
        const Instant now = m_environment.clock.now();
        if (now >= m_nextOwnershipCheck) {
            m_nextOwnershipCheck = now + ownershipInterval;
            checkOwnership(now);
        }
        for (auto& [shard, owner] : m_owners)
            owner->tick();
    }

    /// Follows the streams of the shards that no live peer owns, and drops those that a live peer owns.
    void checkOwnership(Instant now)
    {
        const bool peersHeard = m_environment.settings.peers.empty() || now - m_startedAt >= peerDiscoveryTime;
        if (m_releasing || !peersHeard)
            return;
        for (uint32_t shard = 0; shard < m_environment.settings.shards; ++shard) {
            const bool peerOwns = remoteOwner(shard).has_value();
            const auto found = m_owners.find(shard);
            if (found == m_owners.end() && !peerOwns)
                m_owners.emplace(shard, std::make_unique<ShardOwner>(shard, m_environment));
            else if (found != m_owners.end() && peerOwns && !found->second->isOwner())
                m_owners.erase(found);
        }
    }

    uint64_t epochOf(uint32_t shard) const
    {
        const auto local = m_owners.find(shard);
        if (local != m_owners.end() && local->second->isOwner())
            return local->second->epoch();
        const PeerView* peer = m_peers.ownerOf(shard, m_environment.settings.ownerTimeout);
        if (!peer)
            return 0;
        for (const ShardOwnership& ownership : peer->last.owned) {
            if (ownership.shard == shard)
                return ownership.epoch;
        }
        return 0;
    }

    std::vector<LiveEntry> otherEntries() const
    {
        std::vector<LiveEntry> entries;
        for (const PeerView& peer : m_peers.livePeers(maxPeerSilence)) {
            // An entry that is leaving or not serving claims no shard. Its claims are released or expire.
            if (!peer.last.leaving && peer.last.serving)
                entries.push_back({ peer.last.entry, peer.heardAt });
        }
        return entries;
    }

    std::optional<std::string> remoteOwner(uint32_t shard) const
    {
        const PeerView* peer = m_peers.ownerOf(shard, m_environment.settings.ownerTimeout);
        return peer ? std::optional(peer->last.entry) : std::nullopt;
    }

    JobHttp::Routing routing()
    {
        return { [this](uint32_t shard) -> ShardOwner* {
                    const auto found = m_owners.find(shard);
                    return found != m_owners.end() && found->second->isOwner() ? found->second.get() : nullptr;
                },
            [this](uint32_t shard) { return remoteOwner(shard); },
            [this](const std::string& entry, Forward request, std::function<void(ForwardReply)> done) {
                m_peers.forward(entry, std::move(request), forwardTimeout, std::move(done));
            },
            [this](Duration delay, std::function<void()> callback) { runAfter(delay, std::move(callback)); } };
    }

    /// Runs `callback` once after `delay`. The timer removes itself before.
    void runAfter(Duration delay, std::function<void()> callback)
    {
        m_timers.emplace_front(std::make_unique<Timer>(m_loop));
        const auto timer = m_timers.begin();
        (*timer)->startOnce(delay, [this, timer, callback = std::move(callback)] {
            const auto run = callback;
            m_timers.erase(timer);
            run();
        });
    }

    EventLoop& m_loop;
    PeerHub& m_peers;
    HostTable m_hosts;
    ShardEnvironment m_environment;
    std::map<uint32_t, std::unique_ptr<ShardOwner>> m_owners; ///< By shard; those that this entry owns or tries to own.
    JobHttp m_http;
    Instant m_startedAt;
    Instant m_nextOwnershipCheck;
    bool m_releasing { false };
    std::list<std::unique_ptr<Timer>> m_timers;
    Timer m_tick;
};

JobService::JobService(EventLoop& loop, const Clock& clock, const EntrySettings& settings, const ControlView& control,
    AgentHub& agents, PeerHub& peers, LogService& log, Counters& counters)
    : m_core(std::make_shared<Core>(loop, clock, settings, control, agents, peers, log, counters))
    , m_agents(agents)
{
}

JobService::~JobService() = default;

void JobService::start() { m_core->start(); }

void JobService::handle(const HttpRequest& request, Reply reply) { m_core->http().handle(request, std::move(reply)); }

void JobService::handleForwarded(const Forward& request, std::function<void(ForwardReply)> reply)
{
    m_core->http().handleForwarded(request, std::move(reply));
}

std::vector<ShardOwnership> JobService::owned() const { return m_core->owned(); }

Json JobService::status() const { return m_core->status(); }

void JobService::release(Duration timeout, std::function<void()> done) { m_core->release(timeout, std::move(done)); }

void JobService::agentConnected(const std::string& host)
{
    if (const AgentView* view = m_agents.find(host))
        m_core->agentConnected(view->identity);
}

void JobService::agentGone(const std::string& host) { m_core->agentGone(host); }

void JobService::agentMessage(const std::string& host, const Message& message) { m_core->agentMessage(host, message); }

} // namespace hemlocklead
