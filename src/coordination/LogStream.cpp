#include "coordination/LogStream.h"

#include "coordination/LogStreamCore.h"

namespace hemlocklead {

LogStream::LogStream(Settings settings, LogService& log, const Clock& clock, StreamFold& fold, Counters& counters)
    : m_core(std::make_shared<Core>(std::move(settings), log, clock, fold, counters))
{
}

LogStream::~LogStream() { m_core->close(); }

void LogStream::tick() { m_core->tick(); }

bool LogStream::isCaughtUp() const { return m_core->isCaughtUp(); }

bool LogStream::isStateLost() const { return m_core->isStateLost(); }

std::optional<Instant> LogStream::confirmedAt() const { return m_core->confirmedAt(); }

void LogStream::adopt(const Json& snapshot) { m_core->adopt(snapshot); }

Json LogStream::snapshot() const { return m_core->snapshot(); }

void LogStream::append(Json record, std::function<void(RecordOutcome)> done)
{
    m_core->append(std::move(record), std::move(done));
}

size_t LogStream::pendingAppends() const { return m_core->pendingAppends(); }

void LogStream::pollNow() { m_core->pollNow(); }

void LogStream::writeSnapshot(std::function<void(bool)> done) { m_core->writeSnapshot(std::move(done)); }

void LogStream::onStateChanged(std::function<void()> handler) { m_core->onStateChanged(std::move(handler)); }

} // namespace hemlocklead
