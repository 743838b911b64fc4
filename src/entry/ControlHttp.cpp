#include "entry/ControlHttp.h"

#include "entry/CatalogueExplanation.h"
#include "protocol/ErrorTable.h"

#include <algorithm>
#include <set>

namespace hemlocklead {

namespace {

    constexpr size_t maxNameLength = 200;

    /// Bound on the tries of a data centre edit without `base_version`, each of which may lose to a concurrent edit.
    constexpr int maxUnconditionalTries = 5;

    HttpResponse ok(const Json& body) { return jsonResponse(200, jsonText(body) + "\n"); }

    bool isName(std::string_view name)
    {
        return !name.empty() && name.size() <= maxNameLength
            && std::ranges::all_of(name, [](unsigned char c) { return c > ' ' && c != '/' && c != 0x7f; });
    }

    Result<void> checkName(std::string_view name)
    {
        if (isName(name))
            return {};
        return fail(ErrorKind::InvalidRequest, "a name has 1 to 200 bytes, without blanks and control characters");
    }

    /// Parses a JSON object whose keys are all among `known`.
    Result<Json> parseObject(const std::string& body, std::initializer_list<std::string_view> known)
    {
        BOOST_LEAF_AUTO(json, parseJson(body));
        if (!json.is_object())
            return fail(ErrorKind::InvalidRequest, "the body must be a JSON object");
        for (const auto& [key, value] : json.items()) {
            if (std::ranges::find(known, key) == known.end())
                return fail(ErrorKind::InvalidRequest, key + ": unknown field");
        }
        return json;
    }

    Result<std::string> stringField(const Json& json, const char* key)
    {
        const auto found = json.find(key);
        if (found == json.end() || !found->is_string() || found->get_ref<const std::string&>().empty())
            return fail(ErrorKind::InvalidRequest, std::string(key) + ": a text is required");
        return found->get<std::string>();
    }

    Result<uint64_t> versionField(const Json& json)
    {
        const auto found = json.find("base_version");
        if (found == json.end() || !found->is_number_unsigned()) {
            return fail(ErrorKind::InvalidRequest,
                "base_version: the version that the edit starts from is required, 0 for a new name");
        }
        return found->get<uint64_t>();
    }

    struct EntryEdit {
        uint64_t baseVersion { 0 };
        CatalogueEntry entry;
    };

    Result<EntryEdit> parseEntryEdit(const std::string& body)
    {
        BOOST_LEAF_AUTO(json, parseObject(body, { "base_version", "entry" }));
        BOOST_LEAF_AUTO(baseVersion, versionField(json));
        if (!json.contains("entry"))
            return fail(ErrorKind::InvalidRequest, "entry: missing");
        BOOST_LEAF_AUTO(entry, parseCatalogueEntry(json["entry"]));
        return EntryEdit { baseVersion, std::move(entry) };
    }

    struct GovernEdit {
        uint64_t baseVersion { 0 };
        std::string by;
        std::string owner;
    };

    Result<GovernEdit> parseGovernEdit(const std::string& body)
    {
        BOOST_LEAF_AUTO(json, parseObject(body, { "base_version", "by", "owner" }));
        BOOST_LEAF_AUTO(baseVersion, versionField(json));
        BOOST_LEAF_AUTO(by, stringField(json, "by"));
        BOOST_LEAF_AUTO(owner, stringField(json, "owner"));
        return GovernEdit { baseVersion, by, owner };
    }

