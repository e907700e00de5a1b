#include "carobpath/routing/AdmissionQueue.h"

#include <algorithm>

namespace carobpath::routing {

namespace {

    /// \returns whether the call has waited for half of its time.
    bool isOverdue(const AdmissionQueue::Waiting& it, MonotonicTime now)
    {
        return now - it.arrivedAt >= (it.request.deadline - it.arrivedAt) / 2;
    }

}

QueueClass queueClassOf(const AdmissionRequest& request)
{
    if (request.trafficClass == publication::TrafficClass::Download)
        return QueueClass::Download;
    return request.repeatability == publication::Repeatability::NotRepeatable ? QueueClass::NonRepeatable
                                                                              : QueueClass::Short;
}

bool isMoreUrgent(const AdmissionRequest& first, const AdmissionRequest& second, MonotonicTime now)
{
    const auto inTime = [now](const AdmissionRequest& it) { return it.objective && now < *it.objective && !it.mayBeLate; };
    if (inTime(first) != inTime(second))
        return inTime(first);
    if (!inTime(first))
        return false;
    if (first.priority != second.priority)
        return first.priority < second.priority;
    return *first.objective < *second.objective;
}

std::vector<const AdmissionRequest*> AdmissionQueue::before(const AdmissionRequest& request, MonotonicTime now) const
{
    std::vector<const AdmissionRequest*> earlier;
    for (const auto& line : m_classes) {
        for (const auto& it : line) {
            if (!isMoreUrgent(request, it.request, now))
                earlier.push_back(&it.request);
        }
    }
    return earlier;
}

AdmissionRequest AdmissionQueue::takeOut(Line& line, const Line::iterator& it)
{
    auto request = std::move(it->request);
    line.erase(it);
    return request;
}

std::optional<AdmissionRequest> AdmissionQueue::popByObjective(const Fits& fits, MonotonicTime now)
{
    Line* chosenLine = nullptr;
    Line::iterator chosen;
    for (auto& line : m_classes) {
        for (auto it = line.begin(); it != line.end(); ++it) {
            if (!fits(it->request) || (chosenLine && !isMoreUrgent(it->request, chosen->request, now)))
                continue;
            chosenLine = &line;
            chosen = it;
        }
    }
    return chosenLine ? std::optional { takeOut(*chosenLine, chosen) } : std::nullopt;
}

AdmissionQueue::Line& AdmissionQueue::lineOf(const AdmissionRequest& request)
{
    return m_order.byClass ? m_classes[static_cast<std::size_t>(queueClassOf(request))] : m_classes.front();
}

std::optional<AdmissionRequest> AdmissionQueue::push(const AdmissionRequest& request, MonotonicTime now)
{
    auto& line = lineOf(request);
    std::optional<AdmissionRequest> displaced;
    if (size() >= s_maxWaiting) {
        const auto worst = std::find_if(
            m_classes.rbegin(), m_classes.rend(), [](const Line& it) { return !it.empty(); });
        if (&*worst <= &line)
            return request;
        displaced = std::move(worst->back().request);
        worst->pop_back();
    }
    line.push_back({ request, now });
    return displaced;
}

bool AdmissionQueue::isOverdueInClass(const Waiting& it, MonotonicTime now) const
{
    return isOverdue(it, now) || now - it.arrivedAt >= m_order.maxBypassTime;
}

AdmissionQueue::Line::iterator AdmissionQueue::candidateOf(Line& line, const Fits& fits, MonotonicTime now) const
{
    if (line.empty())
        return line.end();
    if (isOverdueInClass(line.front(), now))
        return fits(line.front().request) ? line.begin() : line.end();
    auto best = line.end();
    for (auto it = line.begin(); it != line.end(); ++it) {
        const bool thinner = best != line.end() && m_order.narrowFirst && it->request.width < best->request.width;
        if ((best == line.end() || thinner) && fits(it->request))
            best = it;
    }
    return best;
}

std::optional<AdmissionRequest> AdmissionQueue::pop(const Fits& fits, MonotonicTime now)
{
    if (m_order.byObjective)
        return popByObjective(fits, now);
    Line* chosenLine = nullptr;
    Line::iterator chosen;
    for (auto& line : m_classes) {
        const auto it = candidateOf(line, fits, now);
        if (it == line.end())
            continue;
        const bool overdueFirst = chosenLine && isOverdue(*it, now) && it->arrivedAt < chosen->arrivedAt;
        if (chosenLine && !overdueFirst)
            continue;
        chosenLine = &line;
        chosen = it;
    }
    return chosenLine ? std::optional { takeOut(*chosenLine, chosen) } : std::nullopt;
}

bool AdmissionQueue::remove(const RequestId& id)
{
    for (auto& line : m_classes) {
        if (std::erase_if(line, [&](const Waiting& it) { return it.request.id == id; }) > 0)
            return true;
    }
    return false;
}

std::vector<AdmissionRequest> AdmissionQueue::removeExpired(MonotonicTime now)
{
    return removeIf([now](const AdmissionRequest& it) { return now >= it.deadline; });
}

std::vector<AdmissionRequest> AdmissionQueue::removeIf(const Fits& matches)
{
    std::vector<AdmissionRequest> removed;
    for (auto& line : m_classes) {
        std::erase_if(line, [&](const Waiting& it) {
            if (!matches(it.request))
                return false;
            removed.push_back(it.request);
            return true;
        });
    }
    return removed;
}

std::vector<AdmissionRequest> AdmissionQueue::removeAll()
{
    std::vector<AdmissionRequest> removed;
    for (auto& line : m_classes) {
        for (const auto& it : line)
            removed.push_back(it.request);
        line.clear();
    }
    return removed;
}

std::size_t AdmissionQueue::size() const
{
    std::size_t all = 0;
    for (const auto& line : m_classes)
        all += line.size();
    return all;
}

std::optional<MonotonicTime> AdmissionQueue::earliestDeadline() const
{
    std::optional<MonotonicTime> earliest;
    for (const auto& line : m_classes) {
        for (const auto& it : line)
            earliest = std::min(earliest.value_or(it.request.deadline), it.request.deadline);
    }
    return earliest;
}

}
