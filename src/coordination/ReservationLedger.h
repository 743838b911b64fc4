#pragma once

#include "base/Clock.h"
#include "base/ErrorKind.h"
#include "state/Resources.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocklead {

/// Resources reserved and committed on one host, by task id. Admission of work to the host is decided here only (design
/// section 6).
///
/// A reservation expires unless a start commits it in time. A committed amount is held until it is released.
class ReservationLedger {
public:
    explicit ReservationLedger(Duration reservationTtl);

    /// Sets the capacity that the worker reports.
    void setCapacity(const Resources& capacity) { m_capacity = capacity; }

    /// Allows reservations to be granted. Every task that runs on the worker, or that a call of a former agent process
    /// may still start there, must have been added with `hold` before.
    void setReady() { m_ready = true; }

    bool isReady() const { return m_ready; }

    /// Reserves `amount` for `id`; returns nullopt if granted. A repeated call for an id that is already held is
    /// granted and changes nothing. Errors: `NotReady`, `InvalidRequest` (negative amount) and `NoCapacity`.
    std::optional<ErrorKind> reserve(const std::string& id, const Resources& amount, Instant now);

    /// Makes the reservation permanent until `release`; returns false if there is none or it has expired.
    bool commit(std::string_view id, Instant now);

    /// Returns whether `id` has a committed amount or a reservation that has not expired.
    bool holds(std::string_view id, Instant now) const;

    /// Commits `amount` without checking the capacity, for a task that the worker already runs. If `id` is held, its
    /// amount is kept and committed.
    void hold(const std::string& id, const Resources& amount);

    void release(std::string_view id);

    /// Removes expired reservations.
    void expire(Instant now);

    const Resources& capacity() const { return m_capacity; }

    /// Capacity minus all reserved and committed amounts; each resource is at least 0.
    Resources free() const;

private:
    struct Entry {
        Resources amount;
        std::optional<Instant> expiresAt; ///< Empty once committed.
    };

    Resources held() const;

    Duration m_reservationTtl;
    bool m_ready { false };
    Resources m_capacity;
    std::map<std::string, Entry, std::less<>> m_entries;
};

} // namespace hemlocklead
