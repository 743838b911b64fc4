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

/// Admission control of an agent for its targets: tracks the announced targets and their slots, and keeps a bounded
/// queue of calls per service in order of deadline.
class SlotGate {
public:
    struct Settings {
        int64_t queuePerTarget { 16 }; ///< Queued calls of a service per live target.
        Duration announcementTtl { 3000 };
    };

    /// Announcement of a target. It accepts at most the smaller of `slots` and `connections` calls at a time.
    struct Announcement {
        std::string service;
        std::string instance;
        std::string address;
        int64_t slots { 0 };
        int64_t connections { 0 };

        bool operator==(const Announcement&) const = default;
    };

    struct Target {
        uint64_t id { 0 }; ///< An instance that announces another address gets a new id.
        Announcement announcement;
        Instant announcedAt;
        int64_t busy { 0 }; ///< Calls in progress.
        bool withdrawn { false }; ///< Accepts no new calls; removed when its calls in progress have ended.
    };

    /// Permission to run a call on a target now. `release` ends it.
    struct Grant {
        uint64_t call { 0 };
        uint64_t target { 0 };
    };

    /// A call that was not admitted and has provably not run.
    struct Refusal {
        uint64_t call { 0 };
        ErrorKind reason { ErrorKind::Overloaded };
    };

    /// Outcome of `offer`: granted, refused, or queued when both members are empty.
    struct Offer {
        std::optional<Grant> grant;
        std::optional<Refusal> refusal;
    };

    explicit SlotGate(const Settings& settings)
        : m_settings(settings)
    {
    }

    /// Adds or updates a target. True when the set of targets reported to entries has changed.
    bool announce(const Announcement& announcement, Instant now);

    /// Withdraws a target. True when it was announced.
    bool withdraw(std::string_view service, std::string_view instance);

    /// Withdraws the targets whose announcement is older than `announcementTtl`. True when there were any.
    bool expireTargets(Instant now);

    /// Admits, queues or refuses a call that must end by `deadline`.
    Offer offer(uint64_t call, const std::string& service, Instant deadline, Instant now);

    /// Frees the slot of a call that has ended on the target.
    void release(uint64_t target);

    /// Grants free slots to queued calls, by deadline.
    std::vector<Grant> grantNext(Instant now);

    /// Removes and refuses the queued calls whose deadline has passed or whose service has no live target.
    std::vector<Refusal> expireCalls(Instant now);

    /// Removes a queued call. False when it is not queued.
    bool drop(uint64_t call);

    /// Refuses all new calls from now on, and removes and refuses the queued ones.
    std::vector<Refusal> leave();

    /// Targets that are not withdrawn.
    std::vector<const Target*> announced() const;

    /// The target with this id, also a withdrawn one with calls in progress; null when there is none.
    const Target* target(uint64_t id) const;

    /// Whether the target exists, announced or withdrawn with calls in progress.
    bool knows(uint64_t id) const { return m_targets.contains(id); }

    /// Sum of the slots in use and the calls queued for the service.
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
