#pragma once

#include "state/Json.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace hemlocklead {

/// Last folded batch of each producer of a stream; tells a repeated batch apart from a new one.
///
/// A producer appends its batches in order of their sequence and starts none before the former one is folded or proved
/// not stored, so the highest sequence is enough.
class ProducerSequences {
public:
    /// Producers kept; beyond that the one whose last batch is oldest is dropped. Processes restart about 170 times a
    /// day in all and few of them write to one stream, so a dropped producer has been dead for hours.
    static constexpr size_t maxProducers = 256;

    /// Notes the batch at `offset`; false when it is a repeat.
    bool record(std::string_view producer, uint64_t sequence, uint64_t offset);

    /// Whether that batch or a later one of the producer was noted.
    bool contains(std::string_view producer, uint64_t sequence) const;

    /// `{PRODUCER: [sequence, offset]}`, and back. `parseProducerSequences` fails with `InvalidRequest`.
    Json toJson() const;

    bool operator==(const ProducerSequences&) const = default;

private:
    friend Result<ProducerSequences> parseProducerSequences(const Json& json);

    struct Last {
        uint64_t sequence { 0 };
        uint64_t offset { 0 };

        bool operator==(const Last&) const = default;
    };

    void dropOldest();

    std::map<std::string, Last, std::less<>> m_last;
};

Result<ProducerSequences> parseProducerSequences(const Json& json);

} // namespace hemlocklead
