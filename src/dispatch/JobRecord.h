#pragma once

#include "dispatch/JobState.h"

namespace hemlocklead::dispatch {

/// How the owner writes the progress of a job.
enum class RecordFormat : uint8_t {
    Json, ///< The only one that entries before version 2 of the record format read.
    Packed, ///< Without names of fields, with equal neighbouring tasks in one group.
};

/// Version of the record format that this build reads. Entries announce it, and the owner writes packed records only
/// once all of them read it.
constexpr uint32_t recordFormatVersion = 2;

bool isPackedRecord(std::string_view value);

/// The progress of the job as the value of a record. Tasks are left out once the job has ended and no run is placed.
std::string recordValue(const Job& job, uint64_t epoch, RecordFormat format);

/// What entries that do not own the jobs need of a packed record.
struct PackedRecordHeader {
    uint64_t epoch { 0 }; ///< Of the owner that wrote it.
    JobPhase phase { JobPhase::Queued };
};

/// The header of a packed record, or nullopt if it is malformed.
std::optional<PackedRecordHeader> packedRecordHeader(std::string_view value);

/// Replaces the progress of the job by that in the packed record. Tasks that the spec does not have are skipped.
/// Returns false and leaves the job unchanged if the record is malformed.
bool applyPackedRecord(Job& job, std::string_view value);

} // namespace hemlocklead::dispatch
