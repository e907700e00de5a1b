#include "internal/LedgerDriver.h"

#include "carobpath/routing/IntentKey.h"

#include <algorithm>
#include <utility>

namespace carobpath::node::Detail {

namespace {

    std::chrono::milliseconds timeLeft(MonotonicTime deadline)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - MonotonicClock::now());
        return std::max(left, std::chrono::milliseconds { 0 });
    }

    std::vector<routing::IntentLogRecord> intentRecords(const publication::LogBatch& batch)
    {
        std::vector<routing::IntentLogRecord> records;
        records.reserve(batch.records.size());
        for (const auto& it : batch.records)
            records.push_back(routing::IntentLogRecord { it.offset, it.body });
        return records;
    }

}

LedgerDriver::LedgerDriver(NodeContext& context, platform::StoreClient& log)
    : m_context(context)
    , m_log(log)
    , m_ledger(context.settings.name, context.incarnation)
    , m_timer(context.io)
{
}

void LedgerDriver::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

std::optional<Endpoint> LedgerDriver::ownerElsewhere(const routing::IntentKey& key) const
{
    if (!m_view || !m_peers)
        return std::nullopt;
    const auto owner = routing::intentOwner(routing::partitionOf(key), *m_view);
    if (!owner || *owner == m_context.settings.name)
        return std::nullopt;
    for (const auto& node : m_view->nodes) {
        if (node.entry.name == *owner)
            return node.entry.addresses.peer;
    }
    return std::nullopt;
}

void LedgerDriver::claim(const routing::AwaitClaimResult& await, const RequestId& request, gateway::LedgerHandler handler)
{
    const routing::IntentClaim claim { routing::intentKeyOf(await.route, await.key), request, await.deadline };
    const auto owner = ownerElsewhere(claim.key);
    if (!owner) {
        claimHere(claim, std::move(handler));
        return;
    }
    peer::Completion<routing::ClaimResult> completion;
    completion.done = handler;
    completion.failed = [this, claim, handler](peer::PeerError) {
        if (!m_stopped)
            claimHere(claim, handler);
    };
    m_peers->claim(*owner, peer::ClaimRequest { await.key, await.route, request, timeLeft(await.deadline) }, completion);
}

void LedgerDriver::end(const IdempotencyKey& key, const RouteName& route, const RequestId& request, routing::Outcome outcome)
{
    const routing::IntentEnd end { routing::intentKeyOf(route, key), request, outcome };
    const auto owner = ownerElsewhere(end.key);
    if (!owner) {
        perform(m_ledger.onCallEnded(end, MonotonicClock::now()));
        return;
    }
    peer::Completion<peer::ClaimEnded> completion;
    completion.done = [](peer::ClaimEnded) {};
    completion.failed = [this, end](peer::PeerError) {
        if (!m_stopped)
            perform(m_ledger.onCallEnded(end, MonotonicClock::now()));
    };
    m_peers->endClaim(*owner, peer::EndRequest { key, route, request, outcome }, completion);
}

void LedgerDriver::onPeerClaim(const peer::ClaimRequest& request, gateway::LedgerHandler handler)
{
    const auto deadline = MonotonicClock::now() + request.timeout;
    claimHere(routing::IntentClaim { routing::intentKeyOf(request.route, request.key), request.requestId, deadline }, std::move(handler));
}

void LedgerDriver::onPeerEnd(const peer::EndRequest& request)
{
    perform(m_ledger.onCallEnded({ routing::intentKeyOf(request.route, request.key), request.requestId, request.outcome }, MonotonicClock::now()));
}

void LedgerDriver::claimHere(const routing::IntentClaim& claim, gateway::LedgerHandler handler)
{
    m_waiting[claim.request] = std::move(handler);
    perform(m_ledger.onClaim(claim, MonotonicClock::now()));
}

void LedgerDriver::perform(const routing::LedgerCommands& commands)
{
    for (const auto& command : commands)
        std::visit([this](const auto& it) { perform(it); }, command);
    scheduleTick();
}

void LedgerDriver::perform(const routing::AppendIntents& command)
{
    m_log.append(routing::intentStream(command.partition), command.bytes,
        [this, partition = command.partition, batch = command.batch](const publication::AppendResult& result) {
            const auto now = MonotonicClock::now();
            if (const auto* appended = std::get_if<publication::Appended>(&result))
                perform(m_ledger.onAppended(partition, batch, appended->offset, now));
            else
                perform(m_ledger.onAppendFailed(partition, batch, now));
        });
}

void LedgerDriver::perform(const routing::ReadIntents& command)
{
    m_log.read(routing::intentStream(command.partition), command.from, std::chrono::milliseconds { 0 }, s_readRecords,
        [this, partition = command.partition](const publication::ReadResult& result) {
            const auto now = MonotonicClock::now();
            if (const auto* batch = std::get_if<publication::LogBatch>(&result))
                perform(m_ledger.onRead(partition, routing::IntentPage { batch->first, batch->next, intentRecords(*batch) }, now));
            else if (const auto* trimmed = std::get_if<publication::Trimmed>(&result))
                perform(m_ledger.onRead(partition, routing::IntentPage { trimmed->first, trimmed->first, {} }, now));
            else
                perform(m_ledger.onReadFailed(partition, now));
        });
}

void LedgerDriver::perform(const routing::AnswerClaim& command)
{
    const auto it = m_waiting.find(command.request);
    if (it == m_waiting.end())
        return;
    const auto handler = std::move(it->second);
    m_waiting.erase(it);
    handler(command.result);
}

void LedgerDriver::scheduleTick()
{
    const auto next = m_ledger.nextTick();
    if (!next || m_stopped)
        return;
    m_timer.expires_at(*next);
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec && !m_stopped)
            perform(m_ledger.onTick(MonotonicClock::now()));
    });
}

}
