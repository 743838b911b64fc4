#pragma once

#include "dispatch/JobSpec.h"
#include "overload/RoomDivision.h"

namespace hemlocklead::dispatch {

/// Divided room is planned for jobs that run once. Long-running tasks have no end to be late for, and the plan of a job
/// does not contain the due times of a scheduled one.
bool isDivided(const JobSpec& spec);

/// The kind of room for which the job competes.
overload::RoomKind roomKindOf(const JobSpec& spec);

} // namespace hemlocklead::dispatch
