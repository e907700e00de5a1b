#include "carobpath/moves/EvidenceTable.h"

#include <algorithm>
#include <utility>

namespace carobpath::moves {

EvidenceTable::EvidenceTable(NodeName self, Incarnation incarnation)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
{
}

EvidenceTable::MoveEvidence* EvidenceTable::find(const MoveId& move)
{
    if (const auto it = m_moves.find(move); it != m_moves.end())
        return &it->second;
    const bool isActive = std::find(m_active.begin(), m_active.end(), move) != m_active.end();
    const bool mayComeYet = !m_configured || move.publishedAt > m_inForce;
    if ((!isActive && !mayComeYet) || m_moves.size() >= s_movesKept)
        return nullptr;
    return &m_moves[move];
}

void EvidenceTable::observe(const MoveId& move, const RouteName& route, const VersionName& version, std::uint32_t window, const EvidenceCounts& growth, MonotonicTime)
{
    auto* evidence = find(move);
    if (!evidence)
        return;
    auto& own = evidence->own[SeriesKey { route, version, window, m_self }];
    own.counts += growth;
    own.changed = true;
    own.urgent = own.urgent || growth.failed > 0;
}

std::vector<EvidenceGrowth> EvidenceTable::publishOwn(MonotonicTime now)
{
    std::vector<EvidenceGrowth> result;
    for (auto& [move, evidence] : m_moves) {
        for (auto& [key, own] : evidence.own) {
            const auto interval = own.urgent ? s_urgentRevisionInterval : s_revisionInterval;
            if (!own.changed || (own.publishedAt != MonotonicTime::min() && now - own.publishedAt < interval))
                continue;
            own.changed = false;
            own.urgent = false;
            own.publishedAt = now;
            EvidenceGrowth it { move, key.route, key.version, key.window, {}, m_self };
            if (store(evidence, key, Revision { m_incarnation, ++m_sequence }, own.counts, it.counts))
                result.push_back(std::move(it));
        }
    }
    return result;
}

bool EvidenceTable::store(MoveEvidence& evidence, const SeriesKey& key, const Revision& revision, const EvidenceCounts& counts, EvidenceCounts& growth)
{
    auto it = evidence.series.find(key);
    if (it == evidence.series.end()) {
        if (evidence.series.size() >= s_entriesPerMove)
            return false;
        it = evidence.series.emplace(key, Series {}).first;
    }
    auto& series = it->second;
    const bool isTooOld = series.size() >= s_incarnationsKept && revision.incarnation < series.begin()->first;
    if (isTooOld)
        return false;
    auto& stored = series[revision.incarnation];
    if (stored.sequence >= revision.sequence && stored.changedAt != 0)
        return false;
    growth = counts.since(stored.counts);
    stored = Stored { revision.sequence, ++m_changes, counts };
    evidence.changedAt = m_changes;
    if (series.size() > s_incarnationsKept)
        series.erase(series.begin());
    return true;
}

std::vector<EvidenceGrowth> EvidenceTable::merge(const EvidenceUpdate& update)
{
    std::vector<EvidenceGrowth> result;
    for (const auto& entry : update.entries) {
        const bool isOwn = entry.observer == m_self && entry.revision.incarnation == m_incarnation;
        const MoveId move { entry.move, entry.movePublishedAt };
        auto* evidence = isOwn ? nullptr : find(move);
        if (!evidence)
            continue;
        EvidenceGrowth it { move, entry.route, entry.version, entry.window, {}, entry.observer };
        if (store(*evidence, SeriesKey { entry.route, entry.version, entry.window, entry.observer }, entry.revision, entry.counts, it.counts))
            result.push_back(std::move(it));
    }
    for (const auto& notice : update.notices)
        addNotice(notice);
    return result;
}

bool EvidenceTable::addNotice(const TakeBackNotice& notice)
{
    auto* evidence = find(MoveId { notice.move, notice.movePublishedAt });
    if (!evidence || evidence->notice)
        return false;
    evidence->notice = StoredNotice { notice, ++m_changes };
    evidence->changedAt = m_changes;
    return true;
}

const TakeBackNotice* EvidenceTable::notice(const MoveId& move) const
{
    const auto it = m_moves.find(move);
    if (it == m_moves.end() || !it->second.notice)
        return nullptr;
    return &it->second.notice->notice;
}

void EvidenceTable::collect(const MoveId& move, const MoveEvidence& evidence, std::uint64_t after, EvidenceUpdate& update, std::vector<std::uint64_t>& places) const
{
    for (const auto& [key, series] : evidence.series) {
        for (const auto& [incarnation, stored] : series) {
            if (stored.changedAt <= after)
                continue;
            update.entries.push_back({ key.observer, Revision { incarnation, stored.sequence }, move.name, move.publishedAt, key.route, key.version, key.window, stored.counts });
            places.push_back(stored.changedAt);
        }
    }
}

EvidenceUpdate EvidenceTable::changedSince(EvidenceCursor& cursor) const
{
    const auto after = cursor.book == m_incarnation ? cursor.position : 0;
    EvidenceUpdate update;
    std::vector<std::uint64_t> places;
    for (const auto& [move, evidence] : m_moves) {
        if (evidence.changedAt <= after)
            continue;
        collect(move, evidence, after, update, places);
        if (evidence.notice && evidence.notice->changedAt > after)
            update.notices.push_back(evidence.notice->notice);
    }
    cursor = EvidenceCursor { m_incarnation, m_changes };
    if (places.size() <= s_entriesPerUpdate)
        return update;

    auto sorted = places;
    std::nth_element(sorted.begin(), sorted.begin() + s_entriesPerUpdate - 1, sorted.end());
    cursor.position = sorted[s_entriesPerUpdate - 1];
    std::vector<EvidenceEntry> kept;
    for (std::size_t i = 0; i < places.size(); ++i) {
        if (places[i] <= cursor.position)
            kept.push_back(std::move(update.entries[i]));
    }
    update.entries = std::move(kept);
    return update;
}

void EvidenceTable::retain(const std::vector<MoveId>& active, publication::Offset inForce)
{
    m_active = active;
    m_inForce = inForce;
    m_configured = true;
    std::erase_if(m_moves, [&](const auto& it) {
        const bool isActive = std::find(active.begin(), active.end(), it.first) != active.end();
        return !isActive && it.first.publishedAt <= inForce;
    });
}

std::vector<EvidenceGrowth> EvidenceTable::total(const MoveId& move) const
{
    std::vector<EvidenceGrowth> result;
    const auto it = m_moves.find(move);
    if (it == m_moves.end())
        return result;
    for (const auto& [key, series] : it->second.series) {
        for (const auto& [incarnation, stored] : series)
            result.push_back({ move, key.route, key.version, key.window, stored.counts, key.observer });
    }
    return result;
}

}
