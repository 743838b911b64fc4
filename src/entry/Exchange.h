#pragma once

#include "entry/CallRequest.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hemlocklead {

/// A caller's request and its tries. Tracks whether the request may have run, and decides whether it may be retried or
/// hedged. A try is one sending of the request to an agent.
class Exchange {
public:
    using ResponseCallback = std::function<void(HttpResponse)>;

    /// A `Call` that was passed to an agent's connection and has not ended.
    struct Try {
        std::string id; ///< `Call::id`, unique for each try.
        std::string host;
        std::chrono::microseconds sentAt { 0 };
    };

    /// What to do after a try has ended without a complete response.
    enum class Step : uint8_t {
        Wait, ///< Another try is still in progress.
        Retry, ///< Without using the retry budget.
        RetryWithinBudget, ///< If the retry budget of the service allows it.
        GiveUp,
    };

    Exchange(CallRequest request, ResponseCallback respond);

    const CallRequest& request() const { return m_request; }
    void respond(HttpResponse response) const { m_respond(std::move(response)); }

    void addTry(Try started);

    /// Removes and returns the try; nullopt if it is not in progress.
    std::optional<Try> takeTry(const std::string& id);
    const std::vector<Try>& tries() const { return m_tries; }

    /// The try in progress with that id, or null.
    const Try* findTry(const std::string& id) const;

    /// Hosts that a try was sent to.
    const std::set<std::string, std::less<>>& triedHosts() const { return m_triedHosts; }

    /// Next step after a try that provably did not run.
    Step afterNotRun(ErrorKind reason);

    /// Next step after a try that may have run.
    Step afterUnknown();

    /// Error of an exchange that ends now: `OutcomeUnknown` if a try may have run, else the reason of the last refusal,
    /// or `Timeout` if there was none.
    ErrorKind failure() const;

    /// Delay before the next retry: 0, then 5 ms, and four times as much for each further one.
    Duration retryDelay() const;
    void noteRetry() { ++m_retries; }

    bool mayHedge() const { return m_request.idempotent && !m_hedged && m_tries.size() == 1; }
    void noteHedge() { m_hedged = true; }

    bool admitted { false }; ///< Counts as in flight; otherwise it is in the admission queue.
    std::optional<Instant> retryAt; ///< Set while a retry waits for its delay.
    std::chrono::microseconds receivedAt { 0 };

private:
    static constexpr int maxUnbudgetedRetries = 3;
    static constexpr int maxBudgetedRetries = 3;

    /// Whether a refusal is retried without using the retry budget.
    bool isRetriedWithoutBudget(ErrorKind reason) const;

    CallRequest m_request;
    ResponseCallback m_respond;
    std::vector<Try> m_tries; ///< In progress, oldest first.
    std::set<std::string, std::less<>> m_triedHosts;
    std::optional<ErrorKind> m_lastRefusal;
    bool m_mayHaveRun { false };
    bool m_hedged { false };
    int m_unbudgetedRetries { 0 };
    int m_budgetedRetries { 0 };
    int m_retries { 0 };
};

} // namespace hemlocklead
