#include "dispatch/RoomKinds.h"

#include <algorithm>

namespace hemlocklead::dispatch {

using overload::RoomKind;

bool isDivided(const JobSpec& spec)
{
    return spec.repeats == 0 && std::ranges::none_of(spec.steps, &StepSpec::longRunning);
}

RoomKind roomKindOf(const JobSpec& spec)
{
    return std::ranges::any_of(spec.steps, &StepSpec::bestEffort) ? RoomKind::BestEffort : RoomKind::Reserved;
}

} // namespace hemlocklead::dispatch
