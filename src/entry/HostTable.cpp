#include "entry/HostTable.h"

#include "state/ControlState.h"

#include <algorithm>
#include <type_traits>

namespace hemlocklead {

namespace {

    constexpr Duration disconnectedHostRetention { 600'000 };
    /// Weight of a new report in the moving average of a score.
    constexpr double interferenceWeight = 0.5;

} // namespace

HostTable::HostTable()
    : m_ejector(StartEjector::Settings {})
{
}

void HostTable::handleConnected(const Hello& hello, Instant)
{
    const auto [found, isNew] = m_index.try_emplace(hello.host, m_hosts.size());
    if (isNew) {
        m_hosts.emplace_back();
        m_records.emplace_back();
    }
    PlacementHost& host = m_hosts[found->second];
    host.name = hello.host;
    host.dataCentre = hello.dataCentre;
    host.rack = hello.dataCentre + "/" + hello.rack;
    Record& record = m_records[found->second];
    if (record.incarnation != hello.incarnation)
        record.ledgerReady = false;
    record.incarnation = hello.incarnation;
    record.connected = true;
    record.leaving = false;
    record.stamp = Stamp {};
    record.pendingReservations.clear();
    record.held.clear();
    ++m_version;
}

void HostTable::handleDisconnected(const std::string& host, Instant now)
{
    Record* record = find(host);
    if (!record)
        return;
    record->connected = false;
    record->disconnectedAt = now;
    record->pendingReservations.clear();
    m_hosts[indexOf(host)].usable = false;
}

bool HostTable::handleMessage(const std::string& host, const Message& message, Instant)
{
    Record* record = find(host);
    if (!record || !record->connected)
        return false;
    if (const auto* keepalive = std::get_if<Keepalive>(&message)) {
        if (!noteStamp(*record, keepalive->stamp))
            return false;
        noteKeepalive(host, *record, *keepalive);
    } else if (const auto* reserved = std::get_if<ReserveReply>(&message)) {
        if (!noteStamp(*record, reserved->stamp))
            return false;
        record->reportedFree = reserved->free;
        removePendingReservation(host, reserved->key);
    } else if (const auto* started = std::get_if<StartReply>(&message)) {
        return noteStamp(*record, started->stamp);
    } else if (std::holds_alternative<Leaving>(message)) {
        record->leaving = true;
        m_hosts[indexOf(host)].usable = false;
    }
    return true;
}

void HostTable::refresh(const ControlState& control, Instant now)
{
    removeExpired(now);
    std::erase_if(m_evicting, [&](const auto& evicting) { return evicting.second <= now; });
    m_totalCapacity = Resources {};
    for (size_t i = 0; i < m_hosts.size(); ++i) {
        const Record& record = m_records[i];
        PlacementHost& host = m_hosts[i];
        const bool ready = record.connected && record.ledgerReady && !record.leaving && now >= record.avoidedUntil;
        host.usable = ready && !control.isOut(host.dataCentre) && !m_ejector.isEjected(host.name, now);
        if (record.connected)
            m_totalCapacity = m_totalCapacity + host.capacity;
    }
}

size_t HostTable::connectedCount() const
{
    return static_cast<size_t>(std::ranges::count(m_records, true, &Record::connected));
}

bool HostTable::isConnected(std::string_view host) const
{
    const Record* record = find(host);
    return record && record->connected;
}

std::optional<Stamp> HostTable::stampOf(std::string_view host) const
{
    const Record* record = find(host);
    if (!record || !record->connected || record->stamp == Stamp {})
        return std::nullopt;
    return record->stamp;
}

std::optional<Stamp> HostTable::stampIfListed(std::string_view host, const AttemptKey& key) const
{
    const Record* record = find(host);
    return record && record->held.contains(key) ? stampOf(host) : std::nullopt;
}

std::optional<HostLocation> HostTable::locationOf(std::string_view host) const
{
    if (!m_index.contains(host))
        return std::nullopt;
    const PlacementHost& view = m_hosts[indexOf(host)];
    return HostLocation { view.dataCentre, view.rack };
}

void HostTable::addPendingReservation(const std::string& host, const AttemptKey& key, const Resources& resources)
{
    if (Record* record = find(host)) {
        record->pendingReservations[key] = resources;
        updateFree(host);
    }
}

void HostTable::removePendingReservation(const std::string& host, const AttemptKey& key)
{
    if (Record* record = find(host)) {
        record->pendingReservations.erase(key);
        updateFree(host);
    }
}

void HostTable::noteEnded(const std::string& host, const AttemptKey& key, const Resources& resources)
{
    Record* record = find(host);
    if (!record)
        return;
    record->held.erase(key);
    record->reportedFree = record->reportedFree + resources;
    updateFree(host);
    m_evicting.erase(key);
}

void HostTable::avoid(const std::string& host, Instant until)
{
    if (Record* record = find(host)) {
        record->avoidedUntil = until;
        m_hosts[indexOf(host)].usable = false;
    }
}

std::map<std::string, double> HostTable::interferenceOf(const std::string& task) const
{
    std::map<std::string, double> scores;
    for (auto pair = m_interference.lower_bound({ task, {} }); pair != m_interference.end(); ++pair) {
        if (pair->first.first != task)
            break;
        scores[pair->first.second] = pair->second;
    }
    return scores;
}

std::vector<EvictionCandidate> HostTable::evictable(Instant now) const
{
    std::vector<EvictionCandidate> candidates;
    for (size_t i = 0; i < m_hosts.size(); ++i) {
        if (!m_hosts[i].usable)
            continue;
        for (const auto& [key, held] : m_records[i].held) {
            const auto evicting = m_evicting.find(key);
            if (held.evictable && (evicting == m_evicting.end() || evicting->second <= now))
                candidates.push_back({ key, m_hosts[i].name, held.resources, held.progressSinceCheckpoint });
        }
    }
    return candidates;
}

void HostTable::markEvicting(const AttemptKey& key, Instant until) { m_evicting[key] = until; }

Json HostTable::status(Instant now) const
{
    Json hosts = Json::array();
    for (size_t i = 0; i < m_hosts.size(); ++i) {
        const PlacementHost& host = m_hosts[i];
        const Record& record = m_records[i];
        hosts.push_back({ { "host", host.name }, { "data_centre", host.dataCentre }, { "rack", host.rack },
            { "connected", record.connected }, { "leaving", record.leaving }, { "capacity", host.capacity },
            { "free", host.free }, { "attempts", record.held.size() },
            { "ejected", m_ejector.isEjected(host.name, now) } });
    }
    return hosts;
}

HostTable::Record* HostTable::find(std::string_view host)
{
    const auto found = m_index.find(host);
    return found == m_index.end() ? nullptr : &m_records[found->second];
}

const HostTable::Record* HostTable::find(std::string_view host) const
{
    const auto found = m_index.find(host);
    return found == m_index.end() ? nullptr : &m_records[found->second];
}

bool HostTable::noteStamp(Record& record, const Stamp& stamp) const
{
    if (stamp.incarnation != record.incarnation)
        return false;
    if (stamp.timeMs > record.stamp.timeMs || record.stamp == Stamp {})
        record.stamp = stamp;
    return true;
}

void HostTable::noteKeepalive(const std::string& host, Record& record, const Keepalive& keepalive)
{
    PlacementHost& view = m_hosts[indexOf(host)];
    if (view.capacity != keepalive.capacity || record.ledgerReady != keepalive.ledgerReady)
        ++m_version;
    record.ledgerReady = keepalive.ledgerReady;
    view.capacity = keepalive.capacity;
    record.reportedFree = keepalive.free;
    view.services.clear();
    for (const TargetReport& target : keepalive.targets)
        view.services.push_back(target.service);
    noteAttempts(record, keepalive);
    noteInterference(keepalive.interference);
    updateFree(host);
}

void HostTable::noteAttempts(Record& record, const Keepalive& keepalive) const
{
    if (keepalive.full)
        record.held.clear();
    for (const AttemptReport& report : keepalive.attempts) {
        record.held[report.key] = Held { report.spec.resources, !report.spec.watch && !report.spec.urgent,
            report.progress - report.checkpointProgress };
    }
}

void HostTable::noteInterference(const std::vector<InterferenceReport>& reports)
{
    for (const InterferenceReport& report : reports) {
        double& score = m_interference[{ report.task, report.service }];
        score += interferenceWeight * (report.score - score);
    }
}

void HostTable::updateFree(const std::string& host)
{
    const Record* record = find(host);
    Resources free = record->reportedFree;
    for (const auto& [key, resources] : record->pendingReservations)
        free = free - resources;
    m_hosts[indexOf(host)].free = free;
}

void HostTable::removeExpired(Instant now)
{
    for (size_t i = 0; i < m_hosts.size();) {
        if (!m_records[i].connected && now - m_records[i].disconnectedAt > disconnectedHostRetention)
            remove(i);
        else
            ++i;
    }
}

void HostTable::remove(size_t index)
{
    m_ejector.forget(m_hosts[index].name);
    m_index.erase(m_hosts[index].name);
    if (index + 1 != m_hosts.size()) {
        m_hosts[index] = std::move(m_hosts.back());
        m_records[index] = std::move(m_records.back());
        m_index[m_hosts[index].name] = index;
    }
    m_hosts.pop_back();
    m_records.pop_back();
}

} // namespace hemlocklead
