#include "dispatch/JobRecord.h"

#include "protocol/Pack.h"

#include <map>
#include <tuple>
#include <utility>

namespace hemlocklead::dispatch {

namespace {

    /// First byte of a packed record. It starts neither JSON text nor a MessagePack value.
    constexpr char packedMarker = '\xc1';

    // A group's first number: the phase of its tasks, and which other fields follow.
    constexpr uint64_t phaseMask = 7;
    constexpr uint64_t failuresFlag = 8;
    constexpr uint64_t hostFlag = 16;
    constexpr uint64_t checkpointFlag = 32;

    using HostLife = std::pair<std::string, int64_t>;

    /// Fields of a task that belong in its record. The host matters only while a run is placed, the checkpoint until
    /// the task is done.
    TaskState recordedState(const TaskState& task)
    {
        TaskState state;
        state.phase = task.phase;
        state.attempt = task.attempt;
        state.failures = task.failures;
        if (task.phase == TaskPhase::Placed) {
            state.host = task.host;
            state.life = task.life;
        }
        if (task.phase != TaskPhase::Done)
            state.checkpoint = task.checkpoint;
        return state;
    }

    bool haveEqualRecords(const TaskState& a, const TaskState& b)
    {
        return a.phase == b.phase && a.attempt == b.attempt && a.failures == b.failures && a.host == b.host
            && a.life == b.life && a.checkpoint == b.checkpoint;
    }

    /// Consecutive tasks of one step with equal records.
    struct TaskGroup {
        size_t gap { 0 }; ///< Tasks between the previous group and this one that have not been placed.
        size_t tasks { 0 };
        TaskState state;
    };

    std::vector<TaskGroup> groupTasks(const std::vector<TaskState>& tasks)
    {
        std::vector<TaskGroup> groups;
        size_t gap = 0;
        for (const TaskState& task : tasks) {
            if (!task.wasPlaced()) {
                ++gap;
                continue;
            }
            TaskState state = recordedState(task);
            if (gap == 0 && !groups.empty() && haveEqualRecords(groups.back().state, state))
                ++groups.back().tasks;
            else
                groups.push_back({ gap, 1, std::move(state) });
            gap = 0;
        }
        return groups;
    }

    class RecordPacker {
    public:
        void putStep(uint32_t occurrence, size_t step, const std::vector<TaskGroup>& groups)
        {
            m_steps.putUnsigned(occurrence);
            m_steps.putUnsigned(step);
            m_steps.putUnsigned(groups.size());
            for (const TaskGroup& group : groups)
                putGroup(group);
            ++m_stepCount;
        }

        void finish(PackWriter& out)
        {
            out.putUnsigned(m_hosts.size());
            int64_t lastLife = 0;
            for (const auto& [host, life] : m_hostOrder) {
                out.putText(host);
                out.putInteger(life - std::exchange(lastLife, life));
            }
            out.putUnsigned(m_stepCount);
            out.append(m_steps);
        }

    private:
        void putGroup(const TaskGroup& group)
        {
            const TaskState& state = group.state;
            m_steps.putUnsigned(static_cast<uint64_t>(state.phase) | (state.failures > 0 ? failuresFlag : 0)
                | (state.host.empty() ? 0 : hostFlag) | (state.checkpoint.empty() ? 0 : checkpointFlag));
            m_steps.putUnsigned(group.gap);
            m_steps.putUnsigned(group.tasks);
            m_steps.putUnsigned(state.attempt);
            if (state.failures > 0)
                m_steps.putUnsigned(state.failures);
            if (!state.host.empty())
                m_steps.putUnsigned(hostIndex({ state.host, state.life }));
            if (!state.checkpoint.empty())
                m_steps.putText(state.checkpoint);
        }

        size_t hostIndex(const HostLife& host)
        {
            const auto [found, isNew] = m_hosts.try_emplace(host, m_hosts.size());
            if (isNew)
                m_hostOrder.push_back(host);
            return found->second;
        }

        PackWriter m_steps;
        size_t m_stepCount { 0 };
        std::map<HostLife, size_t> m_hosts;
        std::vector<HostLife> m_hostOrder;
    };

    std::string packedRecord(const Job& job, uint64_t epoch)
    {
        PackWriter out;
        out.putUnsigned(epoch);
        out.putUnsigned(static_cast<uint64_t>(job.phase()));
        RecordPacker packer;
        if (!isFinal(job.phase()) || job.hasPlacedTasks()) {
            for (const auto& [number, occurrence] : job.occurrences()) {
                for (size_t step = 0; step < occurrence.steps.size(); ++step) {
                    const std::vector<TaskGroup> groups = groupTasks(occurrence.steps[step].tasks);
                    if (!groups.empty())
                        packer.putStep(number, step, groups);
                }
            }
        }
        packer.finish(out);
        return packedMarker + out.take();
    }

