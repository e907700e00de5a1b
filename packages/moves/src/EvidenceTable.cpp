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
    const bool mayStillBegin = !m_configured || move.publishedAt > m_activeOffset;
    if ((!isActive && !mayStillBegin) || m_moves.size() >= s_maxMoves)
        return nullptr;
    return &m_moves[move];
}

void EvidenceTable::observe(const MoveId& move, const RouteName& route, const VersionName& version, std::uint32_t window, const EvidenceCounts& growth, MonotonicTime)
{
    auto* evidence = find(move);
    if (!evidence)
        return;
    auto& local = evidence->local[SeriesKey { route, version, window, m_self }];
    local.counts += growth;
    local.changed = true;
    local.urgent = local.urgent || growth.failed > 0;
}

void EvidenceTable::repeat(const MoveId& move, const VersionName& version, std::uint32_t window)
{
    const auto it = m_moves.find(move);
    if (it == m_moves.end())
        return;
    for (auto& [key, local] : it->second.local) {
        if (key.version != version || key.window != window)
            continue;
        local.changed = true;
        local.urgent = true;
    }
}

std::vector<EvidenceGrowth> EvidenceTable::publishLocal(MonotonicTime now)
{
    std::vector<EvidenceGrowth> result;
    for (auto& [move, evidence] : m_moves) {
        for (auto& [key, local] : evidence.local) {
            const auto interval = local.urgent ? s_urgentRevisionInterval : s_revisionInterval;
            if (!local.changed || (local.publishedAt != MonotonicTime::min() && now - local.publishedAt < interval))
                continue;
            local.changed = false;
            local.urgent = false;
            local.publishedAt = now;
            EvidenceGrowth it { move, key.route, key.version, key.window, {}, m_self };
            if (store(evidence, key, Revision { m_incarnation, ++m_sequence }, local.counts, it.counts))
                result.push_back(std::move(it));
        }
    }
    return result;
}

bool EvidenceTable::store(MoveEvidence& evidence, const SeriesKey& key, const Revision& revision, const EvidenceCounts& counts, EvidenceCounts& growth)
{
    auto it = evidence.series.find(key);
    if (it == evidence.series.end()) {
        if (evidence.series.size() >= s_maxEntriesPerMove)
            return false;
        it = evidence.series.emplace(key, Series {}).first;
    }
    auto& series = it->second;
    const bool isTooOld = series.size() >= s_maxIncarnations && revision.incarnation < series.begin()->first;
    if (isTooOld)
        return false;
    auto& stored = series[revision.incarnation];
    if (stored.sequence >= revision.sequence && stored.changedAt != 0)
        return false;
    growth = counts.since(stored.counts);
    stored = Stored { revision.sequence, ++m_changes, counts };
    evidence.changedAt = m_changes;
    if (series.size() > s_maxIncarnations)
        series.erase(series.begin());
    return true;
}

std::vector<EvidenceGrowth> EvidenceTable::merge(const EvidenceUpdate& update)
{
    std::vector<EvidenceGrowth> result;
    for (const auto& entry : update.entries) {
        const bool isLocal = entry.observer == m_self && entry.revision.incarnation == m_incarnation;
        const MoveId move { entry.move, entry.movePublishedAt };
        auto* evidence = isLocal ? nullptr : find(move);
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

void EvidenceTable::collect(const MoveId& move, const MoveEvidence& evidence, std::uint64_t after, EvidenceUpdate& update, std::vector<std::uint64_t>& positions) const
{
    for (const auto& [key, series] : evidence.series) {
        for (const auto& [incarnation, stored] : series) {
            if (stored.changedAt <= after)
                continue;
            update.entries.push_back({ key.observer, Revision { incarnation, stored.sequence }, move.name, move.publishedAt, key.route, key.version, key.window, stored.counts });
            positions.push_back(stored.changedAt);
        }
    }
}

EvidenceUpdate EvidenceTable::changedSince(EvidenceCursor& cursor) const
{
    const auto after = cursor.incarnation == m_incarnation ? cursor.position : 0;
    EvidenceUpdate update;
    std::vector<std::uint64_t> positions;
    for (const auto& [move, evidence] : m_moves) {
        if (evidence.changedAt <= after)
            continue;
        collect(move, evidence, after, update, positions);
        if (evidence.notice && evidence.notice->changedAt > after)
            update.notices.push_back(evidence.notice->notice);
    }
    cursor = EvidenceCursor { m_incarnation, m_changes };
    if (positions.size() <= s_maxEntriesPerUpdate)
        return update;

    auto sorted = positions;
    std::nth_element(sorted.begin(), sorted.begin() + s_maxEntriesPerUpdate - 1, sorted.end());
    cursor.position = sorted[s_maxEntriesPerUpdate - 1];
    std::vector<EvidenceEntry> selected;
    for (std::size_t i = 0; i < positions.size(); ++i) {
        if (positions[i] <= cursor.position)
            selected.push_back(std::move(update.entries[i]));
    }
    update.entries = std::move(selected);
    return update;
}

void EvidenceTable::retain(const std::vector<MoveId>& active, publication::Offset activeOffset)
{
    m_active = active;
    m_activeOffset = activeOffset;
    m_configured = true;
    std::erase_if(m_moves, [&](const auto& it) {
        const bool isActive = std::find(active.begin(), active.end(), it.first) != active.end();
        return !isActive && it.first.publishedAt <= activeOffset;
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
