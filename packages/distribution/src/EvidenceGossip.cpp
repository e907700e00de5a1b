#include "carobpath/distribution/EvidenceGossip.h"

#include "carobpath/distribution/PeerMessage.h"
#include "carobpath/membership/MembershipTable.h"

namespace carobpath::distribution {

namespace {

    constexpr std::size_t noticeSize = 256;
    constexpr std::size_t noticeBudget = 4096;

}

EvidenceGossip::EvidenceGossip(EvidencePort port)
    : m_port(std::move(port))
{
}

std::vector<moves::TakeBackNotice> EvidenceGossip::collect(MonotonicTime now)
{
    m_collectedAt = now;
    if (!m_port.takeChanges)
        return {};
    moves::EvidenceUpdate changes;
    for (std::size_t i = 0; i < s_maxParts; ++i) {
        const moves::EvidenceUpdate part = m_port.takeChanges();
        append(changes, part);
        if (part.entries.empty())
            break;
    }
    for (const auto& it : changes.entries)
        m_entries.put(keyOf(it), it);
    return remember(changes.notices);
}

EvidenceGossip::EntryKey EvidenceGossip::keyOf(const moves::EvidenceEntry& it)
{
    return { it.observer, it.revision.incarnation, it.move, it.movePublishedAt, it.route, it.version, it.window };
}

bool EvidenceGossip::collectionDue(MonotonicTime now) const
{
    return now - m_collectedAt >= s_collectInterval;
}

std::vector<moves::TakeBackNotice> EvidenceGossip::merge(const moves::EvidenceUpdate& update)
{
    if (update.entries.empty() && update.notices.empty())
        return {};
    for (const auto& it : update.entries)
        m_entries.onEcho(keyOf(it), membership::MembershipTable::s_echoDiscount);
    if (m_port.merge)
        m_port.merge(update);
    return remember(update.notices);
}

std::vector<moves::TakeBackNotice> EvidenceGossip::remember(const std::vector<moves::TakeBackNotice>& notices)
{
    std::vector<moves::TakeBackNotice> fresh;
    for (const auto& it : notices) {
        const NoticeKey key { it.move, it.movePublishedAt };
        if (m_known.contains(key))
            continue;
        if (m_knownOrder.size() >= s_maxNotices) {
            m_known.erase(m_knownOrder.front());
            m_knownOrder.pop_front();
        }
        m_known.insert(key);
        m_knownOrder.push_back(key);
        m_notices.put(key, it);
        fresh.push_back(it);
    }
    return fresh;
}

moves::EvidenceUpdate EvidenceGossip::take(std::size_t budget, std::uint32_t transmissions)
{
    moves::EvidenceUpdate update;
    update.entries = m_entries.take(budget, transmissions, [](const moves::EvidenceEntry& it) { return encodedSize(it); });
    update.notices = m_notices.take(noticeBudget, transmissions, [](const moves::TakeBackNotice& it) { return noticeSize + it.verdict.evidence.size(); });
    return update;
}

moves::EvidenceUpdate EvidenceGossip::snapshot() const
{
    if (!m_port.snapshot)
        return {};
    return m_port.snapshot();
}

}
