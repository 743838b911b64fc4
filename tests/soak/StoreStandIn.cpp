#include "soak/StoreStandIn.h"

#include "state/Json.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>

#include <algorithm>
#include <cstdlib>

namespace hemlocklead::soak {

namespace {

    constexpr Duration tickInterval { 5 };
    constexpr Duration slowDelay { 500 };
    constexpr size_t pageSize = 500;
    constexpr size_t keptAppends = 5;

    uint64_t queryNumber(const HttpRequest& request, std::string_view key)
    {
        return std::strtoull(queryValue(request.path, key).c_str(), nullptr, 10);
    }

    void appendBigEndian(std::string& out, uint64_t value, size_t bytes)
    {
        for (size_t i = bytes; i-- > 0;)
            out += static_cast<char>(value >> (8 * i) & 0xff);
    }

    uint64_t readBigEndian(std::string_view bytes)
    {
        uint64_t value = 0;
        for (const char byte : bytes)
            value = value << 8 | static_cast<unsigned char>(byte);
        return value;
    }

    std::string encodeBase64(const std::string& bytes)
    {
        using namespace boost::archive::iterators;
        using Encoder = base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
        std::string text(Encoder(bytes.begin()), Encoder(bytes.end()));
        text.append((4 - text.size() % 4) % 4, '=');
        return text;
    }

