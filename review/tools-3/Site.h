#pragma once

#include "Minion.h"
#include "soak/StoreStandIn.h"
#include "support/ProcessRunner.h"

namespace review {

/// Thrown when a case takes longer than it may.
struct TimeIsUp { };

/// A small deployment: the project's programs as processes, with stand-ins for the store, the minions and requesters.
class Site {
public:
    Site(const std::string& recordFile, std::vector<Minion::Settings> minions);

    Record& record() { return m_record; }
    const hemlocklead::Clock& clock() const { return m_clock; }
    Minion& minion(size_t index) { return *m_minions[index]; }
    size_t minions() const { return m_minions.size(); }

    /// Starts all processes; returns whether all answer within 20 s.
    bool start();

    void killAgent(size_t index);
    void startAgent(size_t index);

    /// Runs the loop for a time. Throws TimeIsUp once the case has taken 115 s.
    void wait(Duration time);

    /// Runs the loop until `condition` holds; returns false after `limit`.
    bool waitUntil(const std::function<bool()>& condition, Duration limit);

    /// Sends a request to the entries in turn until one answers; returns its status, or 0, and writes the body.
    int call(
        const std::string& method, const std::string& path, const std::string& body, std::string* answer = nullptr);

    /// Submits a job with up to five tries; returns whether it was accepted.
    bool submit(const std::string& path, const std::string& body);

    /// State of the job as an entry shows it; empty without an answer.
    std::string state(const std::string& path);

private:
    bool answersReady(hemlocklead::HttpClient& client);

    struct Agent {
        std::vector<std::string> arguments;
        pid_t pid { 0 };
    };

    hemlocklead::BootClock m_clock;
    Record m_record;
    hemlocklead::EventLoop m_loop;
    hemlocklead::ProcessRunner m_runner;
    hemlocklead::soak::StoreStandIn m_store;
    std::vector<std::unique_ptr<Minion>> m_minions;
    std::vector<Agent> m_agents;
    std::vector<pid_t> m_entries;
    std::vector<std::unique_ptr<hemlocklead::HttpClient>> m_fronts;
    std::vector<std::unique_ptr<hemlocklead::HttpClient>> m_readies;
    size_t m_nextFront { 0 };
};

} // namespace review
