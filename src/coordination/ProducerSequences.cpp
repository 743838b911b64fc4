#include "coordination/ProducerSequences.h"

#include <algorithm>
#include <array>

namespace hemlocklead {

bool ProducerSequences::record(std::string_view producer, uint64_t sequence, uint64_t offset)
{
    const auto found = m_last.find(producer);
    if (found == m_last.end()) {
        m_last.emplace(producer, Last { sequence, offset });
        if (m_last.size() > maxProducers)
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
    const auto found = m_last.find(producer);
    return found != m_last.end() && sequence <= found->second.sequence;
}

void ProducerSequences::dropOldest()
{
    const auto older = [](const auto& a, const auto& b) { return a.second.offset < b.second.offset; };
    m_last.erase(std::min_element(m_last.begin(), m_last.end(), older));
}

Json ProducerSequences::toJson() const
{
    Json json = Json::object();
    for (const auto& [producer, last] : m_last)
        json[producer] = { last.sequence, last.offset };
    return json;
}

Result<ProducerSequences> parseProducerSequences(const Json& json)
{
    if (!json.is_object())
        return fail(ErrorKind::InvalidRequest, "producers are not an object");
    ProducerSequences producers;
    for (const auto& [producer, value] : json.items()) {
        using Pair = std::array<uint64_t, 2>;
        BOOST_LEAF_AUTO(last, fromJson<Pair>(value));
        producers.m_last[producer] = { last[0], last[1] };
    }
    return producers;
}

} // namespace hemlocklead
