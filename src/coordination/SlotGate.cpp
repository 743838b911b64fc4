#include "coordination/SlotGate.h"

#include <algorithm>
#include <cassert>

namespace hemlocklead {

bool SlotGate::announce(const Announcement& announcement, Instant now)
{
    Target* known = find(announcement.service, announcement.instance);
    if (known && known->announcement.address != announcement.address) {
        // The instance was restarted at another address: calls in progress at the old one keep their own slots.
        withdraw(*known);
        known = nullptr;
    }
    if (!known) {
        ++m_lastId;
        m_targets[m_lastId] = { m_lastId, announcement, now, 0, false };
        return true;
    }
    const bool changed = known->announcement != announcement;
    known->announcement = announcement;
    known->announcedAt = now;
    return changed;
}

bool SlotGate::withdraw(std::string_view service, std::string_view instance)
{
    Target* target = find(service, instance);
    if (!target)
        return false;
    withdraw(*target);
    return true;
}

bool SlotGate::expireTargets(Instant now)
{
    std::vector<Target*> expired;
    for (auto& [id, target] : m_targets) {
        if (!target.withdrawn && !isLive(target, now))
            expired.push_back(&target);
    }
    for (Target* target : expired)
        withdraw(*target);
    return !expired.empty();
}

SlotGate::Offer SlotGate::offer(uint64_t call, const std::string& service, Instant deadline, Instant now)
{
    const auto refuse = [call](ErrorKind reason) { return Offer { std::nullopt, Refusal { call, reason } }; };
    if (m_leaving)
        return refuse(ErrorKind::Leaving);
    if (now >= deadline)
        return refuse(ErrorKind::Timeout);
    const int64_t targets = liveTargets(service, now);
    if (targets == 0)
        return refuse(ErrorKind::NoTarget);
    const int64_t waiting = queued(service);
    Target* target = waiting == 0 ? freeTarget(service, now) : nullptr;
    if (target) {
        ++target->busy;
        return { Grant { call, target->id }, std::nullopt };
    }
    if (waiting >= m_settings.queuePerTarget * targets)
        return refuse(ErrorKind::Overloaded);
    m_queues[service].emplace(QueueKey { deadline, call }, call);
    return {};
}

void SlotGate::release(uint64_t id)
{
    const auto found = m_targets.find(id);
    assert(found != m_targets.end() && found->second.busy > 0);
    --found->second.busy;
    if (found->second.withdrawn && found->second.busy == 0)
        m_targets.erase(found);
}

std::vector<SlotGate::Grant> SlotGate::grantNext(Instant now)
{
    std::vector<Grant> grants;
    for (auto& [service, queue] : m_queues) {
        while (!queue.empty()) {
            Target* target = freeTarget(service, now);
            if (!target)
                break;
            ++target->busy;
            grants.push_back({ queue.begin()->second, target->id });
            queue.erase(queue.begin());
        }
    }
    return grants;
}

std::vector<SlotGate::Refusal> SlotGate::expireCalls(Instant now)
{
    std::vector<Refusal> refusals;
    for (auto& [service, queue] : m_queues) {
        const bool noTarget = liveTargets(service, now) == 0;
        while (!queue.empty() && (noTarget || now >= queue.begin()->first.first)) {
            refusals.push_back({ queue.begin()->second, noTarget ? ErrorKind::NoTarget : ErrorKind::Timeout });
            queue.erase(queue.begin());
        }
    }
    std::erase_if(m_queues, [](const auto& entry) { return entry.second.empty(); });
    return refusals;
}

bool SlotGate::drop(uint64_t call)
{
    for (auto& [service, queue] : m_queues) {
        if (std::erase_if(queue, [call](const auto& entry) { return entry.second == call; }) > 0)
            return true;
    }
    return false;
}

std::vector<SlotGate::Refusal> SlotGate::leave()
{
    m_leaving = true;
    std::vector<Refusal> refusals;
    for (const auto& [service, queue] : m_queues) {
        for (const auto& [key, call] : queue)
            refusals.push_back({ call, ErrorKind::Leaving });
    }
    m_queues.clear();
    return refusals;
}

std::vector<const SlotGate::Target*> SlotGate::announced() const
{
    std::vector<const Target*> targets;
    for (const auto& [id, target] : m_targets) {
        if (!target.withdrawn)
            targets.push_back(&target);
    }
    return targets;
}

const SlotGate::Target* SlotGate::target(uint64_t id) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : &found->second;
}

int64_t SlotGate::load(std::string_view service) const
{
    int64_t busy = queued(service);
    for (const auto& [id, target] : m_targets) {
        if (!target.withdrawn && target.announcement.service == service)
            busy += target.busy;
    }
    return busy;
}

int64_t SlotGate::queued(std::string_view service) const
{
    const auto queue = m_queues.find(service);
    return queue == m_queues.end() ? 0 : static_cast<int64_t>(queue->second.size());
}

SlotGate::Target* SlotGate::find(std::string_view service, std::string_view instance)
{
    for (auto& [id, target] : m_targets) {
        const Announcement& announcement = target.announcement;
        if (!target.withdrawn && announcement.service == service && announcement.instance == instance)
            return &target;
    }
    return nullptr;
}

SlotGate::Target* SlotGate::freeTarget(std::string_view service, Instant now)
{
    Target* best = nullptr;
    for (auto& [id, target] : m_targets) {
        const Announcement& announcement = target.announcement;
        const int64_t slots = std::min(announcement.slots, announcement.connections);
        if (announcement.service != service || !isLive(target, now) || target.busy >= slots)
            continue;
        if (!best || target.busy < best->busy)
            best = &target;
    }
    return best;
}

bool SlotGate::isLive(const Target& target, Instant now) const
{
    return !target.withdrawn && now - target.announcedAt <= m_settings.announcementTtl;
}

int64_t SlotGate::liveTargets(std::string_view service, Instant now) const
{
    return std::ranges::count_if(m_targets,
        [&](const auto& entry) { return entry.second.announcement.service == service && isLive(entry.second, now); });
}

void SlotGate::withdraw(Target& target)
{
    target.withdrawn = true;
    const uint64_t id = target.id;
    if (target.busy == 0)
        m_targets.erase(id);
}

} // namespace hemlocklead
