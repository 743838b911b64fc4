#pragma once

#include "entry/ControlService.h"
#include "transport/HttpServer.h"

#include <functional>
#include <string>

namespace hemlocklead {

/// The operators' interface to the configuration: `/catalogue...` and `/datacentres...` (docs/http.md).
///
/// Edits are conditional on `base_version`. The answer to one that lost tells the current state and who won.
class ControlHttp {
public:
    using Reply = std::function<void(HttpResponse)>;

    ControlHttp(ControlService& control, const AgentHub& agents, const EntrySettings& settings);

    /// Answers a request whose path begins with `/catalogue` or `/datacentres`; an edit once its record is folded.
    void handle(const HttpRequest& request, const Reply& reply);

private:
    /// A data centre edit; without `baseVersion` it applies to whatever version is current.
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
    HttpResponse refusal(ErrorKind kind, const std::string& message, const Json& current, const std::string& key) const;
    uint64_t dataCentreVersion(const std::string& name) const;
    int64_t agentsIn(std::string_view dataCentre) const;

    ControlService& m_control;
    const AgentHub& m_agents;
    const EntrySettings& m_settings;
};

} // namespace hemlocklead
