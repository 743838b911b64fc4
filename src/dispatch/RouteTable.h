#pragma once

#include "dispatch/JobSpec.h"

#include <cstdint>
#include <map>
#include <set>

namespace hemlocklead::dispatch {

/// HTTP host and path prefix under which callers submit the jobs of a queue.
struct Route {
    std::string host; ///< Value of the HTTP header `Host`, without a port.
    std::string prefix; ///< Prefix of the path, ending with a slash.
    QueuePolicy policy;

    bool operator==(const Route&) const = default;
};

/// One accepted version of the configuration.
struct Configuration {
    uint64_t version { 0 };
    std::vector<Route> routes;

    bool operator==(const Configuration&) const = default;
};

/// The operators' configuration and closed data centres as known to this process. The configuration's version never
/// decreases.
class RouteTable {
public:
    /// Applies a configuration; returns false if it is older than the current one.
    bool apply(Configuration configuration);

    /// Sets the closed data centres once all of the operators' records have been read.
    void setClosedDataCentres(std::set<std::string> closed) { m_closed = std::move(closed); }

    bool hasConfiguration() const { return m_configuration.version > 0; }
    uint64_t version() const { return m_configuration.version; }

    /// The route of `host` with the longest prefix of `path`, or null.
    const Route* find(std::string_view host, std::string_view path) const;

    /// Policy of each queue, by its name.
    const std::map<std::string, QueuePolicy>& policies() const { return m_policies; }

    /// Data centres in which no new tasks start; empty until they have been set once.
    const std::optional<std::set<std::string>>& closedDataCentres() const { return m_closed; }

private:
    Configuration m_configuration;
    std::map<std::string, QueuePolicy> m_policies;
    std::optional<std::set<std::string>> m_closed;
};

} // namespace hemlocklead::dispatch