    std::optional<PackedRecordHeader> takeHeader(PackReader& in)
    {
        const uint64_t epoch = in.takeUnsigned();
        const uint64_t phase = in.takeUnsigned();
        if (!in.isValid() || phase > static_cast<uint64_t>(JobPhase::Cancelled))
            return std::nullopt;
        return PackedRecordHeader { epoch, static_cast<JobPhase>(phase) };
    }

    std::vector<HostLife> takeHosts(PackReader& in)
    {
        std::vector<HostLife> hosts;
        uint64_t life = 0;
        for (size_t count = in.takeCount(); count > 0 && in.isValid(); --count) {
            std::string host = in.takeText();
            life += static_cast<uint64_t>(in.takeInteger());
            hosts.emplace_back(std::move(host), static_cast<int64_t>(life));
        }
        return hosts;
    }

    TaskGroup takeGroup(PackReader& in, const std::vector<HostLife>& hosts)
    {
        TaskGroup group;
        const uint64_t flags = in.takeUnsigned();
        group.gap = in.takeUnsigned();
        group.tasks = in.takeUnsigned();
        group.state.attempt = static_cast<uint32_t>(in.takeUnsigned());
        if ((flags & failuresFlag) != 0)
            group.state.failures = static_cast<uint32_t>(in.takeUnsigned());
        if ((flags & hostFlag) != 0) {
            const uint64_t host = in.takeUnsigned();
            if (host < hosts.size())
                std::tie(group.state.host, group.state.life) = hosts[host];
            else
                in.reject();
        }
        if ((flags & checkpointFlag) != 0)
            group.state.checkpoint = in.takeText();
        if ((flags & phaseMask) > static_cast<uint64_t>(TaskPhase::Ended))
            in.reject();
        group.state.phase = static_cast<TaskPhase>(flags & phaseMask);
        return group;
    }

    struct PackedStep {
        uint32_t occurrence { 0 };
        uint32_t step { 0 };
        std::vector<TaskGroup> groups;
    };

    PackedStep takeStep(PackReader& in, const std::vector<HostLife>& hosts)
    {
        PackedStep step;
        step.occurrence = static_cast<uint32_t>(in.takeUnsigned());
        step.step = static_cast<uint32_t>(in.takeUnsigned());
        for (size_t count = in.takeCount(); count > 0 && in.isValid(); --count)
            step.groups.push_back(takeGroup(in, hosts));
        return step;
    }

    void applyStep(Job& job, const PackedStep& packed)
    {
        if (packed.occurrence >= job.spec().occurrences())
            return;
        Occurrence& occurrence = job.occurrence(packed.occurrence);
        if (packed.step >= occurrence.steps.size())
            return;
        std::vector<TaskState>& tasks = occurrence.steps[packed.step].tasks;
        size_t index = 0;
        for (const TaskGroup& group : packed.groups) {
            if (group.gap > tasks.size() - index)
                return;
            index += group.gap;
            for (size_t left = group.tasks; left > 0 && index < tasks.size(); --left)
                tasks[index++] = group.state;
        }
    }

} // namespace

bool isPackedRecord(std::string_view value) { return value.starts_with(packedMarker); }

std::string recordValue(const Job& job, uint64_t epoch, RecordFormat format)
{
    return format == RecordFormat::Packed ? packedRecord(job, epoch) : jsonText(job.record(epoch));
}

std::optional<PackedRecordHeader> packedRecordHeader(std::string_view value)
{
    PackReader in(value.substr(1));
    return takeHeader(in);
}

bool applyPackedRecord(Job& job, std::string_view value)
{
    PackReader in(value.substr(1));
    const std::optional<PackedRecordHeader> header = takeHeader(in);
    const std::vector<HostLife> hosts = takeHosts(in);
    std::vector<PackedStep> steps;
    for (size_t count = in.takeCount(); count > 0 && in.isValid(); --count)
        steps.push_back(takeStep(in, hosts));
    if (!header || !in.isValid() || !in.isAtEnd())
        return false;
    job.setPhase(header->phase);
    job.occurrences().clear();
    for (const PackedStep& step : steps)
        applyStep(job, step);
    job.recount();
    return true;
}

} // namespace hemlocklead::dispatch
