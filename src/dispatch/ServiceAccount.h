#pragma once

#include "base/Clock.h"

namespace hemlocklead::dispatch {

/// The share of its service that a long-running job has received: a mean over its life, in which old times fade.
class ServiceAccount {
public:
    /// Times further back than this hardly count.
    static constexpr Duration window { 60'000 };

    ServiceAccount() = default;

    /// An account that another owner has kept; `age` is limited to `window`.
    ServiceAccount(double attainedShare, Duration age);

    /// Adds `elapsed`, during which the job received `share` of its service, from 0 to 1.
    void add(double share, Duration elapsed);

    /// 1 while nothing has been added.
    double attainedShare() const { return m_attainedShare; }

    /// Time that has been added, at most `window`.
    Duration age() const { return m_age; }

    bool operator==(const ServiceAccount&) const = default;

private:
    double m_attainedShare { 1 };
    Duration m_age { 0 };
};

/// How much an interfered task of a job counts against a placement: 1 if the job has attained the mean share of its
/// service, more if it is behind other jobs, less if it is ahead of them.
double interferenceWeight(double attainedShare, double meanAttainedShare);

} // namespace hemlocklead::dispatch
