#pragma once

#include "base/Clock.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocklead::learning {

/// Headroom of a latency-critical image that one core of a best-effort image uses.
struct PairEstimate {
    std::string latencyCritical;
    std::string bestEffort;
    double headroomPerCore { 0 };
    double variance { 0 };
};

/// Headroom of the tasks of one image of a job without interference.
struct BaselineEstimate {
    std::string job;
    std::string image;
    double headroom { 0 };
    double variance { 0 };
};

/// Mean duration of the tasks of an image, in milliseconds.
struct DurationEstimate {
    std::string image;
    double meanMs { 0 };
};

/// Share of its service that a long-running job has received, from 0 to 1, and the time that it covers.
struct AccountBalance {
    std::string job;
    double attainedShare { 1 };
    Duration age { 0 };
};

/// A host that gets no task for the remaining time, and then one task as a probe.
struct EjectedHost {
    std::string host;
    Duration remaining { 0 };
};

/// What an owner has learned from the reports of the hosts. It is not needed for a start: an owner without it learns it
/// again within seconds to minutes.
struct LearnedState {
    uint64_t epoch { 0 }; ///< Of the owner that learned it.
    int64_t writtenMs { 0 }; ///< Unix time.

    // Stays valid for a long time.
    std::vector<PairEstimate> pairs;
    std::vector<DurationEstimate> durations;

    // Loses its validity within a minute.
    std::vector<BaselineEstimate> baselines;
    std::vector<AccountBalance> accounts;
    std::vector<EjectedHost> ejections;
};

/// Limit of an encoded state; longer texts are not decoded.
constexpr size_t maxEncodedBytes = 64 * 1024;

/// Data of a record older than this that loses its validity with time is of no use.
constexpr Duration maxFadingAge { 60'000 };

/// Encodes the state in at most `maxBytes`: a header line with version, epoch and time, then a line with the data, both
/// JSON. Kinds of data share the space equally, and of each kind the least informative rows are omitted. Rows with
/// figures that decode() does not accept are omitted too.
std::string encode(const LearnedState& state, size_t maxBytes = maxEncodedBytes);

/// Decodes an encoded state; nothing if it is malformed, too long or of another version. Ignores unknown fields and
/// rows with figures out of range.
std::optional<LearnedState> decode(std::string_view text);

/// Epoch in the header of an encoded state, without a look at the data; nothing if the header is malformed.
std::optional<uint64_t> encodedEpoch(std::string_view text);

/// Whether `state` differs from `former` by more than the noise of the estimates.
bool hasChanged(const LearnedState& state, const LearnedState& former);

} // namespace hemlocklead::learning