    HttpResponse conflict(const std::string& reason) { return jsonResponse(409, jsonText({ { "reason", reason } })); }

} // namespace

StoreStandIn::StoreStandIn(EventLoop& loop)
    : m_server(loop, [this](const HttpRequest& request, const Responder& responder) { handle(request, responder); })
    , m_timer(loop)
{
    m_timer.startRepeating(tickInterval, [this] { tick(); });
}

void StoreStandIn::setFault(Fault fault)
{
    m_fault = fault;
    if (fault != Fault::Unresponsive) {
        for (const Responder& responder : m_unanswered)
            responder->abort();
        m_unanswered.clear();
    }
}

void StoreStandIn::compact()
{
    for (auto& [name, topic] : m_topics)
        topic.firstRetained = topic.records.size();
}

void StoreStandIn::write(const std::string& topic, const std::string& key, const std::string& value)
{
    std::string raw;
    raw += static_cast<char>(key.size());
    raw += key + value;
    m_topics[topic].records.push_back({ key, value, raw });
}

std::string StoreStandIn::newestValue(std::string_view key) const
{
    for (const auto& [name, topic] : m_topics) {
        const auto newest = std::find_if(
            topic.records.rbegin(), topic.records.rend(), [key](const Record& record) { return record.key == key; });
        if (newest != topic.records.rend())
            return newest->value;
    }
    return {};
}

void StoreStandIn::handle(const HttpRequest& request, const Responder& responder)
{
    if (m_fault == Fault::Busy)
        return responder->reply(jsonResponse(503, "{}"));
    if (m_fault == Fault::Unresponsive)
        return m_unanswered.push_back(responder);
    if (request.path.starts_with("/v1/log-read"))
        return read(request, responder);
    if (request.path.starts_with("/v1/log-newest"))
        return responder->reply(newest(request));
    if (m_fault == Fault::Slow) {
        m_delayed.emplace(m_clock.now() + slowDelay, [this, request, responder] { responder->reply(append(request)); });
        return;
    }
    const HttpResponse response = append(request);
    if (m_fault == Fault::LosesResponses)
        return responder->abort();
    responder->reply(response);
}

HttpResponse StoreStandIn::append(const HttpRequest& request)
{
    Topic& topic = m_topics[queryValue(request.path, "topic")];
    const bool isFenced = !queryValue(request.path, "producer").empty();
    const uint64_t epoch = queryNumber(request, "epoch");
    const uint64_t sequence = queryNumber(request, "sequence");
    if (isFenced) {
        if (epoch < topic.epoch)
            return conflict("fenced");
        if (epoch > topic.epoch)
            topic.recentAppends.clear();
        const auto repeat = std::ranges::find(topic.recentAppends, sequence, &std::pair<uint64_t, std::string>::first);
        if (repeat != topic.recentAppends.end())
            return jsonResponse(200, repeat->second);
        if (!topic.recentAppends.empty() && sequence != topic.recentAppends.back().first + 1)
            return conflict("seq");
        topic.epoch = epoch;
    }
    const uint64_t offset = topic.records.size();
    std::string_view body = request.body;
    while (body.size() >= 4) {
        const uint64_t length = readBigEndian(body.substr(0, 4));
        const std::string raw(body.substr(4, length));
        body.remove_prefix(std::min<size_t>(4 + length, body.size()));
        const size_t keyBytes = static_cast<unsigned char>(raw.front());
        topic.records.push_back({ raw.substr(1, keyBytes), raw.substr(1 + keyBytes), raw });
    }
    const std::string answer = jsonText({ { "offset", offset }, { "endOffset", topic.records.size() } });
    if (isFenced) {
        topic.recentAppends.emplace_back(sequence, answer);
        if (topic.recentAppends.size() > keptAppends)
            topic.recentAppends.erase(topic.recentAppends.begin());
    }
    return jsonResponse(200, answer);
}

HttpResponse StoreStandIn::newest(const HttpRequest& request) const
{
    const auto topic = m_topics.find(queryValue(request.path, "topic"));
    const std::string after = queryValue(request.path, "after");
    std::map<std::string, size_t> byKey;
    if (topic != m_topics.end()) {
        for (size_t offset = 0; offset < topic->second.records.size(); ++offset)
            byKey[topic->second.records[offset].key] = offset;
    }
    Json page = { { "items", Json::array() }, { "hasMore", false },
        { "endOffset", topic == m_topics.end() ? 0 : topic->second.records.size() } };
    for (const auto& [key, offset] : byKey) {
        const std::string& value = topic->second.records[offset].value;
        if (key <= after || value.empty())
            continue;
        if (page["items"].size() == pageSize) {
            page["hasMore"] = true;
            break;
        }
        page["items"].push_back({ { "key", key }, { "value", encodeBase64(value) }, { "offset", offset } });
    }
    return jsonResponse(200, jsonText(page));
}

void StoreStandIn::read(const HttpRequest& request, const Responder& responder)
{
    const Duration wait { static_cast<int64_t>(queryNumber(request, "waitMs")) };
    const WaitingRead read { queryValue(request.path, "topic"), queryNumber(request, "from"), m_clock.now() + wait,
        responder };
    if (!answerRead(read))
        m_waitingReads.push_back(read);
}

bool StoreStandIn::answerRead(const WaitingRead& read)
{
    const Topic& topic = m_topics[read.topic];
    if (read.from < topic.firstRetained) {
        read.responder->reply(jsonResponse(410, jsonText({ { "firstOffset", topic.firstRetained } })));
        return true;
    }
    if (read.from >= topic.records.size() && m_clock.now() < read.until)
        return false;
    HttpResponse response { 200, { { "Content-Type", "application/octet-stream" } }, {} };
    appendBigEndian(response.body, topic.records.size(), 8);
    appendBigEndian(response.body, topic.firstRetained, 8);
    for (uint64_t offset = read.from; offset < topic.records.size(); ++offset) {
        appendBigEndian(response.body, topic.records[offset].raw.size(), 4);
        response.body += topic.records[offset].raw;
    }
    read.responder->reply(response);
    return true;
}

void StoreStandIn::tick()
{
    while (!m_delayed.empty() && m_delayed.begin()->first <= m_clock.now()) {
        const auto call = m_delayed.extract(m_delayed.begin());
        call.mapped()();
    }
    if (m_fault == Fault::Unresponsive || m_fault == Fault::Busy)
        return;
    std::erase_if(m_waitingReads, [this](const WaitingRead& read) { return answerRead(read); });
}

} // namespace hemlocklead::soak
