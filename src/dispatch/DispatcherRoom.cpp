#include "base/Log.h"
#include "dispatch/Dispatcher.h"

#include <algorithm>
#include <cmath>

namespace hemlocklead::dispatch {

std::vector<SharingStep> Dispatcher::sharingSteps() const
{
    std::vector<SharingStep> steps;
    for (const std::string& id : m_openJobs) {
        const Job* job = m_registry.find(id);
        if (!job)
            continue;
        for (const auto& [number, occurrence] : job->occurrences()) {
            for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                if (reservesProcessorsForLong(job->spec().steps[step]))
                    steps.push_back(sharingStep(*job, number, step));
            }
        }
    }
    return steps;
}

SharingStep Dispatcher::sharingStep(const Job& job, uint32_t occurrence, uint32_t step) const
{
    SharingStep result;
    result.job = &job;
    result.occurrence = occurrence;
    result.step = step;
    result.tasks = static_cast<uint32_t>(result.state().tasks.size());
    const Instant now = m_clock.now();
    TaskId id = result.firstTask();
    for (const TaskState& task : result.state().tasks) {
        const HostRun* run = task.phase == TaskPhase::Placed ? m_hosts.findRun(task.host, id) : nullptr;
        ++id.index;
        if (!run || run->stopping)
            continue;
        ++result.placed;
        const bool isAtWork
            = run->seen && task.percent == 100 && m_hosts.hosts().at(task.host).isInTouch(now, m_settings.maxReportAge);
        result.atWork += isAtWork ? 1 : 0;
    }
    for (const auto& [task, transfer] : m_roomTransfers)
        result.placed += transfer.receiver == result.firstTask() ? 1 : 0;
    return result;
}

bool Dispatcher::mayFindRoomSoon(const StepSpec& step) const
{
    const Instant now = m_clock.now();
    return std::ranges::any_of(m_hosts.hosts(), [&](const auto& entry) {
        const HostState& host = entry.second;
        if (host.isInTouch(now, m_settings.maxReportAge))
            return false;
        // This owner has not heard yet what runs there.
        if (host.life == 0)
            return now < m_formerLeasesEnd;
        return now - host.reportedAt < m_settings.lease && step.resources.fitsIn(host.free());
    });
}

void Dispatcher::shareRoom()
{
    const Instant now = m_clock.now();
    std::erase_if(m_roomTransfers, [&](const auto& entry) {
        const HostState* host = m_hosts.find(entry.second.host);
        return !host || !host->runs.contains(entry.first);
    });
    const auto lacksRoom = [&](const StepState& state) {
        return state.noRoomSince && now - *state.noRoomSince >= m_settings.minWaitForRoom;
    };
    const auto hasStepWithoutRoom = [&](const std::string& id) {
        const Job* job = m_registry.find(id);
        return job && std::ranges::any_of(job->occurrences(), [&](const auto& occurrence) {
            return std::ranges::any_of(occurrence.second.steps, lacksRoom);
        });
    };
    if (std::ranges::none_of(m_openJobs, hasStepWithoutRoom))
        return;
    std::vector<SharingStep> steps = sharingSteps();
    std::ranges::sort(steps, {}, [](const SharingStep& step) { return std::pair(step.share(), step.job->offset()); });
    const PlacementContext context = placementContext();
    for (SharingStep& step : steps) {
        if (lacksRoom(step.state()) && !mayFindRoomSoon(step.spec()))
            makeRoom(step, steps, context);
    }
}

void Dispatcher::holdTransferredRoom()
{
    for (const auto& [task, transfer] : m_roomTransfers) {
        HostState& host = m_hosts.host(transfer.host);
        const auto run = host.runs.find(task);
        const Job* receiver = m_registry.find(transfer.receiver.job);
        if (run == host.runs.end() || !receiver)
            continue;
        // What the receiver needs beyond the room of the run must still be free when the run has ended.
        const Resources& needed = receiver->spec().steps[transfer.receiver.step].resources;
        const Resources& given = run->second.reserved;
        host.held = host.held
            + Resources { std::max<int64_t>(needed.cpuMilli - given.cpuMilli, 0),
                  std::max<int64_t>(needed.memoryMib - given.memoryMib, 0),
                  std::max<int64_t>(needed.accelerators - given.accelerators, 0) };
        host.heldFor = receiver->id();
        host.isHeldFromShortTasks = true;
    }
    dropEndedMemoryTransfers();
    for (const auto& [name, transfer] : m_memoryTransfers) {
        HostState& host = m_hosts.host(name);
        host.held = host.held + m_registry.find(transfer.receiver.job)->spec().steps[transfer.receiver.step].resources;
        host.heldFor = transfer.receiver.job;
        host.isHeldFromShortTasks = true;
    }
}

void Dispatcher::dropEndedMemoryTransfers()
{
    const Instant now = m_clock.now();
    std::erase_if(m_memoryTransfers, [&](const auto& entry) {
        const MemoryTransfer& transfer = entry.second;
        Job* job = m_openJobs.contains(transfer.receiver.job) ? m_registry.find(transfer.receiver.job) : nullptr;
        if (!job || now - transfer.since >= m_settings.maxMemoryTransferTime)
            return true;
        return job->occurrence(transfer.receiver.occurrence).steps[transfer.receiver.step].waiting() == 0;
    });
}

