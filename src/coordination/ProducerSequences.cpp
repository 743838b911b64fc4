#include "coordination/ProducerSequences.h"

#include <algorithm>
#include <array>

namespace hemlocklead {

bool ProducerSequences::record(std::string_view producer, uint64_t sequence, uint64_t offset)
{
    const auto found = m_lastBatches.find(producer);
    if (found == m_lastBatches.end()) {
        m_lastBatches.emplace(producer, LastBatch { sequence, offset });
        if (m_lastBatches.size() > maxProducers)
            dropOldest();
        return true;
    }
    if (sequence <= found->second.sequence)
        return false;
    found->second = { sequence, offset };
    return true;
}

bool ProducerSequences::contains(std::string_view producer, uint64_t sequence) const
{
    const auto found = m_lastBatches.find(producer);
    return found != m_lastBatches.end() && sequence <= found->second.sequence;
}

void ProducerSequences::dropOldest()
{
    const auto older = [](const auto& a, const auto& b) { return a.second.offset < b.second.offset; };
    m_lastBatches.erase(std::min_element(m_lastBatches.begin(), m_lastBatches.end(), older));
}

Json ProducerSequences::toJson() const
{
    Json json = Json::object();
    for (const auto& [producer, last] : m_lastBatches)
        json[producer] = { last.sequence, last.offset };
    return json;
}

Result<ProducerSequences> parseProducerSequences(const Json& json)
{
    if (!json.is_object())
        return fail(ErrorKind::InvalidRequest, "producers is not a JSON object");
    ProducerSequences producers;
    for (const auto& [producer, value] : json.items()) {
        using Pair = std::array<uint64_t, 2>;
        BOOST_LEAF_AUTO(last, fromJson<Pair>(value));
        producers.m_lastBatches[producer] = { last[0], last[1] };
    }
    return producers;
}

} // namespace hemlocklead
