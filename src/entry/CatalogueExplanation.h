#pragma once

#include "state/ControlState.h"

#include <string>
#include <vector>

namespace hemlocklead {

/// Explains which entry of a catalogue item is in force and why, and in which fields the other owners' entries differ.
///
/// `{name, version, governing_owner, why, in_force, not_in_force: [{owner, entry, differs: [{field, in_force,
/// entry}]}]}`. `in_force` is null when the governing owner has no entry.
Json explainItem(const CatalogueItem& item, const std::vector<AppliedEdit>& history);

} // namespace hemlocklead