bool Dispatcher::canResumeElsewhere(const HostRun& run) const
{
    Job* job = m_registry.find(run.task.job);
    if (!job || !run.bestEffort || run.longRunning || run.stopping || !run.seen)
        return false;
    const TaskState* task = job->find(run.task);
    // Without checkpoints a stop would discard the progress.
    return job->spec().steps[run.task.step].checkpoints && task && task->moves < m_settings.maxMoves;
}

bool Dispatcher::mayStopForMemory(const HostRun& run) const
{
    // The end of one member breaks the run of a gang.
    return canResumeElsewhere(run) && !m_registry.find(run.task.job)->spec().steps[run.task.step].gang;
}

const HostState* Dispatcher::hostWithTransferredMemory(const StepPlacement& placement, const PlacementContext& context)
{
    PlacementConstraints constraints = placement.constraints;
    constraints.mayUseHeldRoom = true;
    const auto isReady = [&](const auto& entry) {
        return entry.second.receiver == placement.firstTask()
            && rejectionOf(m_hosts.host(entry.first), placement.spec(), constraints, context, placement.limits)
            == HostRejection::None;
    };
    const auto ready = std::ranges::find_if(m_memoryTransfers, isReady);
    if (ready == m_memoryTransfers.end())
        return nullptr;
    const HostState& host = m_hosts.host(ready->first);
    m_memoryTransfers.erase(ready);
    return &host;
}

void Dispatcher::takeMemory(const StepPlacement& placement, const PlacementContext& context)
{
    if (!reservesProcessorsForLong(placement.spec()))
        return;
    std::set<std::string> excluded;
    uint32_t transfers = 0;
    for (const auto& [task, transfer] : m_roomTransfers)
        excluded.insert(transfer.host);
    for (const auto& [host, transfer] : m_memoryTransfers) {
        excluded.insert(host);
        transfers += transfer.receiver == placement.firstTask() ? 1 : 0;
    }
    StepState& state = placement.state();
    const auto mayStop = [this](const HostRun& run) { return mayStopForMemory(run); };
    const std::optional<RunsToStop> chosen
        = chooseRunsToStopForMemory(placement.spec(), placement.constraints, context, mayStop, excluded);
    if (!chosen) {
        state.noMemorySince.reset();
        return;
    }
    if (!state.noMemorySince)
        state.noMemorySince = context.now;
    if (context.now - *state.noMemorySince < m_settings.minWaitForMemory
        || transfers >= std::min(state.waiting(), m_settings.maxStopsForRoom))
        return;
    HostState& host = m_hosts.host(chosen->host);
    for (const std::string& name : chosen->tasks) {
        HostRun& run = host.runs.at(name);
        LogEvent(LogLevel::Info, "run_stopped_for_memory")
            .field("host", host.name)
            .field("task", name)
            .field("attempt", run.attempt)
            .field("memory_mib", run.reserved.memoryMib)
            .field("receiver", placement.job->id());
        m_counters.add("runs_stopped_for_memory");
        ++m_registry.find(run.task.job)->find(run.task)->moves;
        stopRun(host, run);
    }
    m_memoryTransfers.emplace(host.name, MemoryTransfer { placement.firstTask(), context.now });
}

void Dispatcher::makeRoom(SharingStep& needy, std::vector<SharingStep>& steps, const PlacementContext& context)
{
    PlacementConstraints constraints = constraintsOf(*needy.job, needy.state(), needy.spec());
    std::set<std::string> hosts;
    uint32_t stopping = 0;
    for (const auto& [task, transfer] : m_roomTransfers) {
        hosts.insert(transfer.host);
        if (transfer.receiver != needy.firstTask())
            continue;
        ++stopping;
        ++constraints.tasksByHost[transfer.host];
    }
    for (; stopping < m_settings.maxStopsForRoom && needy.placed < needy.tasks; ++stopping) {
        const std::optional<RunToStop> chosen = chooseRunToStop(needy, constraints, steps, hosts, context);
        if (!chosen)
            return;
        HostState& host = m_hosts.host(chosen->host);
        HostRun& run = host.runs.at(chosen->task);
        LogEvent(LogLevel::Info, "run_stopped_for_room")
            .field("host", host.name)
            .field("task", chosen->task)
            .field("attempt", run.attempt)
            .field("receiver", needy.job->id())
            .field("share_per_mille", std::lround(chosen->from->share() * 1000))
            .field("receiver_share_per_mille", std::lround(needy.share() * 1000));
        m_counters.add("runs_stopped_for_room");
        stopRun(host, run);
        m_roomTransfers.emplace(chosen->task, RoomTransfer { host.name, needy.firstTask() });
        hosts.insert(host.name);
        ++constraints.tasksByHost[host.name];
        --chosen->from->placed;
        --chosen->from->atWork;
        ++needy.placed;
    }
}

} // namespace hemlocklead::dispatch
