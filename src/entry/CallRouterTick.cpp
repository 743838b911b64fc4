#include "entry/CallRouter.h"

#include <utility>

namespace hemlocklead {

void CallRouter::tick()
{
    shedQueued();
    // Raising a limit lets queued requests in even if no admitted request ends.
    for (const auto& [name, queue] : m_admission) {
        if (queue.queued() > 0)
            admitNext(name);
    }
    std::vector<uint64_t> serials;
    serials.reserve(m_exchanges.size());
    for (const auto& [serial, exchange] : m_exchanges)
        serials.push_back(serial);
    for (const uint64_t serial : serials) {
        if (m_exchanges.contains(serial))
            tickExchange(serial);
    }
}

void CallRouter::tickExchange(uint64_t serial)
{
    Exchange& exchange = *m_exchanges.at(serial);
    if (!exchange.admitted)
        return;
    const Instant now = m_clock.now();
    if (now >= exchange.request().deadline)
        endWithError(serial, exchange.failure());
    else if (exchange.retryAt && now >= *exchange.retryAt)
        startTry(serial, false);
    else
        hedgeIfDue(serial, exchange);
}

void CallRouter::hedgeIfDue(uint64_t serial, Exchange& exchange)
{
    if (!m_settings.hedging || !exchange.mayHedge())
        return;
    Route& serviceRoute = route(exchange.request().service);
    const auto delay = serviceRoute.latency.hedgeDelay();
    const std::chrono::microseconds waited = m_clock.preciseNow() - exchange.tries().front().sentAt;
    if (!delay || waited < *delay)
        return;
    exchange.noteHedge();
    if (!serviceRoute.budget.take())
        return;
    m_counters.add("hedges");
    startTry(serial, true);
}

void CallRouter::shedQueued()
{
    for (auto& [name, queue] : m_admission) {
        if (queue.queued() == 0)
            continue;
        const CatalogueItem* item = m_control().item(name);
        const CatalogueEntry* entry = item ? item->governing() : nullptr;
        const Duration expected
            = entry ? expectedTime(route(entry->service.empty() ? name : entry->service)) : Duration { 0 };
        for (const uint64_t serial : queue.shed(m_clock.now(), expected)) {
            m_counters.add("requests_shed");
            endWithError(serial, ErrorKind::Overloaded, "the deadline cannot be met");
        }
    }
}

void CallRouter::endTries(Exchange& exchange, bool countAsFailures)
{
    TargetChooser& chooser = route(exchange.request().service).chooser;
    while (!exchange.tries().empty()) {
        const Exchange::Try ended = *exchange.takeTry(std::string(exchange.tries().front().id));
        m_tries.erase(ended.id);
        m_send(ended.host, CallCancel { ended.id });
        // The latency of a cancelled try is at least the time waited so far, so that time is recorded if it is higher
        // than the estimate of the target.
        const std::chrono::microseconds waited = m_clock.preciseNow() - ended.sentAt;
        const auto target = chooser.targets().find(ended.host);
        const bool slower
            = target != chooser.targets().end() && static_cast<double>(waited.count()) > target->second.latencyUs;
        chooser.ended(ended.host, slower ? std::optional(waited) : std::nullopt);
        if (countAsFailures)
            chooser.ejector().record(ended.host, false, m_clock.now());
    }
}

void CallRouter::removeExchange(uint64_t serial)
{
    const auto found = m_exchanges.find(serial);
    const std::unique_ptr<Exchange> removed = std::move(found->second);
    m_exchanges.erase(found);
    const CallRequest& request = removed->request();
    AdmissionQueue& queue = m_admission[request.name];
    if (!removed->admitted) {
        queue.remove(serial, request.deadline);
        return;
    }
    queue.release();
    admitNext(request.name);
}

void CallRouter::admitNext(const std::string& name)
{
    const CatalogueItem* item = m_control().item(name);
    const CatalogueEntry* entry = item ? item->governing() : nullptr;
    const AdmissionQueue::Limits limits = entry ? admissionLimits(*entry) : AdmissionQueue::Limits {};
    const auto next = m_admission[name].admitNext(limits);
    if (!next)
        return;
    m_exchanges.at(*next)->admitted = true;
    startTry(*next, false);
}

} // namespace hemlocklead
