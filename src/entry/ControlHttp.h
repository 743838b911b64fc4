#pragma once

#include "entry/ControlService.h"
#include "transport/HttpServer.h"

#include <functional>
#include <string>

namespace hemlocklead {

/// The operators' interface to the configuration: `/catalogue...` and `/datacentres...` (docs/http.md).
///
/// Edits are conditional on `base_version`. The response to an edit that is refused for a conflict or for a lack of the
/// governing role holds the current state and the latest edit.
class ControlHttp {
public:
    using Reply = std::function<void(HttpResponse)>;

    ControlHttp(ControlService& control, const AgentHub& agents, const EntrySettings& settings);

    /// Handles a request whose path begins with `/catalogue` or `/datacentres`. The reply to an edit is sent once its
    /// record has been folded or has failed.
    void handle(const HttpRequest& request, const Reply& reply);

private:
    /// An edit of a data centre. Without `baseVersion` it is based on the version that this entry holds, and tried
    /// again on the new version after a conflict.
    struct DataCentreEdit {
        std::string name;
        bool out { false };
        std::string by;
        std::optional<uint64_t> baseVersion;
        int triesLeft { 0 };
    };

    HttpResponse listCatalogue() const;
    HttpResponse showItem(const std::string& name);
    HttpResponse showHistory(const std::string& name) const;
    void setEntry(const std::string& name, const HttpRequest& request, const Reply& reply);
    void govern(const std::string& name, const HttpRequest& request, const Reply& reply);
    void editItem(const std::string& name, uint64_t baseVersion, const Json& record, const Reply& reply);
    HttpResponse listDataCentres();
    HttpResponse showDataCentre(const std::string& name);
    void setDataCentre(const std::string& name, const HttpRequest& request, const Reply& reply);
    void editDataCentre(const DataCentreEdit& edit, const Reply& reply);

    Json itemJson(const std::string& name);
    Json dataCentreJson(const std::string& name);
    /// Error response; with the current state and the latest edit of `key` for `Conflict` and `NotGoverning`.
    HttpResponse refusal(ErrorKind kind, const std::string& message, const Json& current, const std::string& key) const;
    uint64_t dataCentreVersion(const std::string& name) const;
    /// Number of agents in `dataCentre` that are connected to this entry.
    int64_t agentsIn(std::string_view dataCentre) const;

    ControlService& m_control;
    const AgentHub& m_agents;
    const EntrySettings& m_settings;
};

} // namespace hemlocklead
