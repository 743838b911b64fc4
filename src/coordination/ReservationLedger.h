#pragma once

#include "base/Clock.h"
#include "base/ErrorKind.h"
#include "state/Resources.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hemlocklead {

/// Amounts promised on one host, by task id. The only place that admits work (design section 6).
///
/// A reservation expires unless it is committed by a start in time. A committed amount is held until released.
class ReservationLedger {
public:
    explicit ReservationLedger(Duration reservationTtl);

    /// Takes over the worker's capacity.
    void setCapacity(const Resources& capacity) { m_capacity = capacity; }

    /// Lets the ledger grant reservations. All that runs on the worker, or may still start there by a call of a former
    /// process, must have been added with `hold` before.
    void setReady() { m_ready = true; }

    bool isReady() const { return m_ready; }

    /// Reserves `amount` for `id`; empty when granted. A repeated call for an id that is held is granted and changes
    /// nothing. Refuses with `NotReady`, `InvalidRequest` (negative amount) or `NoCapacity`.
    std::optional<ErrorKind> reserve(const std::string& id, const Resources& amount, Instant now);

    /// Makes the reservation permanent until `release`; false when there is none or it has expired.
    bool commit(std::string_view id, Instant now);

    /// Whether `id` has a reservation that has not expired, or a committed amount.
    bool holds(std::string_view id, Instant now) const;

    /// Commits `amount` without a check: for what the worker already runs. Keeps an amount that is held already.
    void hold(const std::string& id, const Resources& amount);

    void release(std::string_view id);

    /// Drops reservations that have expired.
    void expire(Instant now);

    const Resources& capacity() const { return m_capacity; }

    /// Capacity less all that is held; never below zero.
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