    std::string refusalMessage(ErrorKind kind, const std::string& name)
    {
        switch (kind) {
        case ErrorKind::Conflict:
            return name + " has another version than base_version";
        case ErrorKind::NotGoverning:
            return "only the governing owner may move the role, and only to an owner with an entry for " + name;
        case ErrorKind::LogUnavailable:
            return "the log cannot be reached; the edit was not stored";
        case ErrorKind::OutcomeUnknown:
            return "the log gave no answer; the edit may have been stored, look before you repeat it";
        default:
            return "the edit of " + name + " was refused";
        }
    }

} // namespace

ControlHttp::ControlHttp(ControlService& control, const AgentHub& agents, const EntrySettings& settings)
    : m_control(control)
    , m_agents(agents)
    , m_settings(settings)
{
}

void ControlHttp::handle(const HttpRequest& request, const Reply& reply)
{
    if (!m_control.isServing()) {
        reply(errorResponse({ ErrorKind::NotReady, "this entry has not read the configuration yet" }));
        return;
    }
    const std::vector<std::string> path = pathSegments(request.path);
    const bool isCatalogue = path[0] == "catalogue";
    const bool isGet = request.method == "GET";
    if (isCatalogue && path.size() == 1 && isGet)
        return reply(listCatalogue());
    if (isCatalogue && path.size() == 2 && isGet)
        return reply(showItem(path[1]));
    if (isCatalogue && path.size() == 2 && request.method == "PUT")
        return setEntry(path[1], request, reply);
    if (isCatalogue && path.size() == 3 && path[2] == "history" && isGet)
        return reply(showHistory(path[1]));
    if (isCatalogue && path.size() == 3 && path[2] == "govern" && request.method == "POST")
        return govern(path[1], request, reply);
    if (!isCatalogue && path.size() == 1 && isGet)
        return reply(listDataCentres());
    if (!isCatalogue && path.size() == 2 && isGet)
        return reply(showDataCentre(path[1]));
    if (!isCatalogue && path.size() == 2 && request.method == "PUT")
        return setDataCentre(path[1], request, reply);
    reply(errorResponse({ ErrorKind::NotFound, "no such operation: " + request.method + " " + request.path }));
}

HttpResponse ControlHttp::listCatalogue() const
{
    Json items = Json::array();
    for (const auto& [name, item] : m_control.state().items())
        items.push_back(item);
    return ok({ { "offset", m_control.state().nextOffset() }, { "items", items } });
}

Json ControlHttp::itemJson(const std::string& name)
{
    const CatalogueItem* item = m_control.state().item(name);
    if (!item)
        return nullptr;
    Json json = explainItem(*item, m_control.state().history(name));
    json["rollout"] = m_control.describeRollout(name);
    return json;
}

HttpResponse ControlHttp::showItem(const std::string& name)
{
    const Json json = itemJson(name);
    if (json.is_null())
        return errorResponse({ ErrorKind::NotFound, "no catalogue entry " + name });
    return ok(json);
}

HttpResponse ControlHttp::showHistory(const std::string& name) const
{
    if (!m_control.state().item(name))
        return errorResponse({ ErrorKind::NotFound, "no catalogue entry " + name });
    return ok({ { "name", name }, { "edits", m_control.state().history(name) } });
}

void ControlHttp::setEntry(const std::string& name, const HttpRequest& request, const Reply& reply)
{
    orElse(
        [&]() -> Result<void> {
            BOOST_LEAF_CHECK(checkName(name));
            BOOST_LEAF_AUTO(edit, parseEntryEdit(request.body));
            editItem(name, edit.baseVersion, catalogueSetRecord(name, edit.baseVersion, edit.entry), reply);
            return {};
        },
        [&](const Error& error) { reply(errorResponse(error)); });
}

void ControlHttp::govern(const std::string& name, const HttpRequest& request, const Reply& reply)
{
    orElse(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(edit, parseGovernEdit(request.body));
            if (!m_control.state().item(name))
                return fail(ErrorKind::NotFound, "no catalogue entry " + name);
            editItem(name, edit.baseVersion, catalogueGovernRecord(name, edit.baseVersion, edit.by, edit.owner), reply);
            return {};
        },
        [&](const Error& error) { reply(errorResponse(error)); });
}

void ControlHttp::editItem(const std::string& name, uint64_t baseVersion, const Json& record, const Reply& reply)
{
    const CatalogueItem* item = m_control.state().item(name);
    // Versions only increase, so an edit that is based on an older one is certain to conflict.
    if (item && baseVersion < item->version)
        return reply(refusal(ErrorKind::Conflict, refusalMessage(ErrorKind::Conflict, name), itemJson(name), name));
    m_control.edit(record, [this, name, reply](const EditOutcome& outcome) {
        if (outcome.error)
            return reply(refusal(*outcome.error, refusalMessage(*outcome.error, name), itemJson(name), name));
        reply(ok(itemJson(name)));
    });
}

