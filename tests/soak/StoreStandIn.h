#pragma once

#include "transport/HttpServer.h"

#include <list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocklead::soak {

/// Stand-in for the platform's store with keyed topics of one partition, fenced appends, long-polling reads and
/// injected faults.
class StoreStandIn {
public:
    enum class Fault : uint8_t {
        None,
        Busy, ///< Responds with 503 without carrying out the request.
        Unresponsive, ///< Neither carries out nor answers requests.
        LosesResponses, ///< Carries out appends and closes the connection without a response.
        Slow, ///< Carries out appends half a second late.
    };

    explicit StoreStandIn(EventLoop& loop);

    Result<void> listen(const Address& address) { return m_server.listen(address); }
    Address address() const { return m_server.address(); }

    void setFault(Fault fault);

    /// Drops the history; the newest record of each key stays available.
    void compact();

    /// Appends a record without a fence, as the operator does.
    void write(const std::string& topic, const std::string& key, const std::string& value);

    /// Value of the newest record with the key in any topic; empty if there is none.
    std::string newestValue(std::string_view key) const;

private:
    using Responder = std::shared_ptr<HttpResponder>;

    struct Record {
        std::string key;
        std::string value; ///< Empty when the record removes its key.
        std::string raw;
    };

    struct Topic {
        std::vector<Record> records;
        uint64_t firstRetained { 0 }; ///< Offset of the first retained record.
        uint64_t epoch { 0 };
        /// Sequences and responses of the latest appends in the epoch.
        std::vector<std::pair<uint64_t, std::string>> recentAppends;
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
    std::list<WaitingRead> m_waitingReads;
    std::vector<Responder> m_unanswered; ///< Requests received while the store is unresponsive.
    std::multimap<Instant, std::function<void()>> m_delayed; ///< Appends of a slow store by due time.
};

} // namespace hemlocklead::soak
