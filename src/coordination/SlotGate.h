#pragma once

#include "base/Clock.h"
#include "base/ErrorKind.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlocklead {

/// The agent's gate in front of its targets: announcements with expiry, slots, and a short queue per service in order
/// of deadlines.
class SlotGate {
public:
    struct Settings {
        int64_t queuePerTarget { 16 };
        Duration announcementTtl { 3000 };
    };

    /// What a target announces.
    struct Announcement {
        std::string service;
        std::string instance;
        std::string address;
        int64_t slots { 0 };
        int64_t connections { 0 };

        bool operator==(const Announcement&) const = default;
    };

    struct Target {
        uint64_t id { 0 }; ///< New for each address that an instance announces.
        Announcement announcement;
        Instant announcedAt;
        int64_t busy { 0 };
        bool withdrawn { false }; ///< Gets nothing new; kept until its requests have ended.
    };

    /// A call that may run now, on this target.
    struct Grant {
        uint64_t call { 0 };
        uint64_t target { 0 };
    };

    /// A call that was not admitted: provably not run.
    struct Refusal {
        uint64_t call { 0 };
        ErrorKind reason { ErrorKind::Overloaded };
    };

    /// What became of an offered call; queued when both are empty.
    struct Offer {
        std::optional<Grant> grant;
        std::optional<Refusal> refusal;
    };

    explicit SlotGate(const Settings& settings)
        : m_settings(settings)
    {
    }

    /// Takes an announcement; true when the targets that entries know have changed.
    bool announce(const Announcement& announcement, Instant now);

    /// Withdraws a target; true when it was announced.
    bool withdraw(std::string_view service, std::string_view instance);

    /// Withdraws targets whose announcement is older than the TTL; true when there were any.
    bool expireTargets(Instant now);

    /// Offers a call that must end by `deadline`.
    Offer offer(uint64_t call, const std::string& service, Instant deadline, Instant now);

    /// Ends a call that ran on the target.
    void release(uint64_t target);

    /// Grants slots to queued calls.
    std::vector<Grant> grantNext(Instant now);

    /// Removes queued calls whose deadline has passed, or for whose service no target is left.
    std::vector<Refusal> expireCalls(Instant now);

    /// Removes a queued call; false when it is not queued.
    bool drop(uint64_t call);

    /// Refuses everything from now on, and removes all queued calls.
    std::vector<Refusal> leave();

    /// Targets that take new calls.
    std::vector<const Target*> announced() const;

    /// Target of that id, also a withdrawn one with calls in progress; null when it is gone.
    const Target* target(uint64_t id) const;

    /// Ids of all targets that are still known.
    bool knows(uint64_t id) const { return m_targets.contains(id); }

    /// Slots in use and calls queued for the service.
    int64_t load(std::string_view service) const;
    int64_t queued(std::string_view service) const;

private:
    using QueueKey = std::pair<Instant, uint64_t>; ///< Deadline, then call.
    using Queue = std::map<QueueKey, uint64_t>;

    Target* find(std::string_view service, std::string_view instance);
    Target* freeTarget(std::string_view service, Instant now);
    bool isLive(const Target& target, Instant now) const;
    int64_t liveTargets(std::string_view service, Instant now) const;
    void withdraw(Target& target);

    Settings m_settings;
    std::map<uint64_t, Target> m_targets;
    std::map<std::string, Queue, std::less<>> m_queues; ///< By service.
    uint64_t m_lastId { 0 };
    bool m_leaving { false };
};

} // namespace hemlocklead
