#include "dispatch/JobState.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace hemlocklead::dispatch {

namespace {

    constexpr std::array<std::string_view, 5> phaseNames { "queued", "running", "completed", "failed", "cancelled" };

    /// Columns of a row in the record's task list.
    enum Column : size_t {
        OccurrenceColumn,
        StepColumn,
        IndexColumn,
        PhaseColumn,
        AttemptColumn,
        FailuresColumn,
        HostColumn,
        LifeColumn,
        CheckpointColumn,
        ColumnCount
    };

    Json taskRow(uint32_t occurrence, size_t step, size_t index, const TaskState& task)
    {
        Json row = { occurrence, step, index, static_cast<int>(task.phase), task.attempt, task.failures };
        const bool needsHost = task.phase == TaskPhase::Placed;
        const bool needsCheckpoint = task.phase != TaskPhase::Done && !task.checkpoint.empty();
        if (needsHost || needsCheckpoint) {
            row.push_back(needsHost ? task.host : std::string());
            row.push_back(needsHost ? task.life : 0);
        }
        if (needsCheckpoint)
            row.push_back(task.checkpoint);
        return row;
    }

} // namespace

std::string_view phaseName(JobPhase phase) { return phaseNames[static_cast<size_t>(phase)]; }

bool Occurrence::isDone() const
{
    return std::ranges::all_of(steps, [](const StepState& step) { return step.isDone(); });
}

Job::Job(std::string id, QueuePolicy policy, JobSpec spec, uint64_t offset, Instant seenAt)
    : m_id(std::move(id))
    , m_policy(std::move(policy))
    , m_spec(std::move(spec))
    , m_offset(offset)
    , m_seenAt(seenAt)
    , m_lastEventAt(seenAt)
{
}

Occurrence& Job::occurrence(uint32_t number)
{
    assert(number < m_spec.occurrences());
    Occurrence& occurrence = m_occurrences[number];
    if (occurrence.steps.empty()) {
        for (const StepSpec& step : m_spec.steps)
            occurrence.steps.push_back({ std::vector<TaskState>(step.tasks), 0, 0 });
    }
    return occurrence;
}

TaskState* Job::find(const TaskId& task)
{
    const auto found = m_occurrences.find(task.occurrence);
    if (found == m_occurrences.end() || task.step >= found->second.steps.size())
        return nullptr;
    std::vector<TaskState>& tasks = found->second.steps[task.step].tasks;
    return task.index < tasks.size() ? &tasks[task.index] : nullptr;
}

void Job::forEachTask(const std::function<void(const TaskId&, const TaskState&)>& visit) const
{
    TaskId id { m_id };
    for (const auto& [number, occurrence] : m_occurrences) {
        id.occurrence = number;
        for (id.step = 0; id.step < occurrence.steps.size(); ++id.step) {
            const std::vector<TaskState>& tasks = occurrence.steps[id.step].tasks;
            for (id.index = 0; id.index < tasks.size(); ++id.index)
                visit(id, tasks[id.index]);
        }
    }
}

void Job::setTaskPhase(const TaskId& id, TaskPhase phase)
{
    TaskState* task = find(id);
    assert(task);
    StepState& step = m_occurrences[id.occurrence].steps[id.step];
    step.done -= task->phase == TaskPhase::Done;
    step.placed -= task->phase == TaskPhase::Placed;
    task->phase = phase;
    step.done += phase == TaskPhase::Done;
    step.placed += phase == TaskPhase::Placed;
}

bool Job::allOccurrencesDone() const
{
    return m_occurrences.size() == m_spec.occurrences()
        && std::ranges::all_of(m_occurrences, [](const auto& entry) { return entry.second.isDone(); });
}

bool Job::hasPlacedTasks() const
{
    for (const auto& [number, occurrence] : m_occurrences) {
        for (const StepState& step : occurrence.steps) {
            if (step.placed > 0)
                return true;
        }
    }
    return false;
}

Json Job::record(uint64_t epoch) const
{
    Json json = { { "epoch", epoch }, { "phase", static_cast<int>(m_phase) } };
    if (isFinal(m_phase) && !hasPlacedTasks())
        return json;
    Json rows = Json::array();
    for (const auto& [number, occurrence] : m_occurrences) {
        for (size_t step = 0; step < occurrence.steps.size(); ++step) {
            const std::vector<TaskState>& tasks = occurrence.steps[step].tasks;
            for (size_t index = 0; index < tasks.size(); ++index) {
                if (tasks[index].wasPlaced())
                    rows.push_back(taskRow(number, step, index, tasks[index]));
            }
        }
    }
    json["tasks"] = std::move(rows);
    return json;
}

void Job::applyRecord(const Json& record)
{
    const int phase = record.value("phase", 0);
    if (phase >= 0 && phase < static_cast<int>(phaseNames.size()))
        m_phase = static_cast<JobPhase>(phase);
    m_occurrences.clear();
    for (const Json& row : record.value("tasks", Json::array())) {
        if (!row.is_array() || row.size() <= FailuresColumn)
            continue;
        const auto number = row[OccurrenceColumn].get<uint32_t>();
        if (number >= m_spec.occurrences())
            continue;
        occurrence(number);
        TaskState* task = find({ m_id, number, row[StepColumn].get<uint32_t>(), row[IndexColumn].get<uint32_t>() });
        const int taskPhase = row[PhaseColumn].get<int>();
        if (!task || taskPhase < 0 || taskPhase > static_cast<int>(TaskPhase::Ended))
            continue;
        task->phase = static_cast<TaskPhase>(taskPhase);
        task->attempt = row[AttemptColumn].get<uint32_t>();
        task->failures = row[FailuresColumn].get<uint32_t>();
        if (row.size() > LifeColumn) {
            task->host = row[HostColumn].get<std::string>();
            task->life = row[LifeColumn].get<int64_t>();
        }
        if (row.size() > CheckpointColumn)
            task->checkpoint = row[CheckpointColumn].get<std::string>();
    }
    recount();
}

void Job::recount()
{
    for (auto& [number, occurrence] : m_occurrences) {
        for (StepState& step : occurrence.steps) {
            step.done = static_cast<uint32_t>(std::ranges::count(step.tasks, TaskPhase::Done, &TaskState::phase));
            step.placed = static_cast<uint32_t>(std::ranges::count(step.tasks, TaskPhase::Placed, &TaskState::phase));
        }
    }
}

} // namespace hemlocklead::dispatch