HttpResponse ControlHttp::refusal(
    ErrorKind kind, const std::string& message, const Json& current, const std::string& key) const
{
    HttpResponse response = errorResponse({ kind, message });
    if (kind != ErrorKind::Conflict && kind != ErrorKind::NotGoverning)
        return response;
    Json body = Json::parse(response.body, nullptr, false);
    body["current"] = current;
    const std::vector<AppliedEdit> history = m_control.state().history(key);
    body["won"] = history.empty() ? Json() : Json(history.back());
    response.body = jsonText(body) + "\n";
    return response;
}

Json ControlHttp::dataCentreJson(const std::string& name)
{
    const std::string key = "datacentre/" + name;
    const std::vector<AppliedEdit> history = m_control.state().history(key);
    return { { "name", name }, { "state", m_control.state().isOut(name) ? "out" : "in" },
        { "version", dataCentreVersion(name) }, { "agents_here", agentsIn(name) },
        { "by", history.empty() ? Json() : Json(history.back().by) }, { "rollout", m_control.describeRollout(key) } };
}

uint64_t ControlHttp::dataCentreVersion(const std::string& name) const
{
    const auto found = m_control.state().dataCentres().find(name);
    return found == m_control.state().dataCentres().end() ? 0 : found->second.version;
}

int64_t ControlHttp::agentsIn(std::string_view dataCentre) const
{
    return std::ranges::count_if(
        m_agents.agents(), [&](const auto& agent) { return agent.second.identity.dataCentre == dataCentre; });
}

HttpResponse ControlHttp::listDataCentres()
{
    std::set<std::string> names { m_settings.dataCentre };
    for (const auto& [name, dataCentre] : m_control.state().dataCentres())
        names.insert(name);
    for (const auto& [host, agent] : m_agents.agents())
        names.insert(agent.identity.dataCentre);
    Json dataCentres = Json::array();
    for (const std::string& name : names)
        dataCentres.push_back(dataCentreJson(name));
    return ok({ { "offset", m_control.state().nextOffset() }, { "datacentres", dataCentres } });
}

HttpResponse ControlHttp::showDataCentre(const std::string& name)
{
    const bool isKnown = dataCentreVersion(name) > 0 || agentsIn(name) > 0 || name == m_settings.dataCentre;
    if (!isKnown)
        return errorResponse({ ErrorKind::NotFound, "no data centre " + name });
    return ok(dataCentreJson(name));
}

void ControlHttp::setDataCentre(const std::string& name, const HttpRequest& request, const Reply& reply)
{
    orElse(
        [&]() -> Result<void> {
            BOOST_LEAF_CHECK(checkName(name));
            BOOST_LEAF_AUTO(json, parseObject(request.body, { "state", "base_version", "by" }));
            BOOST_LEAF_AUTO(state, stringField(json, "state"));
            if (state != "in" && state != "out")
                return fail(ErrorKind::InvalidRequest, "state: in or out is expected");
            BOOST_LEAF_AUTO(by, stringField(json, "by"));
            DataCentreEdit edit { name, state == "out", by, std::nullopt, maxUnconditionalTries };
            if (json.contains("base_version")) {
                BOOST_LEAF_ASSIGN(edit.baseVersion, versionField(json));
                edit.triesLeft = 1;
            }
            editDataCentre(edit, reply);
            return {};
        },
        [&](const Error& error) { reply(errorResponse(error)); });
}

void ControlHttp::editDataCentre(const DataCentreEdit& edit, const Reply& reply)
{
    const uint64_t base = edit.baseVersion.value_or(dataCentreVersion(edit.name));
    const Json record = dataCentreSetRecord(edit.name, base, edit.out, edit.by);
    m_control.edit(record, [this, edit, reply](const EditOutcome& outcome) {
        if (!outcome.error)
            return reply(ok(dataCentreJson(edit.name)));
        if (*outcome.error == ErrorKind::Conflict && edit.triesLeft > 1) {
            DataCentreEdit nextTry = edit;
            --nextTry.triesLeft;
            return editDataCentre(nextTry, reply);
        }
        reply(refusal(*outcome.error, refusalMessage(*outcome.error, edit.name), dataCentreJson(edit.name),
            "datacentre/" + edit.name));
    });
}

} // namespace hemlocklead
