#include "dispatch/RouteTable.h"

namespace hemlocklead::dispatch {

bool RouteTable::apply(Configuration configuration)
{
    if (configuration.version < m_configuration.version)
        return false;
    m_configuration = std::move(configuration);
    m_policies.clear();
    for (const Route& route : m_configuration.routes)
        m_policies.insert_or_assign(route.policy.queue, route.policy);
    return true;
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const
{
    const std::string_view name = host.substr(0, host.find(':'));
    const Route* longest = nullptr;
    for (const Route& route : m_configuration.routes) {
        if (route.host != name || !path.starts_with(route.prefix))
            continue;
        if (!longest || route.prefix.size() > longest->prefix.size())
            longest = &route;
    }
    return longest;
}

} // namespace hemlocklead::dispatch
