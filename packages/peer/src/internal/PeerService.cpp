#include "PeerService.h"

#include "ReadMessage.h"

namespace carobpath::peer {

namespace {

    using distribution::PeerMessage;

    kj::Exception failure(std::string_view text)
    {
        return kj::Exception(kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::heapString(text.data(), text.size()));
    }

    template <typename Name>
    Name nameOf(capnp::Text::Reader text)
    {
        return Name { std::string(text.begin(), text.size()) };
    }

    bool isName(capnp::Text::Reader text)
    {
        return text.size() > 0 && text.size() <= maxNameLength;
    }

    std::uint32_t millisecondsOf(const routing::ClaimResult& verdict)
    {
        return verdict.retryAfter ? static_cast<std::uint32_t>(verdict.retryAfter->count()) : 0;
    }

}

PeerService::PeerService(std::shared_ptr<const PeerHooks> hooks, std::shared_ptr<MonotonicTime> lastUsed)
    : m_hooks(std::move(hooks))
    , m_lastUsed(std::move(lastUsed))
{
}

void PeerService::touch() const
{
    *m_lastUsed = MonotonicClock::now();
}

kj::Promise<void> PeerService::refuse(MessageError error) const
{
    if (m_hooks->onMalformed)
        m_hooks->onMalformed(error);
    return failure(toString(error.fault));
}

kj::Promise<void> PeerService::exchange(ExchangeContext context)
{
    touch();
    const auto request = readMessage<PeerMessage>(context.getParams().getMessage());
    if (const auto* error = std::get_if<MessageError>(&request))
        return refuse(*error);
    context.releaseParams();
    write(m_hooks->onExchange(std::get<PeerMessage>(request)), context.getResults().initReply());
    return kj::READY_NOW;
}

kj::Promise<void> PeerService::deliver(DeliverContext context)
{
    touch();
    const auto message = readMessage<PeerMessage>(context.getParams().getMessage());
    if (const auto* error = std::get_if<MessageError>(&message))
        return refuse(*error);
    context.releaseParams();
    m_hooks->onDeliver(std::get<PeerMessage>(message));
    return kj::READY_NOW;
}

kj::Promise<void> PeerService::fetchWhole(FetchWholeContext context)
{
    touch();
    const bool isWithout = context.getParams().getWithoutConfiguration();
    const auto state = m_hooks->onFetchWhole(isWithout ? distribution::FetchScope::AllButConfiguration : distribution::FetchScope::All);
    auto to = context.getResults().initState();
    to.setServed(state.has_value());
    if (state)
        write(*state, to);
    return kj::READY_NOW;
}

kj::Promise<void> PeerService::claim(ClaimContext context)
{
    touch();
    const auto params = context.getParams();
    if (!m_hooks->onClaim)
        return failure("claims are not served");
    if (!isName(params.getKey()) || !isName(params.getRoute()) || !isName(params.getRequestId()))
        return refuse(MessageError { MessageFault::NameMissing });
    ClaimRequest request;
    request.key = nameOf<IdempotencyKey>(params.getKey());
    request.route = nameOf<RouteName>(params.getRoute());
    request.requestId = nameOf<RequestId>(params.getRequestId());
    request.timeout = std::chrono::milliseconds { params.getTimeoutMilliseconds() };
    auto paf = kj::newPromiseAndFulfiller<routing::ClaimResult>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<routing::ClaimResult>>>(kj::mv(paf.fulfiller));
    m_hooks->onClaim(request, [fulfiller](routing::ClaimResult verdict) { (*fulfiller)->fulfill(kj::mv(verdict)); });
    return paf.promise.then([context](routing::ClaimResult verdict) mutable {
        auto results = context.getResults();
        results.setVerdict(static_cast<std::uint8_t>(verdict.answer));
        results.setRetryAfterMilliseconds(millisecondsOf(verdict));
    });
}

kj::Promise<void> PeerService::endClaim(EndClaimContext context)
{
    touch();
    const auto params = context.getParams();
    if (!m_hooks->onEndClaim)
        return failure("claims are not served");
    if (!isName(params.getKey()) || !isName(params.getRoute()) || !isName(params.getRequestId()))
        return refuse(MessageError { MessageFault::NameMissing });
    if (params.getOutcome() > static_cast<std::uint8_t>(routing::Outcome::Unknown))
        return refuse(MessageError { MessageFault::BadEnum });
    EndRequest request;
    request.key = nameOf<IdempotencyKey>(params.getKey());
    request.route = nameOf<RouteName>(params.getRoute());
    request.requestId = nameOf<RequestId>(params.getRequestId());
    request.outcome = static_cast<routing::Outcome>(params.getOutcome());
    m_hooks->onEndClaim(request);
    return kj::READY_NOW;
}

kj::Promise<void> PeerService::reportCrashes(ReportCrashesContext context)
{
    touch();
    const auto update = readMessage<routing::CrashUpdate>(context.getParams().getUpdate());
    if (const auto* error = std::get_if<MessageError>(&update))
        return refuse(*error);
    context.releaseParams();
    if (m_hooks->onCrashes)
        m_hooks->onCrashes(std::get<routing::CrashUpdate>(update));
    return kj::READY_NOW;
}

kj::Promise<void> PeerService::reportUsage(ReportUsageContext context)
{
    touch();
    const auto message = readMessage<quota::UsageMessage>(context.getParams());
    if (const auto* error = std::get_if<MessageError>(&message))
        return refuse(*error);
    context.releaseParams();
    if (!m_hooks->onUsage)
        return kj::READY_NOW;
    auto paf = kj::newPromiseAndFulfiller<quota::QuotaGrants>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<quota::QuotaGrants>>>(kj::mv(paf.fulfiller));
    m_hooks->onUsage(std::get<quota::UsageMessage>(message), [fulfiller](quota::QuotaGrants grants) { (*fulfiller)->fulfill(kj::mv(grants)); });
    return paf.promise.then([context](const quota::QuotaGrants& grants) mutable { write(grants, context.getResults()); });
}

}
