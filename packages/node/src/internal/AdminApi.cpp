#include "internal/AdminApi.h"

#include "carobpath/node/Announcement.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace carobpath::node::Detail {

namespace {

    constexpr std::string_view movePrefix = "/v1/moves/";
    constexpr std::string_view upstreamTarget = "/v1/upstream";

    gateway::AdminResponse problem(unsigned status, std::string_view kind, const std::string& detail = {})
    {
        nlohmann::json body { { "error", kind } };
        if (!detail.empty())
            body["detail"] = detail;
        return gateway::AdminResponse { status, "application/json", body.dump() };
    }

    gateway::AdminResponse ok(std::string json)
    {
        return gateway::AdminResponse { 200, "application/json", std::move(json) };
    }

    gateway::AdminResponse okOr(std::optional<std::string> json, unsigned status, std::string_view kind)
    {
        return json ? ok(std::move(*json)) : problem(status, kind);
    }

}

AdminApi::AdminApi(AdminSources sources)
    : m_sources(std::move(sources))
{
}

gateway::AdminResponse AdminApi::answer(const gateway::AdminRequest& request) const
{
    if (request.target == upstreamTarget)
        return request.method == "PUT" ? announce(request.body) : problem(405, "method-not-allowed");
    if (request.method != "GET")
        return problem(405, "method-not-allowed");
    return get(request.target);
}

gateway::AdminResponse AdminApi::get(const std::string& target) const
{
    if (target == "/live")
        return ok(R"({"live":true})");
    if (target == "/ready")
        return m_sources.ready() ? ok(R"({"ready":true})") : problem(503, "not-ready");
    if (target == "/metrics")
        return gateway::AdminResponse { 200, "text/plain; version=0.0.4", m_sources.metrics() };
    if (target == "/v1/status")
        return ok(m_sources.status());
    if (target == "/v1/objects")
        return okOr(m_sources.objects(), 503, "no-configuration");
    if (target == "/v1/quotas")
        return ok(m_sources.quotas());
    if (target.starts_with(movePrefix))
        return okOr(m_sources.move(target.substr(movePrefix.size())), 404, "unknown-move");
    return problem(404, "unknown-target");
}

gateway::AdminResponse AdminApi::announce(const std::string& body) const
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<gateway::AdminResponse> {
            BOOST_LEAF_CHECK(m_sources.announce(body));
            return gateway::AdminResponse { 204, "application/json", {} };
        },
        [](const AnnouncementFault& fault) { return problem(400, toString(fault.kind), fault.field); },
        [] { return problem(400, "bad-announcement"); });
}

}
