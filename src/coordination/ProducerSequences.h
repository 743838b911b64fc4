#pragma once

#include "state/Json.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace hemlocklead {

/// Last folded batch of each producer of a stream, used to detect repeated batches.
///
/// A producer appends batches in sequence order and sends none before the previous one is folded or proved not stored,
/// so storing the highest sequence is sufficient.
class ProducerSequences {
public:
    /// Number of producers kept; beyond it, the producer with the oldest last batch is dropped. All processes together
    /// restart about 170 times a day and few of them write to the same stream, so a dropped producer has been dead for
    /// hours.
    static constexpr size_t maxProducers = 256;

    /// Records the batch at `offset`; returns false if it is a repeat.
    bool record(std::string_view producer, uint64_t sequence, uint64_t offset);

    /// Returns whether this batch or a later one of the producer was recorded.
    bool contains(std::string_view producer, uint64_t sequence) const;

    /// Encodes as `{PRODUCER: [sequence, offset]}`.
    Json toJson() const;

    bool operator==(const ProducerSequences&) const = default;

private:
    friend Result<ProducerSequences> parseProducerSequences(const Json& json);

    struct LastBatch {
        uint64_t sequence { 0 };
        uint64_t offset { 0 };

        bool operator==(const LastBatch&) const = default;
    };

    void dropOldest();

    std::map<std::string, LastBatch, std::less<>> m_lastBatches;
};

/// Decodes the result of `ProducerSequences::toJson`. Fails with `InvalidRequest`.
Result<ProducerSequences> parseProducerSequences(const Json& json);

} // namespace hemlocklead
