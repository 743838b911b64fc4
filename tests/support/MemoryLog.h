#pragma once

#include "support/LogStore.h"

#include <utility>
#include <vector>

namespace hemlocklead {

/// LogService on a LogStore. Operations are queued until `run` or `runOne` executes them, optionally with a fault.
class MemoryLog final : public LogService {
public:
    enum class Fault : uint8_t {
        None,
        Refused, ///< Not stored; the caller is told so.
        Lost, ///< Not stored and not answered.
        LoseAnswer, ///< Stored but not answered.
        LateCopy, ///< Not answered; stored by the next `storeLateCopies`.
    };

    explicit MemoryLog(LogStore& store)
        : m_store(store)
    {
    }

    void append(const std::string& stream, std::string data, std::function<void(AppendOutcome)> done) override
    {
        m_operations.push_back([this, stream, text = std::move(data), finish = std::move(done)](
                                   Fault fault) { finish(appendNow(stream, text, fault)); });
    }

    void read(const std::string& stream, uint64_t from, size_t limit,
        std::function<void(std::optional<LogPage>)> done) override
    {
        m_operations.push_back([this, stream, from, limit, finish = std::move(done)](Fault fault) {
            if (fault == Fault::None)
                finish(m_store.read(stream, from, limit));
            else
                finish(std::nullopt);
        });
        ++m_reads;
    }

    /// Number of queued operations.
    size_t pending() const { return m_operations.size(); }

    /// Number of reads requested so far.
    size_t reads() const { return m_reads; }

    /// Executes the queued operation at `index`, which allows reordering.
    void runOne(size_t index, Fault fault = Fault::None)
    {
        const Operation operation = std::move(m_operations[index]);
        m_operations.erase(m_operations.begin() + static_cast<ptrdiff_t>(index));
        operation(fault);
    }

    /// Executes all operations that are queued at the time of the call.
    void run(Fault fault = Fault::None)
    {
        for (const Operation& operation : std::exchange(m_operations, {}))
            operation(fault);
    }

    /// Drops the queued operations, as when the process dies.
    void dropAll() { m_operations.clear(); }

    /// Stores the appends that `LateCopy` has delayed.
    void storeLateCopies()
    {
        for (auto& [stream, data] : std::exchange(m_lateCopies, {}))
            m_store.append(stream, std::move(data));
    }

private:
    using Operation = std::function<void(Fault)>;

    AppendOutcome appendNow(const std::string& stream, const std::string& data, Fault fault)
    {
        if (fault == Fault::Refused)
            return { AppendOutcome::Status::NotStored, 0 };
        if (fault == Fault::LateCopy)
            m_lateCopies.emplace_back(stream, data);
        if (fault == Fault::LateCopy || fault == Fault::Lost)
            return { AppendOutcome::Status::Unknown, 0 };
        const uint64_t offset = m_store.append(stream, data);
        const bool isAnswered = fault == Fault::None;
        return { isAnswered ? AppendOutcome::Status::Stored : AppendOutcome::Status::Unknown, isAnswered ? offset : 0 };
    }

    LogStore& m_store;
    std::vector<Operation> m_operations;
    std::vector<std::pair<std::string, std::string>> m_lateCopies;
    size_t m_reads { 0 };
};

} // namespace hemlocklead
