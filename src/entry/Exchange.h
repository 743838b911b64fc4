#pragma once

#include "entry/CallRequest.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hemlocklead {

/// One caller's request and its tries: what is known of its outcome, and whether it may be tried again.
class Exchange {
public:
    using Answer = std::function<void(HttpResponse)>;

    /// A Call that was handed to an agent's connection and has not ended.
    struct Try {
        std::string id; ///< Request id of the Call.
        std::string host;
        std::chrono::microseconds sentAt { 0 };
    };

    /// What to do after a try ended without a whole answer.
    enum class Step : uint8_t {
        Wait, ///< Another try is still in progress.
        Retry,
        RetryOnBudget,
        GiveUp,
    };

    Exchange(CallRequest request, Answer answer);

    const CallRequest& request() const { return m_request; }
    void answer(HttpResponse response) const { m_answer(std::move(response)); }

    void tryStarted(Try started);

    /// Removes the try; nullopt when it is not in progress.
    std::optional<Try> takeTry(const std::string& id);
    const std::vector<Try>& tries() const { return m_tries; }

    /// The try in progress with that id, or null.
    const Try* findTry(const std::string& id) const;

    /// Hosts that tries were sent to.
    const std::set<std::string, std::less<>>& triedHosts() const { return m_triedHosts; }

    /// A try ended provably not run.
    Step afterNotRun(ErrorKind reason);

    /// A try ended and may have run.
    Step afterUnknown();

    /// True error for an exchange that ends now without an answer.
    ErrorKind failure() const;

    /// Time before the next retry: the first is sent at once.
    Duration retryDelay() const;
    void noteRetry() { ++m_retries; }

    bool mayHedge() const { return m_request.idempotent && !m_hedged && m_tries.size() == 1; }
    void noteHedge() { m_hedged = true; }

    bool admitted { false }; ///< Holds a place in flight; queued otherwise.
    std::optional<Instant> retryAt; ///< Set while a retry waits for its delay.
    std::chrono::microseconds receivedAt { 0 };

private:
    static constexpr int maxFreeRetries = 3;
    static constexpr int maxBudgetRetries = 3;

    bool isFreeRefusal(ErrorKind reason) const;

    CallRequest m_request;
    Answer m_answer;
    std::vector<Try> m_tries; ///< In progress, oldest first.
    std::set<std::string, std::less<>> m_triedHosts;
    std::optional<ErrorKind> m_lastRefusal;
    bool m_mayHaveRun { false };
    bool m_hedged { false };
    int m_freeRetries { 0 };
    int m_budgetRetries { 0 };
    int m_retries { 0 };
};

} // namespace hemlocklead
