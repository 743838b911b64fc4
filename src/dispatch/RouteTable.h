#pragma once

#include "dispatch/JobSpec.h"

#include <cstdint>
#include <map>
#include <set>

namespace hemlocklead::dispatch {

/// Where callers hand in the jobs of a queue.
struct Route {
    std::string host; ///< Of the HTTP header `Host`, without a port.
    std::string prefix; ///< Of the path, with a slash at its end.
    QueuePolicy terms;

    bool operator==(const Route&) const = default;
};

/// One accepted version of the configuration.
struct Configuration {
    uint64_t version { 0 };
    std::vector<Route> routes;

    bool operator==(const Configuration&) const = default;
};

/// The operators' decisions as this process knows them. The version never goes back.
class RouteTable {
public:
    /// Takes a configuration over; returns false for one that is older than the present one.
    bool apply(Configuration configuration);

    void setClosedDataCentres(std::set<std::string> closed) { m_closed = std::move(closed); }

    bool hasConfiguration() const { return m_configuration.version > 0; }
    uint64_t version() const { return m_configuration.version; }

    /// The route with the longest prefix of `path` among those of `host`, or null.
    const Route* find(std::string_view host, std::string_view path) const;

    /// Terms of each queue.
    const std::map<std::string, QueuePolicy>& terms() const { return m_terms; }

    /// Data centres in which nothing new starts.
    const std::set<std::string>& closedDataCentres() const { return m_closed; }

private:
    Configuration m_configuration;
    std::map<std::string, QueuePolicy> m_terms;
    std::set<std::string> m_closed;
};

} // namespace hemlocklead::dispatch
