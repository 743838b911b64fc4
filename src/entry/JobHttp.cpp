#include "entry/JobHttp.h"

#include "entry/JobId.h"
#include "protocol/ErrorTable.h"
#include "state/ShardOf.h"

#include <charconv>
#include <set>
#include <utility>

namespace hemlocklead {

namespace {

    constexpr size_t maxListedJobs = 1000;

    HttpResponse doneResponse(int status, const Json& body)
    {
        HttpResponse response = jsonResponse(status, jsonText(body) + "\n");
        response.headers.push_back({ "Hemlocklead-Outcome", std::string(outcomeName(CallOutcome::Done)) });
        return response;
    }

    HttpResponse jobErrorResponse(const Error& error, const std::string& job)
    {
        HttpResponse response = errorResponse(error);
        Json body = Json::parse(response.body, nullptr, false);
        body["job"] = job;
        response.body = jsonText(body) + "\n";
        return response;
    }

    HttpResponse forwardedResponse(const ForwardReply& reply)
    {
        HttpResponse response = jsonResponse(reply.status, reply.body);
        response.headers.push_back({ "Hemlocklead-Outcome", reply.outcome });
        return response;
    }

    HttpResponse notStoredResponse()
    {
        return errorResponse({ ErrorKind::LogUnavailable, "the log cannot be reached" });
    }

    HttpResponse notOwnerResponse()
    {
        return errorResponse({ ErrorKind::NotOwner, "no reachable entry owns the job's shard" });
    }

    /// Response to a list request, combined from the parts of all entries.
    struct ListResponse {
        Json jobs = Json::array();
        Json missing = Json::array(); ///< Shards without a known owner, and entries without a usable response.
        bool truncated { false };
        size_t pendingParts { 1 };
        JobHttp::Reply reply;

        void add(const Json& part)
        {
            for (const Json& job : part) {
                truncated = truncated || jobs.size() >= maxListedJobs;
                if (jobs.size() < maxListedJobs)
                    jobs.push_back(job);
            }
        }

        void completePart()
        {
            if (--pendingParts == 0)
                reply(doneResponse(200, { { "jobs", jobs }, { "truncated", truncated }, { "missing", missing } }));
        }
    };

