#pragma once

#include "transport/HttpServer.h"

#include <list>
#include <map>
#include <string>
#include <vector>

namespace hemlocklead::soak {

/// The platform's store: keyed topics of one partition, fenced appends, reads that wait, and its faults.
class StoreStandIn {
public:
    enum class Fault : uint8_t {
        None,
        Busy, ///< Answers 503 and does nothing.
        Silent, ///< Does nothing and does not answer.
        LosingAnswers, ///< Appends and does not answer.
        Slow, ///< Answers half a second late.
    };

    explicit StoreStandIn(EventLoop& loop);

    Result<void> listen(const Address& address) { return m_server.listen(address); }
    Address address() const { return m_server.address(); }

    void setFault(Fault fault);

    /// Drops the history; the newest record of each key stays.
    void compact();

    /// Writes a record as the operator does.
    void write(const std::string& topic, const std::string& key, const std::string& value);

private:
    using Responder = std::shared_ptr<HttpResponder>;

    struct Record {
        std::string key;
        std::string value; ///< Empty when the record removes its key.
        std::string raw;
    };

    struct Topic {
        std::vector<Record> records;
        uint64_t first { 0 }; ///< Offset of the first retained record.
        uint64_t epoch { 0 };
        std::vector<std::pair<uint64_t, std::string>> answered; ///< The last appends of the epoch, by sequence.
    };

    struct WaitingRead {
        std::string topic;
        uint64_t from;
        Instant until;
        Responder responder;
    };

    void handle(const HttpRequest& request, const Responder& responder);
    HttpResponse append(const HttpRequest& request);
    HttpResponse newest(const HttpRequest& request) const;
    void read(const HttpRequest& request, const Responder& responder);
    bool answerRead(const WaitingRead& read);
    void tick();

    BootClock m_clock;
    HttpServer m_server;
    Timer m_timer;
    Fault m_fault { Fault::None };
    std::map<std::string, Topic> m_topics;
    std::list<WaitingRead> m_reads;
    std::vector<Responder> m_silenced; ///< Requests that get no answer while the store is silent.
    std::multimap<Instant, std::function<void()>> m_late; ///< Requests that a slow store handles later.
};

} // namespace hemlocklead::soak
