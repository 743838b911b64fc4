#include "dispatch/OrderBatches.h"

#include <utility>

namespace hemlocklead::dispatch {

namespace {

    /// Upper bound on the names and numbers of an entry in its encoding.
    constexpr size_t entryOverhead = 200;

    size_t encodedSize(const RunOrder& order)
    {
        return entryOverhead + order.task.size() + order.payload.size() + order.checkpoint.size() + order.ticket.size()
            + order.image.size();
    }

    size_t encodedSize(const RunStop& stop) { return entryOverhead + stop.task.size(); }

    /// Adds entries to messages and begins a new message when the last one is full.
    class OrderBatches {
    public:
        OrderBatches(HostOrders numbers, size_t maxBytes)
            : m_numbers(std::move(numbers))
            , m_maxBytes(maxBytes)
            , m_batches { m_numbers }
        {
        }

        template <typename Entry> void add(std::vector<Entry> HostOrders::*list, std::vector<Entry> entries)
        {
            for (Entry& entry : entries) {
                const size_t size = encodedSize(entry);
                if (m_bytes > 0 && m_bytes + size > m_maxBytes) {
                    m_batches.push_back(m_numbers);
                    m_bytes = 0;
                }
                (m_batches.back().*list).push_back(std::move(entry));
                m_bytes += size;
            }
        }

        std::vector<HostOrders> take() { return std::move(m_batches); }

    private:
        HostOrders m_numbers;
        size_t m_maxBytes;
        std::vector<HostOrders> m_batches;
        size_t m_bytes { 0 }; ///< Of the last message.
    };

} // namespace

std::vector<HostOrders> splitOrders(HostOrders orders, size_t maxBytes)
{
    std::vector<RunOrder> known = std::exchange(orders.known, {});
    std::vector<RunOrder> starts = std::exchange(orders.starts, {});
    std::vector<RunStop> stops = std::exchange(orders.stops, {});
    // There is one estimate per pair of images, and one pause per run, so their number is small.
    std::vector<PairInterference> disturbances = std::exchange(orders.disturbances, {});
    std::vector<RunPause> pauses = std::exchange(orders.pauses, {});
    OrderBatches batches(std::move(orders), maxBytes);
    batches.add(&HostOrders::known, std::move(known));
    batches.add(&HostOrders::starts, std::move(starts));
    batches.add(&HostOrders::stops, std::move(stops));
    std::vector<HostOrders> messages = batches.take();
    messages.front().disturbances = std::move(disturbances);
    messages.front().pauses = std::move(pauses);
    return messages;
}

} // namespace hemlocklead::dispatch