    void addForwardedList(ListResponse& list, const std::string& entry, const ForwardReply& reply)
    {
        const Json body = Json::parse(reply.body, nullptr, false);
        const bool usable = reply.status == 200 && body.is_object() && body.contains("jobs");
        if (usable)
            list.add(body.at("jobs"));
        else
            list.missing.push_back("entry " + entry);
        list.completePart();
    }

} // namespace

JobHttp::JobHttp(const ShardEnvironment& environment, Routing routing)
    : m_environment(environment)
    , m_routing(std::move(routing))
{
}

void JobHttp::handle(const HttpRequest& request, Reply reply) { dispatch({ request, true, std::move(reply) }); }

void JobHttp::handleForwarded(const Forward& request, std::function<void(ForwardReply)> reply)
{
    HttpRequest http;
    http.method = request.method;
    http.path = request.path;
    http.body = request.body;
    dispatch({ http, false, [reply = std::move(reply), id = request.id](const HttpResponse& response) {
                  reply({ id, response.status, response.body, std::string(response.header("Hemlocklead-Outcome")) });
              } });
}

void JobHttp::dispatch(const Exchange& exchange)
{
    if (!m_environment.control.isServing()) {
        exchange.reply(errorResponse({ ErrorKind::NotReady, "this entry has not read the catalogue yet" }));
        return;
    }
    const std::vector<std::string> segments = pathSegments(exchange.request.path);
    if (segments.empty() || segments[0] != "jobs" || segments.size() > 3)
        exchange.reply(errorResponse({ ErrorKind::NotFound, "no such path" }));
    else if (segments.size() > 1)
        handleJob(exchange, segments);
    else if (exchange.request.method == "POST")
        submit(exchange);
    else if (exchange.request.method == "GET")
        list(exchange);
    else
        exchange.reply(errorResponse({ ErrorKind::InvalidRequest, "method: /jobs takes GET and POST" }));
}

void JobHttp::submit(const Exchange& exchange)
{
    // The forwarding entry chooses the id, so that it can report the id even if the response is lost.
    const std::string chosenId = exchange.mayForward ? std::string() : queryValue(exchange.request.path, "id");
    std::optional<JobSubmission> submission = orElse(
        [&]() -> Result<std::optional<JobSubmission>> {
            BOOST_LEAF_AUTO(parsed,
                parseSubmission(exchange.request.body, m_environment.control.state(), m_environment.settings.shards,
                    m_environment.unixMs(), chosenId));
            return parsed;
        },
        [&](const Error& error) {
            exchange.reply(errorResponse(error));
            return std::optional<JobSubmission>();
        });
    if (!submission)
        return;
    Exchange timedExchange = exchange;
    timedExchange.reply = withDeadline(exchange.reply, submission->spec.id);
    ShardOwner* owner = route(timedExchange, submission->shard, "/jobs?id=" + submission->spec.id);
    if (owner)
        accept(timedExchange, *submission, *owner);
}

void JobHttp::accept(const Exchange& exchange, const JobSubmission& submission, ShardOwner& owner)
{
    const JobSpec& spec = submission.spec;
    const bool isNew = owner.state().job(spec.id) == nullptr;
    const size_t queued = owner.waitingOfName(spec.task.name) + spec.tasks;
    if (isNew && queued > static_cast<size_t>(submission.maxQueuedTasks)) {
        exchange.reply(errorResponse({ ErrorKind::QuotaExceeded, "too many tasks of " + spec.task.name + " wait" }));
        return;
    }
    if (isNew && !owner.hasAuthority()) {
        exchange.reply(notStoredResponse());
        return;
    }
    owner.submit(spec, [reply = exchange.reply, id = spec.id](ShardOwner::Outcome outcome) {
        if (outcome == ShardOwner::Outcome::Done)
            reply(doneResponse(202, { { "job", id } }));
        else
            reply(outcome == ShardOwner::Outcome::NotStored ? notStoredResponse() : notOwnerResponse());
    });
}

void JobHttp::handleJob(const Exchange& exchange, const std::vector<std::string>& segments)
{
    const std::string& id = segments[1];
    const std::optional<uint32_t> shard = shardOfJobId(id);
    if (!shard || *shard >= m_environment.settings.shards) {
        exchange.reply(errorResponse({ ErrorKind::NotFound, "no such job" }));
        return;
    }
    ShardOwner* owner = route(exchange, *shard, exchange.request.path);
    if (!owner)
        return;
    const JobState* job = owner->state().job(id);
    const std::string& method = exchange.request.method;
    const bool wantsResult = segments.size() == 3 && segments[2] == "result";
    if (!job || (segments.size() == 3 && !wantsResult))
        exchange.reply(errorResponse({ ErrorKind::NotFound, "no such job" }));
    else if (method == "GET" && wantsResult) {
        const std::string from = queryValue(exchange.request.path, "from");
        uint32_t index = 0;
        std::from_chars(from.data(), from.data() + from.size(), index);
        exchange.reply(doneResponse(200, jobResults(*job, index)));
    } else if (method == "GET")
        exchange.reply(doneResponse(200, jobSummary(*job, owner->unplaceableReason(id))));
    else if (method == "DELETE" && !wantsResult)
        cancel(exchange, id, *owner);
    else
        exchange.reply(errorResponse({ ErrorKind::InvalidRequest, "method: a job takes GET and DELETE" }));
}

void JobHttp::cancel(const Exchange& exchange, const std::string& id, ShardOwner& owner)
{
    if (!owner.hasAuthority()) {
        exchange.reply(notStoredResponse());
        return;
    }
    const uint32_t shard = *shardOfJobId(id);
    owner.cancel(id, [this, id, shard, reply = withDeadline(exchange.reply, id)](ShardOwner::Outcome outcome) {
        const ShardOwner* current = m_routing.local(shard);
        const JobState* job = current ? current->state().job(id) : nullptr;
        if (outcome == ShardOwner::Outcome::Done && job)
            reply(doneResponse(200, jobSummary(*job, {})));
        else
            reply(outcome == ShardOwner::Outcome::NotStored ? notStoredResponse() : notOwnerResponse());
    });
}

void JobHttp::list(const Exchange& exchange)
{
    const JobFilter filter { queryValue(exchange.request.path, "team"), queryValue(exchange.request.path, "phase") };
    const auto combined = std::make_shared<ListResponse>();
    combined->reply = exchange.reply;
    combined->add(listLocal(filter));
    std::set<std::string> entries;
    for (uint32_t shard = 0; exchange.mayForward && shard < m_environment.settings.shards; ++shard) {
        const bool isSelected = filter.team.empty() || shardOf(filter.team, m_environment.settings.shards) == shard;
        if (!isSelected || m_routing.local(shard))
            continue;
        if (const auto owner = m_routing.remote(shard))
            entries.insert(*owner);
        else
            combined->missing.push_back("shard " + std::to_string(shard));
    }
    combined->pendingParts += entries.size();
    for (const std::string& entry : entries) {
        m_routing.forward(entry, Forward { m_nextForwardId++, "GET", exchange.request.path, {}, {} },
            [combined, entry](const ForwardReply& reply) { addForwardedList(*combined, entry, reply); });
    }
    combined->completePart();
}

Json JobHttp::listLocal(const JobFilter& filter) const
{
    Json jobs = Json::array();
    for (uint32_t shard = 0; shard < m_environment.settings.shards; ++shard) {
        const ShardOwner* owner = m_routing.local(shard);
        if (!owner)
            continue;
        for (const auto& [id, job] : owner->state().jobs()) {
            if (jobs.size() > maxListedJobs)
                return jobs;
            if (filter.matches(job))
                jobs.push_back(jobSummary(job, owner->unplaceableReason(id)));
        }
    }
    return jobs;
}

ShardOwner* JobHttp::route(const Exchange& exchange, uint32_t shard, const std::string& path)
{
    if (ShardOwner* local = m_routing.local(shard))
        return local;
    const std::optional<std::string> owner = exchange.mayForward ? m_routing.remote(shard) : std::nullopt;
    if (!owner) {
        exchange.reply(notOwnerResponse());
        return nullptr;
    }
    const HttpRequest& request = exchange.request;
    const Forward forward { m_nextForwardId++, request.method, path, request.body,
        std::string(request.header("traceparent")) };
    m_routing.forward(*owner, forward,
        [reply = exchange.reply](const ForwardReply& forwarded) { reply(forwardedResponse(forwarded)); });
    return nullptr;
}

JobHttp::Reply JobHttp::withDeadline(const Reply& reply, const std::string& job)
{
    const auto replied = std::make_shared<bool>(false);
    m_routing.later(outcomeTimeout, [reply, replied, job] {
        if (!std::exchange(*replied, true))
            reply(jobErrorResponse(
                { ErrorKind::OutcomeUnknown, "the log has not answered; ask for the job later" }, job));
    });
    return [reply, replied](const HttpResponse& response) {
        if (!std::exchange(*replied, true))
            reply(response);
    };
}

} // namespace hemlocklead
